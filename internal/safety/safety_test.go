package safety

import "testing"

const second = 1_000_000

// sound is an attempt that may be sent.
func sound() Send {
	return Send{Now: 10 * second, Deadline: 11 * second, ListCurrent: true, To: Backend{InService: true, Zone: 1, Cell: 2}}
}

func TestSend(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Send)
		want   Reason
	}{
		"nothing against it": {func(*Send) {}, Allowed},
		"answered":           {func(s *Send) { s.RequestOver = true }, RequestOver},
		"client gone":        {func(s *Send) { s.ClientGone = true }, ClientGone},
		"at its deadline":    {func(s *Send) { s.Now = s.Deadline }, DeadlinePassed},
		"just before it":     {func(s *Send) { s.Now = s.Deadline - 1 }, Allowed},
		"list too old":       {func(s *Send) { s.ListCurrent = false }, ListStale},
		"backend drains":     {func(s *Send) { s.To.InService = false }, BackendLeaving},
		"may have run": {func(s *Send) {
			s.Rules.Effect, s.Earlier = Once, &Earlier{SentAt: 9 * second}
		}, MayHaveRun},
	} {
		s := sound()
		if test.change(&s); s.Check() != test.want {
			t.Errorf("%s: %v, want %v", name, s.Check(), test.want)
		}
	}
}

func TestRepeat(t *testing.T) {
	earlier := &Earlier{SentAt: 9 * second, Zone: 1, Cell: 2}
	keyed := func(scope Scope) Rules {
		return Rules{Effect: ByKey, Scope: scope, Window: 2 * second, Spare: second / 10}
	}
	for name, test := range map[string]struct {
		now     Time
		rules   Rules
		earlier *Earlier
		at      *Backend
		want    Reason
	}{
		"never ran":               {10 * second, Rules{Effect: Once}, nil, &Backend{}, Allowed},
		"repeatable":              {10 * second, Rules{}, earlier, &Backend{}, Allowed},
		"once":                    {10 * second, Rules{Effect: Once}, earlier, &Backend{}, MayHaveRun},
		"in the window":           {10 * second, keyed(ScopeAll), earlier, &Backend{}, Allowed},
		"window over but spare":   {11*second - second/10, keyed(ScopeAll), earlier, &Backend{}, WindowOver},
		"same zone":               {10 * second, keyed(ScopeZone), earlier, &Backend{Zone: 1}, Allowed},
		"other zone":              {10 * second, keyed(ScopeZone), earlier, &Backend{Zone: 2}, OutsideScope},
		"same cell":               {10 * second, keyed(ScopeCell), earlier, &Backend{Cell: 2}, Allowed},
		"other cell":              {10 * second, keyed(ScopeCell), earlier, &Backend{Cell: 1}, OutsideScope},
		"anywhere, in the window": {10 * second, keyed(ScopeCell), earlier, nil, Allowed},
	} {
		if got := Repeat(test.now, test.rules, test.earlier, test.at); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

func TestRefuse(t *testing.T) {
	ran := &Earlier{}
	for name, test := range map[string]struct {
		rules   Rules
		earlier *Earlier
		want    Reason
	}{
		"never ran":      {Rules{Effect: Once}, nil, Allowed},
		"once":           {Rules{Effect: Once}, ran, MayHaveRun},
		"repeatable":     {Rules{}, ran, Allowed},
		"key everywhere": {Rules{Effect: ByKey}, ran, Allowed},
		"key in a zone":  {Rules{Effect: ByKey, Scope: ScopeZone}, ran, MayHaveRun},
	} {
		if got := Refuse(test.rules, test.earlier); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

func TestAttemptAndClose(t *testing.T) {
	for _, test := range []struct {
		got, want Reason
	}{
		{Attempt{Had: 1, Most: 2}.Check(), Allowed},
		{Attempt{Had: 2, Most: 2}.Check(), AttemptsUsed},
		{Attempt{Had: 1, Most: 2, InFlight: 1}.Check(), AttemptInFlight},
		{Attempt{Had: 1, Most: 2, InFlight: 1, MayDuplicate: true}.Check(), Allowed},
		{Close{}.Check(), Allowed},
		{Close{RequestOpen: true, Unread: true}.Check(), RequestOpen},
		{Close{Unread: true}.Check(), InputUnread},
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
