package safety

import "testing"

const second = 1_000_000

// validSend returns conditions under which an attempt may be sent. Tests change one of them.
func validSend() SendConditions {
	return SendConditions{Now: 10 * second, Deadline: 11 * second, ListCurrent: true, Backend: Backend{InService: true, Zone: 1, Cell: 2}}
}

func TestSendCheck(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*SendConditions)
		want   Reason
	}{
		"allowed":                  {func(*SendConditions) {}, Allowed},
		"request done":             {func(s *SendConditions) { s.RequestDone = true }, RequestDone},
		"client disconnected":      {func(s *SendConditions) { s.ClientDisconnected = true }, ClientDisconnected},
		"at its deadline":          {func(s *SendConditions) { s.Now = s.Deadline }, DeadlinePassed},
		"just before its deadline": {func(s *SendConditions) { s.Now = s.Deadline - 1 }, Allowed},
		"list stale":               {func(s *SendConditions) { s.ListCurrent = false }, ListStale},
		"backend draining":         {func(s *SendConditions) { s.Backend.InService = false }, BackendDraining},
		"may have executed": {func(s *SendConditions) {
			s.IdempotencyPolicy.Idempotency, s.Prior = NonIdempotent, &PriorAttempt{SentAt: 9 * second}
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
	keyed := func(scope KeyScope) IdempotencyPolicy {
		return IdempotencyPolicy{Idempotency: IdempotentByKey, KeyScope: scope, Window: 2 * second, Margin: second / 10}
	}
	for name, test := range map[string]struct {
		now     Time
		policy  IdempotencyPolicy
		prior   *PriorAttempt
		backend *Backend
		want    Reason
	}{
		"never ran":                         {10 * second, IdempotencyPolicy{Idempotency: NonIdempotent}, nil, &Backend{}, Allowed},
		"idempotent":                        {10 * second, IdempotencyPolicy{}, prior, &Backend{}, Allowed},
		"non-idempotent":                    {10 * second, IdempotencyPolicy{Idempotency: NonIdempotent}, prior, &Backend{}, MayHaveExecuted},
		"within the window":                 {10 * second, keyed(ScopeAll), prior, &Backend{}, Allowed},
		"window expired but for its margin": {11*second - second/10, keyed(ScopeAll), prior, &Backend{}, IdempotencyWindowExpired},
		"same zone":                         {10 * second, keyed(ScopeZone), prior, &Backend{Zone: 1}, Allowed},
		"other zone":                        {10 * second, keyed(ScopeZone), prior, &Backend{Zone: 2}, OutsideKeyScope},
		"same cell":                         {10 * second, keyed(ScopeCell), prior, &Backend{Cell: 2}, Allowed},
		"other cell":                        {10 * second, keyed(ScopeCell), prior, &Backend{Cell: 1}, OutsideKeyScope},
		"any backend, within the window":    {10 * second, keyed(ScopeCell), prior, nil, Allowed},
	} {
		if got := MayRetry(test.now, test.policy, test.prior, test.backend); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

func TestMayReject(t *testing.T) {
	executed := &PriorAttempt{}
	for name, test := range map[string]struct {
		policy IdempotencyPolicy
		prior  *PriorAttempt
		want   Reason
	}{
		"never ran":           {IdempotencyPolicy{Idempotency: NonIdempotent}, nil, Allowed},
		"non-idempotent":      {IdempotencyPolicy{Idempotency: NonIdempotent}, executed, MayHaveExecuted},
		"idempotent":          {IdempotencyPolicy{}, executed, Allowed},
		"key of all backends": {IdempotencyPolicy{Idempotency: IdempotentByKey}, executed, Allowed},
		"key of a zone":       {IdempotencyPolicy{Idempotency: IdempotentByKey, KeyScope: ScopeZone}, executed, MayHaveExecuted},
	} {
		if got := MayReject(test.policy, test.prior); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

func TestAttemptAndCloseChecks(t *testing.T) {
	for _, test := range []struct {
		got, want Reason
	}{
		{AttemptLimits{Made: 1, Max: 2}.Check(), Allowed},
		{AttemptLimits{Made: 2, Max: 2}.Check(), AttemptsUsed},
		{AttemptLimits{Made: 1, Max: 2, InFlight: 1}.Check(), AttemptInFlight},
		{AttemptLimits{Made: 1, Max: 2, InFlight: 1, AllowHedging: true}.Check(), Allowed},
		{CloseConditions{}.Check(), Allowed},
		{CloseConditions{RequestInProgress: true, UnreadInput: true}.Check(), RequestInProgress},
		{CloseConditions{UnreadInput: true}.Check(), UnreadInput},
	} {
		if test.got != test.want {
			t.Errorf("%v, want %v", test.got, test.want)
		}
	}
	for r := Allowed; r < reasonCount; r++ {
		if r.String() == "" {
			t.Errorf("reason %d has no name", r)
		}
	}
}
