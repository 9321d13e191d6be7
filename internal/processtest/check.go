package processtest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/lease"
)

// Findings is what a log of events shows.
type Findings struct {
	Actions    int            `json:"acts"`    // actions that the target admitted
	Rejected   int            `json:"refused"` // actions that the target rejected for their token, or while an earlier one was in progress
	Grants     int            `json:"grants"`
	Leaders    int            `json:"leaders"`
	Faults     map[string]int `json:"faults"` // by kind
	Violations []string       `json:"broken,omitempty"`
	// TakeoverTimes are the times from a holder's kill, stop or cut to the first action of the next holder.
	TakeoverTimes []time.Duration `json:"-"`
	// ElectionTimes are the times from a leader's kill, stop or cut to the next leader.
	ElectionTimes []time.Duration `json:"-"`
}

// Add adds the findings of another log.
func (f *Findings) Add(other Findings) {
	f.Actions += other.Actions
	f.Rejected += other.Rejected
	f.Grants += other.Grants
	f.Leaders += other.Leaders
	f.Violations = append(f.Violations, other.Violations...)
	f.TakeoverTimes = append(f.TakeoverTimes, other.TakeoverTimes...)
	f.ElectionTimes = append(f.ElectionTimes, other.ElectionTimes...)
	if f.Faults == nil {
		f.Faults = map[string]int{}
	}
	for kind, n := range other.Faults {
		f.Faults[kind] += n
	}
}

// isolatingFaults are the faults that put a process out of the group's reach.
var isolatingFaults = []faultinject.Kind{faultinject.ProcessKill, faultinject.ProcessStop, faultinject.LinkCut}

// checker goes through a log. Times of 0 mean that there is none.
type checker struct {
	findings     Findings
	openActions  map[lease.Token]int
	newestToken  lease.Token // of the actions that were admitted
	grantedTo    map[lease.Token]string
	holder       string // of the last action that was admitted
	holderToken  lease.Token
	holderLostAt time.Duration
	leader       string
	leaderLostAt time.Duration
}

// Check checks a log, sorted by time, against what must hold. It knows nothing of how leases are implemented.
func Check(log []Event) Findings {
	c := &checker{
		findings:    Findings{Faults: map[string]int{}},
		openActions: map[lease.Token]int{},
		grantedTo:   map[lease.Token]string{},
	}
	for _, event := range log {
		c.check(event)
	}
	if !linearizable(log) {
		c.findings.Violations = append(c.findings.Violations, "the history of lease requests is not linearizable")
	}
	return c.findings
}

func (c *checker) check(event Event) {
	switch event.Kind {
	case EventActionStarted:
		c.actionStarted(event)
	case EventActionEnded:
		c.openActions[event.Token]--
	case EventActionRejected:
		c.findings.Rejected++
	case EventAcquire:
		if event.Text == "" {
			c.leaseGranted(event)
		}
	case EventLeadership:
		if event.becomesLeader() {
			c.leaderElected(event)
		}
	case EventProcessFailed:
		if strings.Contains(event.Text, "snapshot") {
			c.violation(event, "%s could not start: %s", event.Process, event.Text)
		}
	case EventFault:
		c.faultStarted(event)
	}
}

func (c *checker) violation(event Event, format string, args ...any) {
	text := fmt.Sprintf("%.3f s: ", event.At.Seconds()) + fmt.Sprintf(format, args...)
	c.findings.Violations = append(c.findings.Violations, text)
}

// actionStarted checks that actions under different tokens never overlap, and that tokens never go back.
func (c *checker) actionStarted(event Event) {
	c.findings.Actions++
	for token, open := range c.openActions {
		if open > 0 && token != event.Token {
			c.violation(event, "an action under token %d starts while one under token %d is in progress", event.Token, token)
		}
	}
	if event.Token < c.newestToken {
		c.violation(event, "an action under token %d starts after one under token %d", event.Token, c.newestToken)
	}
	if c.holderLostAt > 0 && event.Token > c.holderToken {
		c.findings.TakeoverTimes = append(c.findings.TakeoverTimes, event.At-c.holderLostAt)
		c.holderLostAt = 0
	}
	c.newestToken = max(c.newestToken, event.Token)
	c.holder, c.holderToken = event.Text, event.Token
	c.openActions[event.Token]++
}

// leaseGranted checks that a token is granted to one request only.
func (c *checker) leaseGranted(event Event) {
	request := requestName(event)
	previous, granted := c.grantedTo[event.Token]
	switch {
	case !granted:
		c.findings.Grants++
	case previous != request:
		c.violation(event, "token %d is granted to %s, and was granted to %s", event.Token, request, previous)
	}
	c.grantedTo[event.Token] = request
}

func (c *checker) leaderElected(event Event) {
	c.findings.Leaders++
	if c.leaderLostAt > 0 && event.Process != c.leader {
		c.findings.ElectionTimes = append(c.findings.ElectionTimes, event.At-c.leaderLostAt)
	}
	c.leader, c.leaderLostAt = event.Process, 0
}

// faultStarted counts a fault, and notes when it puts the holder or the leader out of reach.
func (c *checker) faultStarted(event Event) {
	kind, _, _ := strings.Cut(event.Text, " ")
	c.findings.Faults[kind]++
	if !slices.Contains(isolatingFaults, faultinject.Kind(kind)) {
		return
	}
	if event.Process == c.holder && c.holderLostAt == 0 {
		c.holderLostAt = event.At
	}
	if event.Process == c.leader && c.leaderLostAt == 0 {
		c.leaderLostAt = event.At
	}
}

// requestName identifies a request of a process over all its attempts.
func requestName(event Event) string {
	return fmt.Sprint(event.Process, " ", event.RequestID)
}
