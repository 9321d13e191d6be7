package invariant

import (
	"testing"

	"tulipglade/internal/balancer"
)

const ms = 1000

func cfg() Config {
	return Config{AnswerGrace: 20 * ms, DrainGrace: 500 * ms, ColdMultiple: 3, ColdWindow: 3000 * ms,
		Classes: []balancer.Class{
			{Idempotency: balancer.Idempotent},
			{Idempotency: balancer.NonIdempotent},
			{Idempotency: balancer.IdempotentByKey, KeyScope: balancer.ScopeCell, IdempotencyWindow: 6000 * ms},
			{Idempotency: balancer.IdempotentByKey, KeyScope: balancer.ScopeZone, IdempotencyWindow: 6000 * ms},
			{Idempotency: balancer.IdempotentByKey, KeyScope: balancer.ScopeAll, IdempotencyWindow: 6000 * ms},
		}}
}

const (
	read = iota
	once
	rack
	site
	all
)

var (
	near    = Box{ID: 1, Site: 0, Rack: 0}
	beside  = Box{ID: 2, Site: 0, Rack: 0}
	sameTwn = Box{ID: 3, Site: 0, Rack: 1}
	far     = Box{ID: 4, Site: 1, Rack: 2}
)

// Each rule at its edge: the last thing that is allowed, and the first that is not.
func TestRulesAtTheirEdges(t *testing.T) {
	attempt := func(j *Judge, class int, b Box, out balancer.Outcome) {
		j.Taken(0, 0, 1, class, 9000*ms)
		j.Sent(0, 0, 1, b)
		j.Settled(10*ms, 1, 0, out)
	}
	for name, c := range map[string]struct {
		do   func(j *Judge)
		rule Rule
	}{
		"answered at the end of the grace": {func(j *Judge) { j.Taken(0, 0, 1, read, 100*ms); j.Answered(120*ms, 0, 1, Failed) }, ""},
		"answered past the grace":          {func(j *Judge) { j.Taken(0, 0, 1, read, 100*ms); j.Answered(121*ms, 0, 1, Failed) }, OneAnswer},
		"never answered":                   {func(j *Judge) { j.Taken(0, 0, 1, read, 100*ms); j.Close(200 * ms) }, OneAnswer},
		"not yet due":                      {func(j *Judge) { j.Taken(0, 0, 1, read, 100*ms); j.Close(110 * ms) }, ""},
		"client gone":                      {func(j *Judge) { j.Taken(0, 0, 1, read, 100*ms); j.Gone(50*ms, 1); j.Close(200 * ms) }, ""},
		"node died":                        {func(j *Judge) { j.Taken(0, 0, 1, read, 100*ms); j.Died(0); j.Close(200 * ms) }, ""},
		"another node died":                {func(j *Judge) { j.Taken(0, 0, 1, read, 100*ms); j.Died(1); j.Close(200 * ms) }, OneAnswer},
		"answered twice":                   {func(j *Judge) { j.Taken(0, 0, 1, read, 9); j.Answered(1, 0, 1, Failed); j.Answered(2, 0, 1, Failed) }, OneAnswer},
		"never taken":                      {func(j *Judge) { j.Answered(1, 0, 1, Failed) }, OneAnswer},
		"sent after its answer":            {func(j *Judge) { j.Taken(0, 0, 1, read, 9); j.Answered(1, 0, 1, Failed); j.Sent(2, 0, 1, near) }, OneAnswer},
		"sent after the client left":       {func(j *Judge) { j.Taken(0, 0, 1, read, 9); j.Gone(1, 1); j.Sent(2, 0, 1, near) }, OneAnswer},
		"a read again after a time-out":    {func(j *Judge) { attempt(j, read, near, balancer.OutcomeTimeout); j.Sent(20*ms, 0, 1, far) }, ""},
		"two at once":                      {func(j *Judge) { j.Taken(0, 0, 1, read, 9); j.Sent(0, 0, 1, near); j.Sent(1, 0, 1, far) }, NoSecond},
		"once, not connected":              {func(j *Judge) { attempt(j, once, near, balancer.OutcomeConnectFailed); j.Sent(20*ms, 0, 1, far) }, ""},
		"once, turned away":                {func(j *Judge) { attempt(j, once, near, balancer.OutcomeRejected); j.Sent(20*ms, 0, 1, far) }, ""},
		"once, reset":                      {func(j *Judge) { attempt(j, once, near, balancer.OutcomeReset); j.Sent(20*ms, 0, 1, far) }, NoSecond},
		"once, cancelled":                  {func(j *Judge) { attempt(j, once, near, balancer.OutcomeCanceled); j.Sent(20*ms, 0, 1, far) }, NoSecond},
		"once, error":                      {func(j *Judge) { attempt(j, once, near, balancer.OutcomeServerError); j.Sent(20*ms, 0, 1, far) }, NoSecond},
		"by key within the rack":           {func(j *Judge) { attempt(j, rack, near, balancer.OutcomeReset); j.Sent(20*ms, 0, 1, beside) }, ""},
		"by key outside the rack":          {func(j *Judge) { attempt(j, rack, near, balancer.OutcomeReset); j.Sent(20*ms, 0, 1, sameTwn) }, NoSecond},
		"by key within the site":           {func(j *Judge) { attempt(j, site, near, balancer.OutcomeReset); j.Sent(20*ms, 0, 1, sameTwn) }, ""},
		"by key outside the site":          {func(j *Judge) { attempt(j, site, near, balancer.OutcomeReset); j.Sent(20*ms, 0, 1, far) }, NoSecond},
		"by key anywhere":                  {func(j *Judge) { attempt(j, all, near, balancer.OutcomeReset); j.Sent(20*ms, 0, 1, far) }, ""},
		"by key at the window's end":       {func(j *Judge) { attempt(j, rack, near, balancer.OutcomeReset); j.Sent(6000*ms, 0, 1, near) }, ""},
		"by key past the window":           {func(j *Judge) { attempt(j, rack, near, balancer.OutcomeReset); j.Sent(6001*ms, 0, 1, near) }, NoSecond},
		"refused, may have run":            {func(j *Judge) { attempt(j, once, near, balancer.OutcomeReset); j.Answered(20*ms, 0, 1, Refused) }, NoSecond},
		"refused, still out":               {func(j *Judge) { j.Taken(0, 0, 1, once, 9); j.Sent(0, 0, 1, near); j.Answered(1, 0, 1, Refused) }, NoSecond},
		"refused, never ran":               {func(j *Judge) { attempt(j, once, near, balancer.OutcomeRejected); j.Answered(20*ms, 0, 1, Refused) }, ""},
		"refused, by key anywhere":         {func(j *Judge) { attempt(j, all, near, balancer.OutcomeReset); j.Answered(20*ms, 0, 1, Refused) }, ""},
		"failed, may have run":             {func(j *Judge) { attempt(j, once, near, balancer.OutcomeReset); j.Answered(20*ms, 0, 1, Failed) }, ""},
		"drained, at the grace's end":      {func(j *Judge) { drained(j, 500*ms) }, ""},
		"drained, past the grace":          {func(j *Judge) { drained(j, 501*ms) }, NoDrained},
		"drained, told again":              {func(j *Judge) { j.Told(-300*ms, 0, 1, balancer.PhaseDraining, 0); drained(j, 300*ms) }, NoDrained},
		"drained, back in service": {func(j *Judge) {
			j.Told(0, 0, 1, balancer.PhaseRemoved, 0)
			j.Told(1, 0, 1, balancer.PhaseReady, 1)
			attempt2(j, 900*ms)
		}, ""},
		"drained, told to another node":     {func(j *Judge) { j.Told(0, 1, 1, balancer.PhaseRemoved, 0); attempt2(j, 900*ms) }, ""},
		"drained, told before a restart":    {func(j *Judge) { j.Told(0, 0, 1, balancer.PhaseRemoved, 0); j.Died(0); attempt2(j, 900*ms) }, ""},
		"cold box within its budget":        {func(j *Judge) { push(j, 0, 8800*ms) }, ""},
		"cold box pushed":                   {func(j *Judge) { push(j, 0, 9900*ms) }, NoPush},
		"cold box, by nodes that know not":  {func(j *Judge) { push(j, 7, 9900*ms) }, ""},
		"cold box, spread over two windows": {func(j *Judge) { push(j, 0, 6000*ms); pushAt(j, 0, 3500*ms, 6000*ms) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			j := New(cfg(), 0)
			c.do(j)
			if c.rule == "" {
				if len(j.Violations()) > 0 {
					t.Errorf("said to be broken: %v", j.Violations()[0])
				}
				return
			}
			if j.Broken()[c.rule] == 0 {
				t.Errorf("%s is not said to be broken: %v", c.rule, j.Broken())
			}
		})
	}
}

