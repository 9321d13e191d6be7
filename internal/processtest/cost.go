package processtest

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Cost is the resource usage of an agent, averaged over all agents of the group.
type Cost struct {
	CPU      float64 `json:"cpu_share"` // CPU time per elapsed time, 1 for a fully used core
	Memory   float64 `json:"memory_mb"`
	Messages float64 `json:"pieces_per_s"` // request chunks through the relays, without responses
}

// clockTicksPerSecond converts CPU times in /proc to seconds. Linux uses this value in all interfaces to user space.
const clockTicksPerSecond = 100

// Indexes of fields of proc_pid_stat(5). Index 0 is the third field, the first after the name of the program.
const (
	statUserTime      = 11
	statSystemTime    = 12
	statResidentPages = 21
)

// usage is the total resource usage of all agents since they started.
type usage struct {
	cpuTicks  float64
	memoryKiB float64
	chunks    float64 // chunks that all relays have forwarded to their targets
}

// cost measures the mean cost of an agent over a period of the given length.
func (h *Harness) cost(ctx context.Context, length time.Duration) (Cost, error) {
	before, err := h.usage()
	if err != nil {
		return Cost{}, err
	}
	start := time.Now()
	if err := sleep(ctx, length, length); err != nil {
		return Cost{}, err
	}
	after, err := h.usage()
	if err != nil {
		return Cost{}, err
	}
	agents, seconds := float64(h.options.Agents), time.Since(start).Seconds()
	return Cost{
		CPU:      (after.cpuTicks - before.cpuTicks) / clockTicksPerSecond / seconds / agents,
		Memory:   after.memoryKiB / 1024 / agents,
		Messages: (after.chunks - before.chunks) / seconds / agents,
	}, nil
}

func (h *Harness) usage() (total usage, err error) {
	for i := range h.options.Agents {
		if err := total.addProcess(h.processID(i)); err != nil {
			return usage{}, err
		}
	}
	for _, relay := range h.relays {
		total.chunks += float64(relay.chunks.Load())
	}
	return total, nil
}

// addProcess adds the CPU time and the resident memory of a process.
func (u *usage) addProcess(pid int) error {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return err
	}
	_, afterName, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(afterName)
	var values [3]float64
	for i, field := range []int{statUserTime, statSystemTime, statResidentPages} {
		if values[i], err = strconv.ParseFloat(fields[field], 64); err != nil {
			return err
		}
	}
	u.cpuTicks += values[0] + values[1]
	u.memoryKiB += values[2] * float64(os.Getpagesize()) / 1024
	return nil
}
