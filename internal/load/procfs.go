package load

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the unit of processor time in /proc: Linux reports it in 1/100 s on all machines.
const clockTicks = 100

// The fields of /proc/PID/stat behind the command's name, from 0: utime and stime are fields 14 and 15 of proc(5).
const (
	userTimeField   = 11
	systemTimeField = 12
)

const kilobytesPerMegabyte = 1024

// processCPU is the processor time that a process has used, with all its threads; 0 for the PID 0.
func processCPU(pid int) (time.Duration, error) {
	if pid == 0 {
		return 0, nil
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command's name, in brackets, may hold spaces.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	if len(fields) <= systemTimeField {
		return 0, fmt.Errorf("/proc/%d/stat: %d fields", pid, len(fields))
	}
	user, userErr := strconv.ParseInt(fields[userTimeField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemTimeField], 10, 64)
	if err := errors.Join(userErr, systemErr); err != nil {
		return 0, fmt.Errorf("/proc/%d/stat: %w", pid, err)
	}
	return time.Duration(user+system) * time.Second / clockTicks, nil
}

// processPeakMemory is the most memory that a process has held, in MB; 0 for the PID 0.
func processPeakMemory(pid int) (float64, error) {
	if pid == 0 {
		return 0, nil
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 64)
			return kb / kilobytesPerMegabyte, err
		}
	}
	return 0, fmt.Errorf("/proc/%d/status: no VmHWM", pid)
}
