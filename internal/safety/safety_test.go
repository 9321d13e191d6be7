package safety

import "testing"

const second = 1_000_000

// validSend is an attempt that may be sent.
func validSend() Send {
	return Send{Now: 10 * second, Deadline: 11 * second, ListCurrent: true, Backend: Backend{InService: true, Zone: 1, Cell: 2}}
}

func TestSendCheck(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Send)
		want   Reason
	}{
		"nothing against it": {func(*Send) {}, Allowed},
		"answered":           {func(s *Send) { s.RequestDone = true }, RequestDone},
		"client gone":        {func(s *Send) { s.ClientDisconnected = true }, ClientDisconnected},
		"at its deadline":    {func(s *Send) { s.Now = s.Deadline }, DeadlinePassed},
		"just before it":     {func(s *Send) { s.Now = s.Deadline - 1 }, Allowed},
		"list too old":       {func(s *Send) { s.ListCurrent = false }, ListStale},
		"backend drains":     {func(s *Send) { s.Backend.InService = false }, BackendDraining},
		"may have run": {func(s *Send) {
			s.Rules.Idempotency, s.Prior = NonIdempotent, &PriorAttempt{SentAt: 9 * second}
		}, MayHaveExecuted},
	} {
		s := validSend()
		if test.change(&s); s.Check() != test.want {
			t.Errorf("%s: %v, want %v", name, s.Check(), test.want)
		}
	}
}

func TestMayRetry(t *testing.T) {
	earlier := &PriorAttempt{SentAt: 9 * second, Zone: 1, Cell: 2}
	keyed := func(scope KeyScope) Rules {
		return Rules{Idempotency: IdempotentByKey, KeyScope: scope, Window: 2 * second, Margin: second / 10}
	}
	for name, test := range map[string]struct {
		now     Time
		rules   Rules
		earlier *PriorAttempt
		at      *Backend
		want    Reason
	}{
		"never ran":               {10 * second, Rules{Idempotency: NonIdempotent}, nil, &Backend{}, Allowed},
		"repeatable":              {10 * second, Rules{}, earlier, &Backend{}, Allowed},
		"once":                    {10 * second, Rules{Idempotency: NonIdempotent}, earlier, &Backend{}, MayHaveExecuted},
		"in the window":           {10 * second, keyed(ScopeAll), earlier, &Backend{}, Allowed},
		"window over but spare":   {11*second - second/10, keyed(ScopeAll), earlier, &Backend{}, IdempotencyWindowExpired},
		"same zone":               {10 * second, keyed(ScopeZone), earlier, &Backend{Zone: 1}, Allowed},
		"other zone":              {10 * second, keyed(ScopeZone), earlier, &Backend{Zone: 2}, OutsideKeyScope},
		"same cell":               {10 * second, keyed(ScopeCell), earlier, &Backend{Cell: 2}, Allowed},
		"other cell":              {10 * second, keyed(ScopeCell), earlier, &Backend{Cell: 1}, OutsideKeyScope},
		"anywhere, in the window": {10 * second, keyed(ScopeCell), earlier, nil, Allowed},
	} {
		if got := MayRetry(test.now, test.rules, test.earlier, test.at); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

func TestMayReject(t *testing.T) {
	ran := &PriorAttempt{}
	for name, test := range map[string]struct {
		rules   Rules
		earlier *PriorAttempt
		want    Reason
	}{
		"never ran":      {Rules{Idempotency: NonIdempotent}, nil, Allowed},
		"once":           {Rules{Idempotency: NonIdempotent}, ran, MayHaveExecuted},
		"repeatable":     {Rules{}, ran, Allowed},
		"key everywhere": {Rules{Idempotency: IdempotentByKey}, ran, Allowed},
		"key in a zone":  {Rules{Idempotency: IdempotentByKey, KeyScope: ScopeZone}, ran, MayHaveExecuted},
	} {
		if got := MayReject(test.rules, test.earlier); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

func TestAttemptAndCloseChecks(t *testing.T) {
	for _, test := range []struct {
		got, want Reason
	}{
		{Attempt{Made: 1, Max: 2}.Check(), Allowed},
		{Attempt{Made: 2, Max: 2}.Check(), AttemptsUsed},
		{Attempt{Made: 1, Max: 2, InFlight: 1}.Check(), AttemptInFlight},
		{Attempt{Made: 1, Max: 2, InFlight: 1, AllowHedging: true}.Check(), Allowed},
		{Close{}.Check(), Allowed},
		{Close{RequestInProgress: true, UnreadInput: true}.Check(), RequestInProgress},
		{Close{UnreadInput: true}.Check(), UnreadInput},
	} {
		if test.got != test.want {
			t.Errorf("%v, want %v", test.got, test.want)
		}
	}
	for r := Allowed; r < reasons; r++ {
		if r.String() == "" {
			t.Errorf("reason %d has no name", r)
		}
	}
}
