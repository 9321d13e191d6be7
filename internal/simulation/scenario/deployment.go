package scenario

import (
	"math/rand/v2"
)

// Knob is a parameter in which deployments differ, together with its possible settings. The first setting is the
// default.
type Knob struct {
	Name     string
	Settings []Setting
}

// Setting is one value of a knob.
type Setting struct {
	Name string
	set  func(*Scenario)
}

// Deployment holds, for each element of Knobs, the index of the selected setting.
type Deployment []int

// Knobs lists the parameters that a survey varies. Settings are applied in this order, so a later knob may use values
// that an earlier one has set.
var Knobs = []Knob{
	{"cores", []Setting{
		{"4", cores(4, 4)},
		{"1", cores(1, 1)},
		{"2 and 1", cores(2, 1)},
		{"16", cores(16, 16)},
		{"8 and 3", cores(8, 3)},
	}},
	{"speed", []Setting{{"alike", func(*Scenario) {}}, {"apart", func(s *Scenario) {
		for i := range s.Fleet.Kinds {
			s.Fleet.Kinds[i].Speed = Range{0.6, 1.4}
		}
	}}}},
	{"boxes", []Setting{{"12", backends(12)}, {"5", backends(5)}, {"9", backends(9)}, {"30", backends(30)}}},
	{"nodes", []Setting{{"2", nodes(2)}, {"1", nodes(1)}, {"4", nodes(4)}, {"9", nodes(9)}}},
	{"sites", []Setting{
		{"1", sites("a")},
		{"2", sites("a", "b")},
		{"3", sites("a", "b", "c")},
		{"4", sites("a", "b", "c", "d")},
	}},
	{"skew", []Setting{{"none", func(*Scenario) {}}, {"0.5", func(s *Scenario) { s.Load.SiteSkew = 0.5 }}}},
	{"work", []Setting{{"40 ms", scale(1)}, {"4 ms", scale(0.1)}, {"400 ms", scale(10)}, {"10 ms", scale(0.25)}}},
	{"spread", []Setting{{"exp", func(*Scenario) {}}, {"constant", dist("constant", 0)}, {"lognormal of cv 1.5", dist("lognormal", 1.5)}}},
	{"aim", []Setting{{"10 times the work", latencyObjective(10)}, {"4 times", latencyObjective(4)}, {"50 times", latencyObjective(50)}}},
	{"deadline", []Setting{{"2.5 times the aim", deadline(2.5)}, {"the aim", deadline(1)}, {"10 times", deadline(10)}}},
	{"late", []Setting{{"worth nothing", func(*Scenario) {}}, {"worth 0.3", func(s *Scenario) {
		for i := range s.Classes {
			s.Classes[i].LateValue = 0.3
		}
	}}}},
	{"keys", []Setting{{"all", scope("all")}, {"rack", scope("rack")}, {"site", scope("site")}}},
	{"window", []Setting{{"5 deadlines", window(5)}, {"a deadline", window(1)}, {"a tenth", window(0.1)}}},
	{"tenants", []Setting{
		{"1", tenants(1)},
		{"3", tenants(0.5, 0.3, 0.2)},
		{"9", tenants(0.28, 0.17, 0.16, 0.1, 0.1, 0.05, 0.05, 0.05, 0.04)},
	}},
	{"list", []Setting{
		{"pushed", func(s *Scenario) { s.Discovery.Poll = false }},
		{"asked", func(s *Scenario) { s.Discovery.Poll = true }},
	}},
	{"report", []Setting{{"queue and util", fields("queue", "util")}, {"none", func(s *Scenario) { s.Fleet.Report.Every = 0 }},
		{"all", fields("held", "queue", "util")}, {"held", fields("held")}, {"queue", fields("queue")}, {"util", fields("util")},
		{"held and queue", fields("held", "queue")}, {"held and util", fields("held", "util")}}},
	{"report by", []Setting{{"answers", func(*Scenario) {}}, {"probes", func(s *Scenario) { s.Fleet.Report.SentBy = "probes" }}}},
	{"report age", []Setting{{"a second", func(*Scenario) {}}, {"3 ms", func(s *Scenario) {
		if r := &s.Fleet.Report; r.Every > 0 {
			r.Every, r.Delay = 3, 0.5
		}
	}}}},
	{"probes", []Setting{{"forbidden", func(*Scenario) {}}, {"cheap", probes(0.002)}, {"dear", probes(0.05)}}},
	{"hints", []Setting{{"none", hints("none")}, {"rough", hints("rough")}, {"exact", hints("exact")}}},
	{"marks", []Setting{{"none", func(*Scenario) {}}, {"repeats", func(s *Scenario) { s.Clients.MarkRetries = true }}}},
	{"retries", []Setting{{"none", retries(0)}, {"1", retries(1)}, {"3", retries(3)}}},
	{"patience", []Setting{{"the deadline", timeoutShare(1)}, {"half", timeoutShare(0.5)}}},
	{"back-off", []Setting{{"as long as the aim", backoff(1)}, {"none", backoff(0)}}},
	{"advice", []Setting{{"none", func(s *Scenario) { s.Clients.HeedRetryAfter = 0 }}, {"heeded", func(s *Scenario) { s.Clients.HeedRetryAfter = 0.9 }}}},
	{"second copies", []Setting{{"no", func(*Scenario) {}}, {"allowed", func(s *Scenario) { s.Rules.AllowHedging = true }}}},
	{"cancelling", []Setting{
		{"allowed", func(s *Scenario) { s.Rules.AllowCancel = true }},
		{"no", func(s *Scenario) { s.Rules.AllowCancel = false }},
	}},
	{"attempts", []Setting{{"4", attempts(4)}, {"1", attempts(1)}}},
	{"warm keys", []Setting{{"no", func(s *Scenario) { s.Fleet.Affinity.Gain, s.Load.Keys = 0, 0 }}, {"yes", func(s *Scenario) {
		s.Fleet.Affinity, s.Load.Keys, s.Load.Zipf = Affinity{Gain: 0.45, Millis: 6000, KeysPerCore: 6}, 300, 0.8
	}}}},
	{"crowding", []Setting{{"no", func(s *Scenario) { s.Fleet.Overdrive = Overdrive{Slower: 1} }}, {"chokes", func(s *Scenario) {
		s.Fleet.Overdrive = Overdrive{PerCore: 5, Over: 2000, Slower: 3, Below: 0.3, Rest: 3000, Most: 20000}
	}}}},
	{"load", []Setting{{"0.4", load(0.4)}, {"0.2", load(0.2)}, {"0.55", load(0.55)}}},
	{"shape", []Setting{{"steady", func(*Scenario) {}}, {"wave", func(s *Scenario) {
		s.Load.Shape, s.Load.Swing, s.Load.Period = "wave", 0.3, 5
	}}}},
}

