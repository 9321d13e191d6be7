// Package scenario holds what the lab plays: a fleet, nodes, clients, the network and faults, as a TOML file says.
// A file names only what differs from the defaults; it is read strictly and checked whole before anything runs.
package scenario

import (
	"embed"
	"fmt"
	"io/fs"
	"math"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"tulipglade/internal/balancer"
	"tulipglade/internal/faultinject"
	"tulipglade/internal/tomlfile"
)

// Range is the two ends between which a value is drawn, evenly.
type Range []float64

// Scenario is one world. Times are in ms unless a name says otherwise; work is time on one core of speed 1.
type Scenario struct {
	Name         string                   `toml:"name"`
	About        string                   `toml:"about"`
	Seconds      float64                  `toml:"seconds"`    // of arrivals; what is open then is played to its end
	WarmUp       float64                  `toml:"warm_up_s"`  // arrivals before this are not counted
	OnlyCalls    []int                    `toml:"only_calls"` // not empty: the clients' other calls are left out (made by shrink)
	Fleet        Fleet                    `toml:"fleet"`
	Nodes        Nodes                    `toml:"nodes"`
	Load         Load                     `toml:"load"`
	Clients      Clients                  `toml:"clients"`
	Classes      []Class                  `toml:"class"`
	Tenants      []Tenant                 `toml:"tenant"`
	Net          Net                      `toml:"net"`
	Discovery    Discovery                `toml:"discovery"`
	Rules        Rules                    `toml:"rules"`
	Goal         Goal                     `toml:"goal"`
	Faults       []faultinject.Fault      `toml:"fault"`
	RandomFaults faultinject.RandomFaults `toml:"random_faults"`
}

// Fleet is the boxes.
type Fleet struct {
	Backends  int         `toml:"boxes"`
	Sites     []string    `toml:"sites"`
	Rack      int         `toml:"rack"` // boxes of a site that share one memory of keys
	Kinds     []Kind      `toml:"kind"`
	Overdrive Overdrive   `toml:"overdrive"`
	Affinity  Affinity    `toml:"affinity"`
	Report    Report      `toml:"report"`
	Conns     Connections `toml:"connections"`
}

// Kind is a model of box.
type Kind struct {
	Name              string  `toml:"name"`
	Share             float64 `toml:"share"`
	Cores             int     `toml:"cores"`
	Speed             Range   `toml:"speed"`
	Slots             float64 `toml:"slots_per_core"` // held in work at once; more than 1: they share the cores
	Queue             float64 `toml:"queue_per_core"` // may wait; what comes beyond is turned away
	Crowd             float64 `toml:"crowd_penalty"`  // of capacity, for each request held per core beyond crowd_from
	CrowdFrom         float64 `toml:"crowd_from"`     //
	SlowStartInitial  Range   `toml:"cold_from"`      // share of its capacity at which a box starts
	SlowStartDuration Range   `toml:"cold_ms"`        // and how long until it has all
	Errors            float64 `toml:"error_rate"`     // of requests, at any time
	CancelQueued      bool    `toml:"cancel_queued"`  // what still waits is dropped when its node gives up
	DropExpired       bool    `toml:"drop_expired"`   // what is past its deadline is turned away when its turn comes
	KeyedDrop         bool    `toml:"drop_keyed"`     // repeats by key are dropped, for the class's window
}

// Overdrive is a box that turns slow when far more wait than it has cores, and stays so.
type Overdrive struct {
	PerCore float64 `toml:"waiting_per_core"` // 0: no box does that
	Over    float64 `toml:"over_ms"`          // for so long
	Slower  float64 `toml:"slower"`           // times slower
	Below   float64 `toml:"rest_below"`       // until it has been less busy than this share of its cores
	Rest    float64 `toml:"rest_ms"`          // for so long
	Most    float64 `toml:"most_ms"`          // or until this has passed
}

// Affinity is that a box which has lately met a key does less work for it.
type Affinity struct {
	Gain        float64 `toml:"gain"` // share of the work spared; 0: none
	Millis      float64 `toml:"remember_ms"`
	KeysPerCore float64 `toml:"keys_per_core"`
}

