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

// The indexes of fields of /proc/PID/stat, counted from 0 after the command's name: utime and stime, which are fields
// 14 and 15 in proc(5).
const (
	userTimeField   = 11
	systemTimeField = 12
)

const kilobytesPerMegabyte = 1024

// processCPU returns the processor time that all threads of a process have used, or 0 for PID 0.
func processCPU(pid int) (time.Duration, error) {
	if pid == 0 {
		return 0, nil
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command's name, in parentheses, may contain spaces, so the fields are counted from the last parenthesis.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	if len(fields) <= systemTimeField {
		return 0, fmt.Errorf("/proc/%d/stat: %d fields after the command's name, too few", pid, len(fields))
	}
	user, userErr := strconv.ParseInt(fields[userTimeField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemTimeField], 10, 64)
	if err := errors.Join(userErr, systemErr); err != nil {
		return 0, fmt.Errorf("/proc/%d/stat: %w", pid, err)
	}
	return time.Duration(user+system) * time.Second / clockTicks, nil
}

// processPeakMemory returns the peak resident memory of a process in MB, or 0 for PID 0.
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
	return 0, fmt.Errorf("/proc/%d/status: no line VmHWM", pid)
}