// cores sets the number of cores of each kind of backend.
func cores(counts ...int) func(*Scenario) {
	return func(s *Scenario) {
		for i := range s.Fleet.Kinds {
			s.Fleet.Kinds[i].Cores = counts[i]
		}
	}
}

func backends(n int) func(*Scenario) { return func(s *Scenario) { s.Fleet.Backends = n } }
func nodes(n int) func(*Scenario)    { return func(s *Scenario) { s.Nodes.Count = n } }
func sites(names ...string) func(*Scenario) {
	return func(s *Scenario) { s.Fleet.Sites = names }
}

// scale multiplies the work of all classes by a factor.
func scale(factor float64) func(*Scenario) {
	return func(s *Scenario) {
		for i := range s.Classes {
			s.Classes[i].Work *= factor
		}
	}
}

func dist(name string, cv float64) func(*Scenario) {
	return func(s *Scenario) {
		for i := range s.Classes {
			s.Classes[i].Dist, s.Classes[i].VariationCoefficient = name, cv
		}
	}
}

// latencyObjective sets the latency objective of each class to a multiple of its work.
func latencyObjective(factor float64) func(*Scenario) {
	return func(s *Scenario) {
		for i := range s.Classes {
			s.Classes[i].LatencyObjective = factor * s.Classes[i].Work
		}
	}
}

// deadline sets the deadline of each class to a multiple of its latency objective, but at least 1 ms.
func deadline(factor float64) func(*Scenario) {
	return func(s *Scenario) {
		for i := range s.Classes {
			s.Classes[i].Deadline = max(factor*s.Classes[i].LatencyObjective, 1)
		}
	}
}

// scope sets the scope of the idempotency keys of the class "keyed".
func scope(name string) func(*Scenario) {
	return func(s *Scenario) { s.Classes[2].KeyScope = name }
}

// window sets the idempotency window of each class to a multiple of its deadline.
func window(factor float64) func(*Scenario) {
	return func(s *Scenario) {
		for i := range s.Classes {
			s.Classes[i].IdempotencyWindow = factor * s.Classes[i].Deadline
		}
	}
}