// Report is what boxes tell of their load with each answer.
type Report struct {
	Every            float64 `toml:"every_ms"` // 0: nothing is told
	Delay            float64 `toml:"delay_ms"`
	Noise            float64 `toml:"noise"` // standard deviation, as a share
	IncludesInFlight bool    `toml:"held"`  // they also tell how many requests they hold
	// Fields are what they tell, of queue, util and held; empty: queue and util, and held if so said.
	Fields []string `toml:"fields"`
	// By is how: with answers and probes, or by probes alone.
	By string `toml:"by"`
}

// Connections are those from nodes to boxes: one request at a time on each.
type Connections struct {
	PerCore float64 `toml:"per_core"` // a box accepts no more; 0: no bound
	Rtts    float64 `toml:"handshake_rtts"`
	Work    float64 `toml:"handshake_us"` // of the box
	Idle    float64 `toml:"idle_ms"`
	Timeout float64 `toml:"timeout_ms"`
}

// Nodes are the instances of the policy.
type Nodes struct {
	Count  int     `toml:"count"`
	Tick   float64 `toml:"tick_ms"`          // least time between two rounds of events, as nodes are told
	Notice float64 `toml:"front_notices_ms"` // after which the front sends nothing more to a dead node
}

// Load is what clients ask for. The schedule does not wait for answers.
type Load struct {
	Level    float64 `toml:"level"`  // as a share of what the fleet can do
	PerS     float64 `toml:"per_s"`  // or calls a second; 0: by level
	Shape    string  `toml:"shape"`  // steady, constant (even gaps), wave, ramp, steps, surge, or trace
	Swing    float64 `toml:"swing"`  // of a wave: share up and down
	Period   float64 `toml:"wave_s"` // of a wave, or of one step
	Peak     float64 `toml:"peak"`   // of a surge, a ramp or steps: times the level
	From     float64 `toml:"from_s"` // surge: when it rises at once, and when it is over
	Until    float64 `toml:"till_s"`
	Trace    string  `toml:"trace"`       // of a trace: a file of lines "µs class tenant site key"
	Speed    float64 `toml:"trace_speed"` // of a trace: times as fast as it was recorded
	SiteSkew float64 `toml:"site_skew"`   // 0: sites alike; else the first has that much more than the mean, the last less
	Keys     int     `toml:"keys"`        // distinct ones; 0: none
	Zipf     float64 `toml:"key_zipf"`
}

// Clients are those who call.
type Clients struct {
	Retries       int     `toml:"retries"`
	TimeoutShare  float64 `toml:"try_share"` // of the class's deadline: when a try is given up
	Backoff       float64 `toml:"backoff_ms"`
	Growth        float64 `toml:"backoff_growth"`
	Jitter        float64 `toml:"backoff_jitter"` // share of the wait that is drawn anew
	Heed          float64 `toml:"heed"`           // share that waits as Retry-After says
	MaxRetryAfter float64 `toml:"max_retry_after_ms"`
	Impatient     float64 `toml:"impatient"`     // share that leaves before its time
	Hints         string  `toml:"hints"`         // of the work, with each try: none, rough or exact
	Marks         bool    `toml:"marks_repeats"` // repeats say that they are
	RetryFailed   bool    `toml:"retry_any"`     // naive: they repeat every class after any failure
}

// Class is a kind of request.
type Class struct {
	Name              string  `toml:"name"`
	Share             float64 `toml:"share"`
	Work              float64 `toml:"work_ms"`
	Dist              string  `toml:"dist"` // exp, lognormal or constant
	CV                float64 `toml:"cv"`   // of lognormal
	Noise             float64 `toml:"attempt_noise"`
	LatencyObjective  float64 `toml:"aim_ms"`
	Deadline          float64 `toml:"deadline_ms"`
	PriorityWeight    float64 `toml:"worth"`
	LateValue         float64 `toml:"late_share"`
	Idempotency       string  `toml:"effect"` // repeatable, by_key or once
	KeyScope          string  `toml:"scope"`  // of by_key: all, site or rack
	IdempotencyWindow float64 `toml:"window_ms"`
}

// Tenant shares the service.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage float64 `toml:"usage"` // of its share that it asks for
}

