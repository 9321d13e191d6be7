package scenario

// Default returns the default scenario, a fleet in three sites under ordinary load. Check adds the default lists.
func Default() Scenario {
	return Scenario{
		Name: "default", Seconds: 30, WarmUp: 3,
		Fleet: Fleet{Backends: 12, Sites: []string{"east", "west", "south"}, Rack: 8,
			Overdrive: Overdrive{PerCore: 5, Over: 2000, Slower: 3, Below: 0.3, Rest: 3000, Most: 20000},
			Affinity:  Affinity{Gain: 0.45, Millis: 6000, KeysPerCore: 6},
			Report:    Report{Every: 1000, Delay: 200, Noise: 0.05, SentBy: "answers"},
			Conns:     Connections{PerCore: 750, Rtts: 2, Work: 1500, Idle: 30000, Timeout: 250}},
		Nodes: Nodes{Count: 3, Tick: 5, Notice: 1500},
		Load:  Load{Speed: 1, Level: 0.6, Shape: "steady", Keys: 300, Zipf: 0.8, SiteSkew: 0.3, Period: 20, Swing: 0.1, Peak: 2},
		Clients: Clients{Retries: 2, TimeoutShare: 0.6, Backoff: 200, Growth: 2, Jitter: 0.5, HeedRetryAfter: 0.8, MaxRetryAfter: 2000,
			Impatient: 0.01, Hints: "none"},
		Net: Net{Same: 0.25, Cross: 5, Client: 0.7, Jitter: 0.2, Peer: Range{1, 30}, Silent: 500},
		Discovery: Discovery{Poll: true, Notice: Range{1200, 4000}, Silent: Range{6000, 14000}, Spread: Range{20, 100},
			PerS: 5, LinesPerS: 5000, Timeout: 3000, PollInterval: 10000, RemovedAfter: 60000, DeltaLines: 200},
		Rules: Rules{AnswerGrace: 20, DrainGrace: 500, SlowStartInitial: 0.13, SlowStartDuration: 24000, OverloadFactor: 3, OverloadWindow: 3000,
			MaxAttempts: 6, AllowCancel: true, Peers: true, CrossSite: 0.03},
		Goal: Goal{Overall: 0.35, WorstWindow: 0.35, WorstClass: 0.2, WorstTenant: 0.1, OverShare: 0.2, Quota: 0.8},
	}
}

// fillLists sets the lists of backend kinds, classes and tenants to their defaults if the file omits them. A list in
// the file replaces the whole default list.
func (s *Scenario) fillLists() {
	if len(s.Fleet.Kinds) == 0 {
		s.Fleet.Kinds = []Kind{
			{Name: "new", Share: 0.63, Cores: 4, Speed: Range{0.85, 1.1}, Slots: 4, Queue: 20, Crowd: 0.09, CrowdFrom: 6,
				SlowStartInitial: Range{0.18, 0.32}, SlowStartDuration: Range{11000, 24000}, Errors: 0.001, CancelQueued: true, KeyedDrop: true},
			{Name: "old", Share: 0.37, Cores: 3, Speed: Range{0.64, 0.86}, Slots: 4, Queue: 20, Crowd: 0.08, CrowdFrom: 6,
				SlowStartInitial: Range{0.13, 0.35}, SlowStartDuration: Range{10000, 24000}, Errors: 0.001, DropExpired: true, KeyedDrop: true},
		}
	}
	if len(s.Classes) == 0 {
		s.Classes = []Class{
			{Name: "read", Share: 0.56, Work: 85, Dist: "exp", Noise: 0.3, LatencyObjective: 600, Deadline: 1500, PriorityWeight: 1,
				Idempotency: "repeatable", KeyScope: "all", IdempotencyWindow: 5000},
			{Name: "start", Share: 0.22, Work: 120, Dist: "exp", Noise: 0.3, LatencyObjective: 1000, Deadline: 4000, PriorityWeight: 5,
				Idempotency: "once", KeyScope: "all", IdempotencyWindow: 5000},
			{Name: "settle", Share: 0.22, Work: 260, Dist: "lognormal", VariationCoefficient: 1, Noise: 0.3, LatencyObjective: 1000, Deadline: 3000, PriorityWeight: 3,
				Idempotency: "by_key", KeyScope: "rack", IdempotencyWindow: 6000},
		}
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{"large", 0.55, 1}, {"middle", 0.29, 1}, {"small", 0.16, 1}}
	}
}
