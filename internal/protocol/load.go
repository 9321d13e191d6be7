package protocol

import (
	"bytes"
	"math"
	"strconv"
)

// LoadHeader is the response field in which a backend reports its load.
const LoadHeader = "endpoint-load-metrics"

// Load is a backend's own account of its load; what it does not report is -1.
type Load struct{ Outstanding, Backlog, Utilization float64 }

// ParseLoad parses a load report in ORCA's text form, "TEXT inflight=7, queue=2, util=0.61", and reports whether
// it holds any known value. Unknown names and values that are not numbers from 0 up are skipped.
func ParseLoad(value []byte) (Load, bool) {
	l := Load{-1, -1, -1}
	rest, ok := bytes.CutPrefix(value, []byte("TEXT "))
	if !ok {
		return l, false
	}
	found := false
	for part := range bytes.SplitSeq(rest, []byte(",")) {
		name, text, ok := bytes.Cut(bytes.TrimSpace(part), []byte("="))
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(string(bytes.TrimSpace(text)), 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		switch string(bytes.TrimSpace(name)) {
		case "inflight", "outstanding":
			l.Outstanding, found = v, true
		case "queue", "backlog":
			l.Backlog, found = v, true
		case "util", "utilization":
			l.Utilization, found = v, true
		}
	}
	return l, found
}