// Net is the links. Times are one way.
type Net struct {
	Same   float64 `toml:"same_ms"`
	Cross  float64 `toml:"cross_ms"`
	Client float64 `toml:"client_ms"`
	Jitter float64 `toml:"jitter"`       // share of the delay that is drawn anew, exponentially
	Peer   Range   `toml:"peer_ms"`      // datagrams between nodes
	Loss   float64 `toml:"peer_loss"`    //
	Reset  float64 `toml:"reset_rate"`   // of answers that end in a reset, at any time
	Stale  float64 `toml:"stale_idle"`   // of used idle connections that turn out to be closed
	Silent float64 `toml:"cut_reset_ms"` // after a cut has healed, when connections that lost something are reset
}

// Discovery is the service that tells the list.
type Discovery struct {
	Poll         bool    `toml:"ask"` // it answers only when asked
	Notice       Range   `toml:"notice_ms"`
	Silent       Range   `toml:"silent_notice_ms"` // of machines that vanished
	Spread       Range   `toml:"spread_ms"`        // to a node that watches
	PerS         float64 `toml:"calls_per_s"`
	LinesPerS    float64 `toml:"lines_per_s"`
	Timeout      float64 `toml:"timeout_ms"`
	PollInterval float64 `toml:"ask_every_ms"`
	RemovedAfter float64 `toml:"forgets_gone_ms"`
	DeltaLines   int     `toml:"delta_lines"` // more changes than that are told as the whole list
	// FailedCost: a call that has waited for too long has taken its turn all the same.
	FailedCost bool `toml:"failed_calls_cost"`
}

// Rules are the figures of the rules, as nodes are told them.
type Rules struct {
	AnswerGrace       float64 `toml:"answer_grace_ms"`
	DrainGrace        float64 `toml:"drain_grace_ms"`
	SlowStartInitial  float64 `toml:"cold_from"`
	SlowStartDuration float64 `toml:"cold_ramp_ms"`
	OverloadFactor    float64 `toml:"cold_multiple"`
	OverloadWindow    float64 `toml:"cold_window_ms"`
	MaxAttempts       int     `toml:"max_attempts"`
	AllowCancel       bool    `toml:"may_cancel"`
	AllowHealthChecks bool    `toml:"may_probe"`
	AllowHedging      bool    `toml:"may_duplicate"`
	Peers             bool    `toml:"peers"`
	CrossSite         float64 `toml:"price_cross_site"`
	HealthCheckCost   float64 `toml:"price_probe"`
}

// Goal weighs the parts of the one figure for a run.
type Goal struct {
	Overall     float64 `toml:"whole"`
	WorstWindow float64 `toml:"worst_window"`
	WorstClass  float64 `toml:"worst_class"`
	WorstTenant float64 `toml:"worst_tenant"`
	OverShare   float64 `toml:"over_share_worth"`
	Quota       float64 `toml:"quota_of_capacity"`
}

// Default is a fleet of three sites at an ordinary hour.
func Default() Scenario {
	return Scenario{
		Name: "default", Seconds: 30, WarmUp: 3,
		Fleet: Fleet{Backends: 12, Sites: []string{"east", "west", "south"}, Rack: 8,
			Overdrive: Overdrive{PerCore: 5, Over: 2000, Slower: 3, Below: 0.3, Rest: 3000, Most: 20000},
			Affinity:  Affinity{Gain: 0.45, Millis: 6000, KeysPerCore: 6},
			Report:    Report{Every: 1000, Delay: 200, Noise: 0.05, By: "answers"},
			Conns:     Connections{PerCore: 750, Rtts: 2, Work: 1500, Idle: 30000, Timeout: 250}},
		Nodes: Nodes{Count: 3, Tick: 5, Notice: 1500},
		Load:  Load{Speed: 1, Level: 0.6, Shape: "steady", Keys: 300, Zipf: 0.8, SiteSkew: 0.3, Period: 20, Swing: 0.1, Peak: 2},
		Clients: Clients{Retries: 2, TimeoutShare: 0.6, Backoff: 200, Growth: 2, Jitter: 0.5, Heed: 0.8, MaxRetryAfter: 2000,
			Impatient: 0.01, Hints: "none"},
		Net: Net{Same: 0.25, Cross: 5, Client: 0.7, Jitter: 0.2, Peer: Range{1, 30}, Silent: 500},
		Discovery: Discovery{Poll: true, Notice: Range{1200, 4000}, Silent: Range{6000, 14000}, Spread: Range{20, 100},
			PerS: 5, LinesPerS: 5000, Timeout: 3000, PollInterval: 10000, RemovedAfter: 60000, DeltaLines: 200},
		Rules: Rules{AnswerGrace: 20, DrainGrace: 500, SlowStartInitial: 0.13, SlowStartDuration: 24000, OverloadFactor: 3, OverloadWindow: 3000,
			MaxAttempts: 6, AllowCancel: true, Peers: true, CrossSite: 0.03},
		Goal: Goal{Overall: 0.35, WorstWindow: 0.35, WorstClass: 0.2, WorstTenant: 0.1, OverShare: 0.2, Quota: 0.8},
	}
}

