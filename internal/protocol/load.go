package protocol

import (
	"bytes"
	"math"
	"strconv"
)

// LoadHeader is the response field in which a backend reports its load.
const LoadHeader = "endpoint-load-metrics"

// Load is the load that a backend reports of itself. A value that it does not report is -1.
type Load struct{ Outstanding, Backlog, Utilization float64 }

// ParseLoad parses a load report in ORCA's text form, "TEXT inflight=7, queue=2, util=0.61", and reports whether
// it has any known value. Unknown names, and values that are not finite numbers of at least 0, are skipped.
func ParseLoad(value []byte) (Load, bool) {
	load := Load{-1, -1, -1}
	rest, ok := bytes.CutPrefix(value, []byte("TEXT "))
	if !ok {
		return load, false
	}
	found := false
	for part := range bytes.SplitSeq(rest, []byte(",")) {
		name, text, ok := bytes.Cut(bytes.TrimSpace(part), []byte("="))
		if !ok {
			continue
		}
		number, err := strconv.ParseFloat(string(bytes.TrimSpace(text)), 64)
		if err != nil || !(number >= 0) || math.IsInf(number, 0) {
			continue
		}
		switch string(bytes.TrimSpace(name)) {
		case "inflight", "outstanding":
			load.Outstanding, found = number, true
		case "queue", "backlog":
			load.Backlog, found = number, true
		case "util", "utilization":
			load.Utilization, found = number, true
		}
	}
	return load, found
}
