package processtest

import (
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"tulipglade/internal/lease"
)

// Findings is what a log shows.
type Findings struct {
	Acts     int            `json:"acts"`    // that were let in
	Rejected int            `json:"refused"` // by their token, or while an earlier one went on
	Grants   int            `json:"grants"`
	Leaders  int            `json:"leaders"`
	Faults   map[string]int `json:"faults"` // by kind
	Broken   []string       `json:"broken,omitempty"`
	// Gaps are times from when the holder was killed, stopped or cut off to the next one's first act.
	Gaps []time.Duration `json:"-"`
	// LeaderTimes are times from when the leader was killed, stopped or cut off to when another led.
	LeaderTimes []time.Duration `json:"-"`
}

// Add adds what another log shows.
func (f *Findings) Add(g Findings) {
	f.Acts, f.Rejected, f.Grants, f.Leaders = f.Acts+g.Acts, f.Rejected+g.Rejected, f.Grants+g.Grants, f.Leaders+g.Leaders
	f.Broken, f.Gaps, f.LeaderTimes = append(f.Broken, g.Broken...), append(f.Gaps, g.Gaps...), append(f.LeaderTimes, g.LeaderTimes...)
	if f.Faults == nil {
		f.Faults = map[string]int{}
	}
	for kind, n := range g.Faults {
		f.Faults[kind] += n
	}
}

// away are the faults by which a process is out of the group's reach.
var away = []string{"process-kill", "process-stop", "link-cut"}

// Check reads a log, in order. It knows nothing of how leases work, only what must hold.
func Check(log []Event) Findings {
	f := Findings{Faults: map[string]int{}}
	var (
		open    = map[lease.Token]int{} // acts that go on
		newest  lease.Token
		given   = map[lease.Token]string{}
		holder  string
		held    lease.Token
		lost    time.Duration
		leader  string
		missing time.Duration
	)
	broken := func(e Event, format string, args ...any) {
		f.Broken = append(f.Broken, fmt.Sprintf("%.3f s: ", e.At.Seconds())+fmt.Sprintf(format, args...))
	}
	for _, e := range log {
		switch {
		case e.Kind == "begins":
			f.Acts++
			for token, n := range open {
				if n > 0 && token != e.Token {
					broken(e, "an act of token %d begins while one of %d goes on", e.Token, token)
				}
			}
			if e.Token < newest {
				broken(e, "an act of token %d begins after one of %d", e.Token, newest)
			}
			if lost > 0 && e.Token > held {
				f.Gaps = append(f.Gaps, e.At-lost)
				lost = 0
			}
			newest = max(newest, e.Token)
			holder, held = e.Text, e.Token
			open[e.Token]++
		case e.Kind == "ends":
			open[e.Token]--
		case e.Kind == "refused":
			f.Rejected++
		case e.Kind == "acquire" && e.Text == "":
			whom := fmt.Sprint(e.Process, " ", e.RequestID)
			if was, ok := given[e.Token]; ok && was != whom {
				broken(e, "token %d is given to %s, and was given to %s", e.Token, whom, was)
			} else if !ok {
				f.Grants++
			}
			given[e.Token] = whom
		case e.Kind == "lead" && strings.Contains(e.Text, "leads=true"):
			f.Leaders++
			if missing > 0 && e.Process != leader {
				f.LeaderTimes = append(f.LeaderTimes, e.At-missing)
			}
			leader, missing = e.Process, 0
		case e.Kind == "ended" && strings.Contains(e.Text, "snapshot"):
			broken(e, "%s could not start: %s", e.Process, e.Text)
		case e.Kind == "fault":
			kind, _, _ := strings.Cut(e.Text, " ")
			f.Faults[kind]++
			for _, k := range away {
				if kind == k && e.Process == holder && lost == 0 {
					lost = e.At
				}
				if kind == k && e.Process == leader && missing == 0 {
					missing = e.At
				}
			}
		}
	}
	if !linearizable(log) {
		f.Broken = append(f.Broken, "the history of acquisitions, renewals and releases fits no order")
	}
	return f
}

// asked is one request to the group.
type asked struct {
	what, whom string
	token      lease.Token
	refused    string
}

// agreed is what a lease that one may hold must look like to all who ask: tokens grow, and what has ended or was overtaken is never
// renewed. A grant that its asker has not heard of, or an end by time, may come at any moment.
type agreed struct {
	token lease.Token
	whom  string
	ended bool
}

var model = porcupine.Model{
	Init: func() any { return agreed{} },
	Step: func(state, input, _ any) (bool, any) {
		s, in := state.(agreed), input.(asked)
		switch {
		case in.what == "acquire" && in.refused != "":
			return true, s
		case in.what == "acquire" && in.token == s.token:
			return in.whom == s.whom, s
		case in.what == "acquire":
			return in.token > s.token, agreed{in.token, in.whom, false}
		case in.refused != "": // for good
			return true, agreed{s.token, s.whom, s.ended || in.token == s.token}
		}
		return in.token == s.token && !s.ended, agreed{s.token, s.whom, in.what == "release"}
	},
	Equal: func(a, b any) bool { return a == b },
}

func linearizable(log []Event) bool {
	var ops []porcupine.Operation
	clients := map[string]int{}
	for _, e := range log {
		if e.Kind != "acquire" && e.Kind != "renew" && e.Kind != "release" {
			continue
		}
		if _, ok := clients[e.Process]; !ok {
			clients[e.Process] = len(clients)
		}
		ops = append(ops, porcupine.Operation{ClientId: clients[e.Process], Input: asked{e.Kind, fmt.Sprint(e.Process, " ", e.RequestID), e.Token, e.Text}, Call: int64(e.From),
			Return: int64(e.At)})
	}
	return porcupine.CheckOperations(model, ops)
}
