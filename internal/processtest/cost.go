package processtest

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Cost is the cost of one agent, as the mean of all.
type Cost struct {
	CPU      float64 `json:"cpu_share"` // of one core
	Memory   float64 `json:"memory_mb"`
	Messages float64 `json:"pieces_per_s"` // chunks of messages that it sends to other agents, without answers
}

// clockTicksPerSecond is the unit of CPU times in /proc; Linux uses it for all that it shows to processes.
const clockTicksPerSecond = 100

// Fields of proc_pid_stat(5), counted from the third, which follows the name.
const (
	statUserTime      = 11
	statSystemTime    = 12
	statResidentPages = 21
)

// usage is what all agents have used so far.
type usage struct {
	cpuTicks  float64
	memoryKiB float64
	chunks    float64
}

// cost measures the agents over a time.
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

// addProcess adds the CPU time and memory of a process.
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