func attempt2(j *Judge, at balancer.Time) {
	j.Taken(at, 0, 1, read, at+9000*ms)
	j.Sent(at, 0, 1, near)
}

func drained(j *Judge, at balancer.Time) {
	j.Told(0, 0, 1, balancer.PhaseDraining, 0)
	attempt2(j, at)
}

// push sends so much work over 2 s to a box that does one core's.
func push(j *Judge, node int, work float64) {
	j.Told(0, 0, 1, balancer.PhaseReady, 1)
	pushAt(j, node, 0, work)
}

func pushAt(j *Judge, node int, from balancer.Time, work float64) {
	for i := range balancer.Time(200) {
		j.Reached(from+i*10*ms, node, 1, 1, work/200, 1)
	}
}

// What is over is forgotten after a while: a run of any length needs memory only for what is open.
func TestMemoryIsBounded(t *testing.T) {
	j := New(cfg(), 0)
	for id := balancer.RequestID(1); id < 5*remembered; id++ {
		j.Taken(0, 0, id, read, 100)
		j.Answered(1, 0, id, Failed)
	}
	if len(j.reqs) > remembered+1 || j.Open() != 0 {
		t.Errorf("%d requests kept, %d open", len(j.reqs), j.Open())
	}
	for id := balancer.RequestID(1); id < 100; id++ {
		j.Answered(2, 0, id, Failed)
	}
	if len(j.Violations()) != kept || j.Broken()[OneAnswer] != 99 {
		t.Errorf("%d kept whole of %d", len(j.Violations()), j.Broken()[OneAnswer])
	}
}
