package invariant

import (
	"fmt"
	"strings"

	"tulipglade/internal/balancer"
)

// maxViolations is the number of violations that are kept with their history. Further violations are only counted.
const maxViolations = 20

// noAttempt is the attempt index of a step that concerns the request as a whole.
const noAttempt = -1

const (
	microsPerSecond = 1e6
	microsPerMilli  = 1000
)

// Violation reports that a rule was broken, with the history of the request concerned, if there is one.
type Violation struct {
	Rule    Rule     `json:"rule"`
	Time    int64    `json:"at_us"`
	Node    int      `json:"node"`
	Request uint64   `json:"request,omitempty"`
	Message string   `json:"what"`
	History []string `json:"history,omitempty"`
}

// String returns the violation on one line, followed by its history with one line for each step.
func (v Violation) String() string {
	text := fmt.Sprintf("%s at %.6f s, node %d: %s", v.Rule, seconds(v.Time), v.Node, v.Message)
	if len(v.History) > 0 {
		text += "\n    " + strings.Join(v.History, "\n    ")
	}
	return text
}

func seconds(micros int64) float64 { return float64(micros) / microsPerSecond }

// step is one event in the history of a request.
type step struct {
	at       balancer.Time
	event    string
	attempt  int
	endpoint balancer.EndpointID
}

func (s step) format(origin balancer.Time) string {
	line := fmt.Sprintf("%.6f s %s", seconds(s.at-origin), s.event)
	if s.attempt != noAttempt {
		line += fmt.Sprintf(" (attempt %d, endpoint %d)", s.attempt, s.endpoint)
	}
	return line
}

// occurrence identifies when, on which node and for which request a rule was broken.
type occurrence struct {
	at        balancer.Time
	node      int
	requestID balancer.RequestID
	request   *request // nil if the request is unknown or no request is concerned
}

// reportViolation counts a violation. It keeps the details of the first maxViolations.
func (c *Checker) reportViolation(rule Rule, where occurrence, format string, args ...any) {
	c.counts[rule]++
	if len(c.violations) >= maxViolations {
		return
	}
	violation := Violation{
		Rule:    rule,
		Time:    where.at - c.origin,
		Node:    where.node,
		Request: uint64(where.requestID),
		Message: fmt.Sprintf(format, args...),
	}
	if where.request != nil {
		for _, s := range where.request.history {
			violation.History = append(violation.History, s.format(c.origin))
		}
	}
	c.violations = append(c.violations, violation)
}