// fill puts in the lists that the file does not give; they are all or nothing.
func (s *Scenario) fill() {
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
			{Name: "settle", Share: 0.22, Work: 260, Dist: "lognormal", CV: 1, Noise: 0.3, LatencyObjective: 1000, Deadline: 3000, PriorityWeight: 3,
				Idempotency: "by_key", KeyScope: "rack", IdempotencyWindow: 6000},
		}
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{"large", 0.55, 1}, {"middle", 0.29, 1}, {"small", 0.16, 1}}
	}
}

//go:embed files/*.toml
var shipped embed.FS

// Shipped are the names of the scenarios that come with the program.
func Shipped() []string {
	entries, err := fs.ReadDir(shipped, "files")
	if err != nil {
		panic(err) // embedded: cannot fail
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Source returns the text of a scenario, and the name to call it by in errors: a file's, or that of a shipped one.
func Source(name string) (file string, raw []byte, err error) {
	if raw, err := shipped.ReadFile("files/" + name + ".toml"); err == nil {
		return name + ".toml", raw, nil
	}
	raw, err = os.ReadFile(name)
	if err != nil && !strings.ContainsAny(name, "/.") {
		return name, nil, fmt.Errorf("%s: neither a file nor one of the scenarios shipped: %s", name, strings.Join(Shipped(), ", "))
	}
	return name, raw, err
}

// Read reads the scenario from a file, or the shipped one of that name.
func Read(name string) (*Scenario, error) {
	file, raw, err := Source(name)
	if err != nil {
		return nil, err
	}
	return Parse(file, raw)
}

// Parse reads a scenario over the defaults.
func Parse(file string, raw []byte) (*Scenario, error) {
	s := Default()
	if err := tomlfile.Decode(file, raw, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Text writes the whole scenario as TOML, defaults included.
func (s *Scenario) Text() ([]byte, error) { return toml.Marshal(s) }

// Effects and scopes as the files call them.
var (
	effects = map[string]balancer.Idempotency{"repeatable": balancer.Idempotent, "by_key": balancer.IdempotentByKey, "once": balancer.NonIdempotent}
	scopes  = map[string]balancer.KeyScope{"all": balancer.ScopeAll, "site": balancer.ScopeZone, "rack": balancer.ScopeCell}
)

// Check fills in what was left out and tells what is impossible.
func (s *Scenario) Check() error {
	s.fill()
	bad := tomlfile.Invalidf
	within := func(path string, x, least, most float64) error {
		if math.IsNaN(x) || x < least || x > most {
			return bad(path, "%g is not within %g and %g", x, least, most)
		}
		return nil
	}
	ordered := func(path string, r Range, least, most float64) error {
		if len(r) != 2 {
			return bad(path, "a range has two ends, not %d", len(r))
		}
		if !(r[0] >= least && r[0] <= r[1] && r[1] <= most) {
			return bad(path, "%g to %g is no range within %g and %g", r[0], r[1], least, most)
		}
		return nil
	}
	const day = 86400
	checks := []error{
		within("seconds", s.Seconds, 0.1, day), within("warm_up_s", s.WarmUp, 0, s.Seconds),
		within("fleet.boxes", float64(s.Fleet.Backends), 1, 1e5), within("fleet.rack", float64(s.Fleet.Rack), 1, 1e5),
		within("nodes.count", float64(s.Nodes.Count), 1, 1e4), within("nodes.tick_ms", s.Nodes.Tick, 0, 1000),
		within("nodes.front_notices_ms", s.Nodes.Notice, 0, 1e6),
		within("fleet.overdrive.waiting_per_core", s.Fleet.Overdrive.PerCore, 0, 1e6),
		within("fleet.overdrive.slower", s.Fleet.Overdrive.Slower, 1, 1000),
		within("fleet.affinity.gain", s.Fleet.Affinity.Gain, 0, 1),
		within("fleet.report.every_ms", s.Fleet.Report.Every, 0, 1e6),
		within("fleet.report.noise", s.Fleet.Report.Noise, 0, 10),
		within("fleet.connections.per_core", s.Fleet.Conns.PerCore, 0, 1e6),
		within("fleet.connections.idle_ms", s.Fleet.Conns.Idle, 0, 1e9),
		within("fleet.connections.timeout_ms", s.Fleet.Conns.Timeout, 1, 1e6),
		within("load.level", s.Load.Level, 0, 100), within("load.per_s", s.Load.PerS, 0, 1e7),
		within("load.swing", s.Load.Swing, 0, 1), within("load.wave_s", s.Load.Period, 0.1, day),
		within("load.peak", s.Load.Peak, 0, 1000), within("load.trace_speed", s.Load.Speed, 1e-3, 1e3), within("load.site_skew", s.Load.SiteSkew, 0, 1),
		within("load.keys", float64(s.Load.Keys), 0, 1e7), within("load.key_zipf", s.Load.Zipf, 0, 10),
		within("clients.retries", float64(s.Clients.Retries), 0, 100), within("clients.try_share", s.Clients.TimeoutShare, 0.01, 1),
		within("clients.backoff_ms", s.Clients.Backoff, 0, 1e6), within("clients.backoff_growth", s.Clients.Growth, 1, 100),
		within("clients.backoff_jitter", s.Clients.Jitter, 0, 1), within("clients.heed", s.Clients.Heed, 0, 1),
		within("clients.max_retry_after_ms", s.Clients.MaxRetryAfter, 0, 1e6),
		within("clients.impatient", s.Clients.Impatient, 0, 1),
		within("net.same_ms", s.Net.Same, 0, 1e4), within("net.cross_ms", s.Net.Cross, 0, 1e4),
		within("net.client_ms", s.Net.Client, 0, 1e4), within("net.jitter", s.Net.Jitter, 0, 10),
		within("net.peer_loss", s.Net.Loss, 0, 1), within("net.reset_rate", s.Net.Reset, 0, 1),
		within("net.stale_idle", s.Net.Stale, 0, 1), ordered("net.peer_ms", s.Net.Peer, 0, 1e5),
		ordered("discovery.notice_ms", s.Discovery.Notice, 0, 1e6),
		ordered("discovery.silent_notice_ms", s.Discovery.Silent, 0, 1e6),
		ordered("discovery.spread_ms", s.Discovery.Spread, 0, 1e6),
		within("discovery.calls_per_s", s.Discovery.PerS, 1e-3, 1e9), within("discovery.lines_per_s", s.Discovery.LinesPerS, 1, 1e12),
		within("discovery.timeout_ms", s.Discovery.Timeout, 1, 1e6), within("discovery.ask_every_ms", s.Discovery.PollInterval, 0, 1e9),
		within("rules.price_probe", s.Rules.HealthCheckCost, 0, 100),
		within("rules.answer_grace_ms", s.Rules.AnswerGrace, 0, 1e5), within("rules.drain_grace_ms", s.Rules.DrainGrace, 0, 1e6),
		within("rules.cold_from", s.Rules.SlowStartInitial, 0, 1), within("rules.cold_multiple", s.Rules.OverloadFactor, 0, 1000),
		within("rules.cold_ramp_ms", s.Rules.SlowStartDuration, 0, 1e7), within("rules.cold_window_ms", s.Rules.OverloadWindow, 0, 1e6),
		within("rules.max_attempts", float64(s.Rules.MaxAttempts), 1, 100),
		within("goal.over_share_worth", s.Goal.OverShare, 0, 1), within("goal.quota_of_capacity", s.Goal.Quota, 0, 100),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	if len(s.Fleet.Sites) == 0 || len(s.Fleet.Sites) > 100 {
		return bad("fleet.sites", "%d sites are not within 1 and 100", len(s.Fleet.Sites))
	}
	for i, name := range s.Fleet.Sites {
		if name == "" || slices.Index(s.Fleet.Sites, name) != i {
			return bad("fleet.sites", "%q at place %d is empty or there twice", name, i)
		}
	}
	for i, f := range s.Fleet.Report.Fields {
		if !slices.Contains(reportFields, f) {
			return bad(fmt.Sprintf("fleet.report.fields[%d]", i), "%q is none of %v", f, reportFields)
		}
	}
	if by := s.Fleet.Report.By; by != "answers" && by != "probes" {
		return bad("fleet.report.by", "%q is neither answers nor probes", by)
	}
	if !slices.Contains([]string{"none", "rough", "exact"}, s.Clients.Hints) {
		return bad("clients.hints", "%q is none of none, rough, exact", s.Clients.Hints)
	}
	switch shapes := []string{"steady", "constant", "wave", "ramp", "steps", "surge", "trace"}; {
	case !slices.Contains(shapes, s.Load.Shape):
		return bad("load.shape", "%q is none of %v", s.Load.Shape, shapes)
	case s.Load.Shape == "trace" && s.Load.Trace == "":
		return bad("load.trace", "the shape trace needs a file")
	case s.Load.Shape == "surge" && !(s.Load.From >= 0 && s.Load.From < s.Load.Until):
		return bad("load.till_s", "a surge from %g to %g s has no length", s.Load.From, s.Load.Until)
	case s.Load.Level == 0 && s.Load.PerS == 0 && s.Load.Shape != "trace":
		return bad("load.level", "neither level nor per_s is above 0")
	}
	if err := s.checkLists(within, ordered); err != nil {
		return err
	}
	if err := s.RandomFaults.Check("random_faults"); err != nil {
		return err
	}
	scope := s.Scope(nil, nil)
	for i, f := range s.Faults {
		if err := f.Check(fmt.Sprintf("fault[%d]", i), scope); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) checkLists(within func(string, float64, float64, float64) error,
	ordered func(string, Range, float64, float64) error) error {
	bad, kinds, classes, tenants := tomlfile.Invalidf, 0.0, 0.0, 0.0
	for i, k := range s.Fleet.Kinds {
		p := fmt.Sprintf("fleet.kind[%d].", i)
		kinds += k.Share
		for _, err := range []error{within(p+"share", k.Share, 0, 1e6), within(p+"cores", float64(k.Cores), 1, 1e4),
			ordered(p+"speed", k.Speed, 1e-3, 1e3), within(p+"slots_per_core", k.Slots, 1e-3, 1e4),
			within(p+"queue_per_core", k.Queue, 0, 1e9), within(p+"crowd_penalty", k.Crowd, 0, 100),
			ordered(p+"cold_from", k.SlowStartInitial, 0, 1), ordered(p+"cold_ms", k.SlowStartDuration, 0, 1e7),
			within(p+"error_rate", k.Errors, 0, 1)} {
			if err != nil {
				return err
			}
		}
	}
	for i, c := range s.Classes {
		p := fmt.Sprintf("class[%d].", i)
		classes += c.Share
		for _, err := range []error{within(p+"share", c.Share, 0, 1e6), within(p+"work_ms", c.Work, 1e-3, 1e6),
			within(p+"cv", c.CV, 0, 100), within(p+"attempt_noise", c.Noise, 0, 10), within(p+"deadline_ms", c.Deadline, 1, 1e7),
			within(p+"aim_ms", c.LatencyObjective, 0, c.Deadline), within(p+"worth", c.PriorityWeight, 0, 1e9), within(p+"late_share", c.LateValue, 0, 1),
			within(p+"window_ms", c.IdempotencyWindow, 0, 1e7)} {
			if err != nil {
				return err
			}
		}
		if !slices.Contains([]string{"exp", "lognormal", "constant"}, c.Dist) {
			return bad(p+"dist", "%q is none of exp, lognormal, constant", c.Dist)
		}
		if c.Dist == "lognormal" && c.CV == 0 {
			return bad(p+"cv", "a lognormal needs one above 0")
		}
		if _, ok := effects[c.Idempotency]; !ok {
			return bad(p+"effect", "%q is none of repeatable, by_key, once", c.Idempotency)
		}
		if _, ok := scopes[c.KeyScope]; !ok && (c.KeyScope != "" || c.Idempotency == "by_key") {
			return bad(p+"scope", "%q is none of all, site, rack", c.KeyScope)
		}
	}
	for i, t := range s.Tenants {
		p := fmt.Sprintf("tenant[%d].", i)
		tenants += t.Share
		for _, err := range []error{within(p+"share", t.Share, 0, 1e6), within(p+"usage", t.Usage, 0, 1e6)} {
			if err != nil {
				return err
			}
		}
	}
	for path, sum := range map[string]float64{"fleet.kind": kinds, "class": classes, "tenant": tenants} {
		if sum <= 0 {
			return bad(path, "the shares sum to %g", sum)
		}
	}
	return nil
}

// Scope is what there is to be hit by faults.
func (s *Scenario) Scope(boxSite, nodeSite func(int) string) faultinject.Scope {
	sc := faultinject.Scope{Backends: s.Fleet.Backends, Nodes: s.Nodes.Count, Sites: s.Fleet.Sites, BackendSite: boxSite, NodeSite: nodeSite}
	for _, t := range s.Tenants {
		sc.Tenants = append(sc.Tenants, t.Name)
	}
	return sc
}

// reportFields are the names of what a report may tell.
var reportFields = []string{"held", "queue", "util"}

// Includes says whether reports have a field.
func (r *Report) Includes(field string) bool {
	switch {
	case r.Every == 0:
		return false
	case len(r.Fields) > 0:
		return slices.Contains(r.Fields, field)
	}
	return field != "held" || r.IncludesInFlight
}

// LoadReport is a report with those fields only that are told.
func (r *Report) LoadReport(all balancer.LoadReport) balancer.LoadReport {
	if !r.Includes("held") {
		all.Outstanding = -1
	}
	if !r.Includes("queue") {
		all.Backlog = -1
	}
	if !r.Includes("util") {
		all.Utilization = -1
	}
	return all
}

// Site is the number of the site in which box or node number i stands.
func (s *Scenario) Site(i int) int { return i % len(s.Fleet.Sites) }

// ApplyDefaults returns the faults of the file and those drawn at random, with nothing left open, in the order in which
// they begin.
func (s *Scenario) ApplyDefaults(r faultinject.Rand) []faultinject.Fault {
	name := func(i int) string { return s.Fleet.Sites[s.Site(i)] }
	scope := s.Scope(name, name)
	var all []faultinject.Fault
	for _, f := range s.Faults {
		all = append(all, f.ApplyDefaults(scope, r).Expand()...)
	}
	all = append(all, s.RandomFaults.Draw(scope, int64(s.Seconds*1000), r)...)
	slices.SortStableFunc(all, func(a, b faultinject.Fault) int { return int(min(max(a.Start-b.Start, -1), 1)) })
	return all
}

// Config is what a node of that site is told of the deployment. Its own number is the caller's to add.
func (s *Scenario) Config(site int, quota []float64) balancer.Config {
	us := func(ms float64) balancer.Span { return balancer.Span(math.Round(ms * 1000)) }
	c := balancer.Config{Zone: site, PeerCount: s.Nodes.Count, MaxAttempts: s.Rules.MaxAttempts,
		AllowHedging: s.Rules.AllowHedging, AllowCancel: s.Rules.AllowCancel, AllowHealthChecks: s.Rules.AllowHealthChecks,
		PollDiscovery: s.Discovery.Poll, PollInterval: us(s.Discovery.PollInterval), TickInterval: us(s.Nodes.Tick),
		MaxRetryAfter: us(s.Clients.MaxRetryAfter), SlowStartInitial: s.Rules.SlowStartInitial, SlowStartDuration: us(s.Rules.SlowStartDuration),
		OverloadFactor: s.Rules.OverloadFactor, OverloadWindow: us(s.Rules.OverloadWindow), CrossZoneCost: s.Rules.CrossSite,
		HealthCheckCost: s.Rules.HealthCheckCost, ClientsMarkRetries: s.Clients.Marks, KeyAffinity: s.Fleet.Affinity.Gain > 0}
	if s.Clients.Heed == 0 {
		c.MaxRetryAfter = 0
	}
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, balancer.Class{LatencyObjective: us(k.LatencyObjective), Deadline: us(k.Deadline), IdempotencyWindow: us(k.IdempotencyWindow),
			Idempotency: effects[k.Idempotency], KeyScope: scopes[k.KeyScope], LateValue: k.LateValue, PriorityWeight: k.PriorityWeight})
	}
	for i, t := range s.Tenants {
		c.Tenants = append(c.Tenants, balancer.Tenant{QuotaFraction: t.Share, QuotaPerSecond: quota[i]})
	}
	return c
}
