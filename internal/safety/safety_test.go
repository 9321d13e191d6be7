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
		"allowed":                  {func(*Send) {}, Allowed},
		"request done":             {func(s *Send) { s.RequestDone = true }, RequestDone},
		"client disconnected":      {func(s *Send) { s.ClientDisconnected = true }, ClientDisconnected},
		"at its deadline":          {func(s *Send) { s.Now = s.Deadline }, DeadlinePassed},
		"just before its deadline": {func(s *Send) { s.Now = s.Deadline - 1 }, Allowed},
		"list stale":               {func(s *Send) { s.ListCurrent = false }, ListStale},
		"backend draining":         {func(s *Send) { s.Backend.InService = false }, BackendDraining},
		"may have executed": {func(s *Send) {
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
	prior := &PriorAttempt{SentAt: 9 * second, Zone: 1, Cell: 2}
	keyed := func(scope KeyScope) Rules {
		return Rules{Idempotency: IdempotentByKey, KeyScope: scope, Window: 2 * second, Margin: second / 10}
	}
	for name, test := range map[string]struct {
		now   Time
		rules Rules
		prior *PriorAttempt
		at    *Backend
		want  Reason
	}{
		"never ran":                         {10 * second, Rules{Idempotency: NonIdempotent}, nil, &Backend{}, Allowed},
		"idempotent":                        {10 * second, Rules{}, prior, &Backend{}, Allowed},
		"non-idempotent":                    {10 * second, Rules{Idempotency: NonIdempotent}, prior, &Backend{}, MayHaveExecuted},
		"within the window":                 {10 * second, keyed(ScopeAll), prior, &Backend{}, Allowed},
		"window expired but for its margin": {11*second - second/10, keyed(ScopeAll), prior, &Backend{}, IdempotencyWindowExpired},
		"same zone":                         {10 * second, keyed(ScopeZone), prior, &Backend{Zone: 1}, Allowed},
		"other zone":                        {10 * second, keyed(ScopeZone), prior, &Backend{Zone: 2}, OutsideKeyScope},
		"same cell":                         {10 * second, keyed(ScopeCell), prior, &Backend{Cell: 2}, Allowed},
		"other cell":                        {10 * second, keyed(ScopeCell), prior, &Backend{Cell: 1}, OutsideKeyScope},
		"any backend, within the window":    {10 * second, keyed(ScopeCell), prior, nil, Allowed},
	} {
		if got := MayRetry(test.now, test.rules, test.prior, test.at); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

func TestMayReject(t *testing.T) {
	ran := &PriorAttempt{}
	for name, test := range map[string]struct {
		rules Rules
		prior *PriorAttempt
		want  Reason
	}{
		"never ran":           {Rules{Idempotency: NonIdempotent}, nil, Allowed},
		"non-idempotent":      {Rules{Idempotency: NonIdempotent}, ran, MayHaveExecuted},
		"idempotent":          {Rules{}, ran, Allowed},
		"key of all backends": {Rules{Idempotency: IdempotentByKey}, ran, Allowed},
		"key of a zone":       {Rules{Idempotency: IdempotentByKey, KeyScope: ScopeZone}, ran, MayHaveExecuted},
	} {
		if got := MayReject(test.rules, test.prior); got != test.want {
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
