package load

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Contender is a target to be compared, and the process that serves it; 0: not known.
type Contender struct {
	Name string
	Addr string
	Pid  int
}

// Standing is how one contender did, over the rounds: medians, with the least and the most.
type Standing struct {
	Name      string  `json:"name"`
	CPU       Spread  `json:"cpu_us_per_call"` // of its process
	P50       Spread  `json:"p50_ms"`
	P99       Spread  `json:"p99_ms"`
	NotServed Spread  `json:"not_served"`
	PeakMB    float64 `json:"peak_mb"`
	// The ratios to the first contender, round by round.
	CPURatio Spread `json:"cpu_ratio"`
	P99Ratio Spread `json:"p99_ratio"`
	Invalid  int    `json:"invalid_rounds"` // left out of all figures
}

// Spread is a median, and what it lies between.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

func spreadOf(x []float64) Spread {
	if len(x) == 0 {
		return Spread{}
	}
	s := slices.Clone(x)
	slices.Sort(s)
	mid := s[len(s)/2]
	if len(s)%2 == 0 {
		mid = (mid + s[len(s)/2-1]) / 2
	}
	return Spread{mid, s[0], s[len(s)-1]}
}

// Compare runs the same schedule against each contender in turn, round after round, so that what the machine does
// meanwhile hits all alike.
func Compare(ctx context.Context, who []Contender, rounds int, run func(ctx context.Context, addr string) (*Result, error)) ([]Standing, error) {
	type figures struct{ cpu, p50, p99, lost, cpuRatio, p99Ratio []float64 }
	all := make([]figures, len(who))
	out := make([]Standing, len(who))
	for range rounds {
		var cpu, p99 []float64
		valid := true
		for i, c := range who {
			before, err := processCPU(c.Pid)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", c.Name, err)
			}
			r, err := run(ctx, c.Addr)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", c.Name, err)
			}
			after, err := processCPU(c.Pid)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", c.Name, err)
			}
			if !r.Valid || r.Calls == 0 {
				out[i].Invalid++
				valid = false
				cpu, p99 = append(cpu, 0), append(p99, 0)
				continue
			}
			cpu = append(cpu, float64((after-before).Microseconds())/float64(r.Calls))
			p99 = append(p99, r.Latency.P99)
			f := &all[i]
			f.cpu, f.p50, f.p99 = append(f.cpu, cpu[i]), append(f.p50, r.Latency.P50), append(f.p99, p99[i])
			f.lost = append(f.lost, 1-float64(r.Outcomes["served"]+r.Outcomes["late"])/float64(r.Calls))
		}
		for i := range who {
			if valid && cpu[0] > 0 && p99[0] > 0 {
				all[i].cpuRatio, all[i].p99Ratio = append(all[i].cpuRatio, cpu[i]/cpu[0]), append(all[i].p99Ratio, p99[i]/p99[0])
			}
		}
	}
	for i, c := range who {
		f := &all[i]
		peak, err := processPeak(c.Pid)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.Name, err)
		}
		out[i] = Standing{Name: c.Name, CPU: spreadOf(f.cpu), P50: spreadOf(f.p50), P99: spreadOf(f.p99), NotServed: spreadOf(f.lost),
			PeakMB: peak, CPURatio: spreadOf(f.cpuRatio), P99Ratio: spreadOf(f.p99Ratio), Invalid: out[i].Invalid}
	}
	return out, nil
}

// clockTicks is the unit of processor time in /proc, which Linux tells programs in 1/100 s on all machines.
const clockTicks = 100

// processCPU is the processor time that a process has used, with all its threads (proc(5), stat, fields 14 and 15).
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
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat: %d fields", pid, len(fields))
	}
	user, errU := strconv.ParseInt(fields[11], 10, 64)
	system, errS := strconv.ParseInt(fields[12], 10, 64)
	if errU != nil || errS != nil {
		return 0, fmt.Errorf("/proc/%d/stat: %q, %q", pid, fields[11], fields[12])
	}
	return time.Duration(user+system) * time.Second / clockTicks, nil
}

// processPeak is the most memory that a process has held, in MB.
func processPeak(pid int) (float64, error) {
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
			return kb / 1024, err
		}
	}
	return 0, fmt.Errorf("/proc/%d/status: no VmHWM", pid)
}
