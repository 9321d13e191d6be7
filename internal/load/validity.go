package load

import (
	"fmt"
	"runtime"
	"time"
)

// busyShare is the share of the processor time of all cores above which a lack of it is named as a cause.
const busyShare = 0.7

// invalidReasons returns the reasons why a run is invalid: by how much the generator missed its schedule, and which
// resources it lacked. It returns none if the run is valid. A lack of descriptors makes a run invalid by itself.
func invalidReasons(lag LagReport, r *runner, cpu, elapsed time.Duration) []string {
	reasons := missedSchedule(lag, r.recorder)
	if len(reasons) == 0 {
		return descriptorReasons(r)
	}
	causes := processorReasons(cpu, elapsed)
	if r.waitedAtBound > 0 {
		causes = append(causes, fmt.Sprintf("connections: %d requests waited at the bound of %d", r.waitedAtBound, r.plan.MaxConns))
	}
	causes = append(causes, descriptorReasons(r)...)
	if len(causes) == 0 {
		causes = []string{"cause not seen from here: other processes may have had the cores"}
	}
	return append(reasons, causes...)
}

// missedSchedule describes by how much the schedule was missed; it returns nothing if the schedule was kept.
func missedSchedule(lag LagReport, rec *recorder) []string {
	var reasons []string
	if lag.P99 > lag.BoundMs {
		reasons = append(reasons, fmt.Sprintf("requests were sent %.3f ms late at p99, over the bound of %.3f ms", lag.P99, lag.BoundMs))
	}
	if rec.lateIntervals > 0 {
		reasons = append(reasons, fmt.Sprintf("in %d seconds, the first at %d s, over 0.1%% of the schedule went out more than %.0f ms late",
			rec.lateIntervals, rec.firstLateInterval, millis(rec.lateSend)))
	}
	return reasons
}

func processorReasons(cpu, elapsed time.Duration) []string {
	cores := runtime.NumCPU()
	busy := float64(cpu) / float64(elapsed) / float64(cores)
	if busy <= busyShare {
		return nil
	}
	return []string{fmt.Sprintf("CPU: the generator used %.0f%% of its %d cores", 100*busy, cores)}
}

func descriptorReasons(r *runner) []string {
	if r.descriptorErrors == 0 {
		return nil
	}
	return []string{fmt.Sprintf("descriptors: %d connections could not be opened", r.descriptorErrors)}
}
