package processtest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/lease"
)

// Findings holds the counts, measured times and violations that Check derives from a log of events.
type Findings struct {
	Actions    int            `json:"acts"`    // actions that the target admitted
	Rejected   int            `json:"refused"` // actions that the target rejected: stale token, or another one in progress
	Grants     int            `json:"grants"`
	Leaders    int            `json:"leaders"`
	Faults     map[string]int `json:"faults"` // number of faults of each kind
	Violations []string       `json:"broken,omitempty"`
	// TakeoverTimes are the times from the kill, stop or link cut of a holder to the first action of the next holder.
	TakeoverTimes []time.Duration `json:"-"`
	// ElectionTimes are the times from the kill, stop or link cut of a leader to the election of the next leader.
	ElectionTimes []time.Duration `json:"-"`
}

// Add adds the findings of another log to f.
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

// isolatingFaults are the kinds of faults after which a process cannot communicate with the group.
var isolatingFaults = []faultinject.Kind{faultinject.ProcessKill, faultinject.ProcessStop, faultinject.LinkCut}

// checker holds the state of Check while it processes a log, event by event.
type checker struct {
	findings     Findings
	openActions  map[lease.Token]int    // number of actions in progress under each token
	newestToken  lease.Token            // highest token of the actions that were admitted so far
	grantedTo    map[lease.Token]string // the request that each token was granted to, as requestName returns it
	holder       string                 // the process that sent the last admitted action
	holderToken  lease.Token
	holderLostAt time.Duration // when an isolating fault hit the holder; 0 if none has since the last takeover
	leader       string
	leaderLostAt time.Duration // when an isolating fault hit the leader; 0 if none has since the last election
}

// Check checks a log, which must be sorted by time, against the invariants of leases. It relies on the recorded events
// alone and on no detail of the implementation of leases.
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

// actionStarted counts an admitted action. It checks that actions under different tokens do not overlap, and that no
// action is admitted after one under a higher token.
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

// leaseGranted counts a grant and checks that no other request was granted the same token.
func (c *checker) leaseGranted(event Event) {
	request := requestName(event)
	previous, granted := c.grantedTo[event.Token]
	switch {
	case !granted:
		c.findings.Grants++
	case previous != request:
		c.violation(event, "token %d is granted to %s, and was already granted to %s", event.Token, request, previous)
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

// faultStarted counts a fault, and records the time if it isolates the current holder or leader.
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

// requestName returns a name for a request that is the same for all its attempts and unique among all processes.
func requestName(event Event) string {
	return fmt.Sprint(event.Process, " ", event.RequestID)
}