func tenants(shares ...float64) func(*Scenario) {
	return func(s *Scenario) {
		for i, x := range shares {
			s.Tenants = append(s.Tenants, Tenant{Name: string(rune('a' + i)), Share: x, Usage: 1})
		}
	}
}

func fields(names ...string) func(*Scenario) {
	return func(s *Scenario) { s.Fleet.Report.Fields = names }
}

// probes allows health checks and sets their cost.
func probes(cost float64) func(*Scenario) {
	return func(s *Scenario) { s.Rules.AllowHealthChecks, s.Rules.HealthCheckCost = true, cost }
}

func hints(how string) func(*Scenario) { return func(s *Scenario) { s.Clients.Hints = how } }
func retries(n int) func(*Scenario)    { return func(s *Scenario) { s.Clients.Retries = n } }
func timeoutShare(x float64) func(*Scenario) {
	return func(s *Scenario) { s.Clients.TimeoutShare = x }
}

// backoff sets the backoff of clients to a multiple of the first class's latency objective.
func backoff(factor float64) func(*Scenario) {
	return func(s *Scenario) { s.Clients.Backoff = factor * s.Classes[0].LatencyObjective }
}

func attempts(n int) func(*Scenario)     { return func(s *Scenario) { s.Rules.MaxAttempts = n } }
func load(level float64) func(*Scenario) { return func(s *Scenario) { s.Load.Level = level } }

// DrawDeployment draws a setting for each knob. With a probability of one third it selects the default; otherwise all
// settings, including the default, are equally likely.
func DrawDeployment(seed uint64) Deployment {
	random := rand.New(rand.NewPCG(seed, 0x5eed))
	d := make(Deployment, len(Knobs))
	for i, knob := range Knobs {
		if random.IntN(3) > 0 {
			d[i] = random.IntN(len(knob.Settings))
		}
	}
	return d
}

// deploymentCalls is the approximate number of calls in the scenario of a deployment. It depends neither on the size of
// the fleet nor on the work of a call.
const deploymentCalls = 3000

// minSeconds is the minimum duration of a scenario. Nodes need that time to get endpoint lists and to learn.
const minSeconds = 8

// Scenario returns a scenario without faults for the deployment.
func (d Deployment) Scenario() *Scenario {
	s := Default()
	s.Name, s.WarmUp = "survey", 0
	s.Load.SiteSkew, s.Load.Swing = 0, 0
	s.Clients.Impatient = 0
	s.Fleet.Kinds = []Kind{
		{Name: "x", Share: 0.6, Speed: Range{1, 1}, Slots: 1, Queue: 12,
			SlowStartInitial: Range{0.2, 0.3}, SlowStartDuration: Range{11000, 24000}, KeyedDrop: true},
		{Name: "y", Share: 0.4, Speed: Range{0.9, 1}, Slots: 1, Queue: 8,
			SlowStartInitial: Range{0.2, 0.3}, SlowStartDuration: Range{10000, 24000}, KeyedDrop: true}}
	s.Classes = []Class{
		{Name: "read", Share: 0.6, Work: 40, Dist: "exp", Noise: 0.2, PriorityWeight: 1, Idempotency: "repeatable"},
		{Name: "once", Share: 0.2, Work: 50, Dist: "exp", Noise: 0.2, PriorityWeight: 5, Idempotency: "once"},
		{Name: "keyed", Share: 0.2, Work: 60, Dist: "exp", Noise: 0.2, PriorityWeight: 3, Idempotency: "by_key", KeyScope: "all"}}
	for i, knob := range Knobs {
		knob.Settings[d[i]].set(&s)
	}
	cores, work, shares := 0.0, 0.0, 0.0
	for _, kind := range s.Fleet.Kinds {
		cores += kind.Share * float64(kind.Cores) * float64(s.Fleet.Backends)
	}
	for _, class := range s.Classes {
		work += class.Share * class.Work
		shares += class.Share
	}
	s.Seconds = max(deploymentCalls*work/shares/1000/(s.Load.Level*cores), minSeconds)
	s.WarmUp = s.Seconds / 5 // during the warm-up the decision module learns
	s.Load.Period = max(s.Seconds/3, 0.1)
	return &s
}

// NonDefaultSettings returns the name and the setting of each knob that does not have its default setting.
func (d Deployment) NonDefaultSettings() []string {
	var names []string
	for i, knob := range Knobs {
		if d[i] > 0 {
			names = append(names, knob.Name+": "+knob.Settings[d[i]].Name)
		}
	}
	return names
}
