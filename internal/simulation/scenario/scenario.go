// Package scenario describes what the emulator simulates: a fleet of backends, nodes, clients, the network and faults.
// A scenario is read from a TOML file, which contains only the settings that differ from the defaults. The file is
// decoded strictly, and all settings are checked before a run.
package scenario

import (
	"tulipglade/internal/faultinject"
)

// Range holds the lower and the upper end of a uniform distribution.
type Range []float64

// Scenario describes a deployment, its load and its faults. Times are in ms unless the name of the key states another
// unit. Work is measured as the time that it takes on one core of speed 1.
type Scenario struct {
	Name         string                   `toml:"name"`
	About        string                   `toml:"about"`
	Seconds      float64                  `toml:"seconds"`    // duration of arrivals; open calls are then completed
	WarmUp       float64                  `toml:"warm_up_s"`  // calls that are due earlier are not counted
	OnlyCalls    []int                    `toml:"only_calls"` // unless empty, the only calls sent (written by shrink)
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

// Fleet describes the backends.
type Fleet struct {
	Backends  int         `toml:"boxes"`
	Sites     []string    `toml:"sites"`
	Rack      int         `toml:"rack"` // backends of a site that share one idempotency store
	Kinds     []Kind      `toml:"kind"`
	Overdrive Overdrive   `toml:"overdrive"`
	Affinity  Affinity    `toml:"affinity"`
	Report    Report      `toml:"report"`
	Conns     Connections `toml:"connections"`
}

// Kind describes a model of backend. Share is its share of the fleet, relative to the shares of the other kinds.
// While n requests per core are in flight and n is above crowd_from, the capacity is divided by
// 1 + crowd_penalty·(n - crowd_from).
type Kind struct {
	Name              string  `toml:"name"`
	Share             float64 `toml:"share"`
	Cores             int     `toml:"cores"`
	Speed             Range   `toml:"speed"`
	Slots             float64 `toml:"slots_per_core"` // concurrent requests; more than 1 share the cores
	Queue             float64 `toml:"queue_per_core"` // queued requests; further ones are rejected
	Crowd             float64 `toml:"crowd_penalty"`  // loss of capacity per request above crowd_from
	CrowdFrom         float64 `toml:"crowd_from"`
	SlowStartInitial  Range   `toml:"cold_from"`     // fraction of its capacity that a process has when it starts
	SlowStartDuration Range   `toml:"cold_ms"`       // duration of slow start
	Errors            float64 `toml:"error_rate"`    // fraction of requests that fail without a fault of the scenario
	CancelQueued      bool    `toml:"cancel_queued"` // a queued request is dropped when its node cancels it
	DropExpired       bool    `toml:"drop_expired"`  // a request past its deadline is rejected at the queue's head
	KeyedDrop         bool    `toml:"drop_keyed"`    // requests with a known idempotency key aren't run again
}

// Overdrive describes how a long queue overloads a backend, which then stays overloaded until its load has been low for
// a while.
type Overdrive struct {
	PerCore float64 `toml:"waiting_per_core"` // queue length above which overload begins; 0: never
	Over    float64 `toml:"over_ms"`          // overload begins after the queue has been that long for this time
	Slower  float64 `toml:"slower"`           // factor by which all work takes longer during overload
	Below   float64 `toml:"rest_below"`       // requests in flight per core at or below which load is low
	Rest    float64 `toml:"rest_ms"`          // overload ends after the load has been low for this long
	Most    float64 `toml:"most_ms"`          // the maximum duration of overload
}

// Affinity describes how much less work a request takes at a backend that has recently served the same affinity key.
type Affinity struct {
	Gain        float64 `toml:"gain"` // fraction of the work saved; 0: none
	Millis      float64 `toml:"remember_ms"`
	KeysPerCore float64 `toml:"keys_per_core"`
}

// Connections describes the connections from nodes to backends. Each connection carries one request at a time.
type Connections struct {
	PerCore float64 `toml:"per_core"` // limit of the connections that a backend accepts; 0: no limit
	Rtts    float64 `toml:"handshake_rtts"`
	Work    float64 `toml:"handshake_us"` // work of the backend for a handshake
	Idle    float64 `toml:"idle_ms"`
	Timeout float64 `toml:"timeout_ms"`
}

// Nodes describes the load balancer processes.
type Nodes struct {
	Count  int     `toml:"count"`
	Tick   float64 `toml:"tick_ms"`          // TickInterval of the nodes' configuration
	Notice float64 `toml:"front_notices_ms"` // time until the frontend stops sending to a stopped node
}

// Load describes the calls of clients. The arrivals of calls don't depend on the answers to other calls.
type Load struct {
	Level    float64 `toml:"level"`  // offered work as a fraction of the fleet's capacity
	PerS     float64 `toml:"per_s"`  // calls per second; 0: the rate follows from level
	Shape    string  `toml:"shape"`  // steady, constant (even gaps), wave, ramp, steps, surge, or trace
	Swing    float64 `toml:"swing"`  // relative amplitude of a wave
	Period   float64 `toml:"wave_s"` // period of a wave, or duration of a step
	Peak     float64 `toml:"peak"`   // factor on the level in a surge, or at the end of a ramp or of steps
	From     float64 `toml:"from_s"` // start of a surge; till_s is its end
	Until    float64 `toml:"till_s"`
	Trace    string  `toml:"trace"`       // file of a trace, with lines of the form "µs class tenant site key"
	Speed    float64 `toml:"trace_speed"` // speed at which a trace is replayed, relative to the recording
	SiteSkew float64 `toml:"site_skew"`   // relative excess at the first site, and deficit at the last; 0: even
	Keys     int     `toml:"keys"`        // number of affinity keys; 0: none
	Zipf     float64 `toml:"key_zipf"`
}

// Clients describes how clients retry, and what they send with their requests.
type Clients struct {
	Retries        int     `toml:"retries"`
	TimeoutShare   float64 `toml:"try_share"` // timeout of a request, as a fraction of its class's deadline
	Backoff        float64 `toml:"backoff_ms"`
	Growth         float64 `toml:"backoff_growth"`
	Jitter         float64 `toml:"backoff_jitter"` // fraction of the backoff that is drawn at random
	HeedRetryAfter float64 `toml:"heed"`           // fraction of clients that obey Retry-After
	MaxRetryAfter  float64 `toml:"max_retry_after_ms"`
	Impatient      float64 `toml:"impatient"`     // fraction of requests that the client cancels before the timeout
	Hints          string  `toml:"hints"`         // cost hint of each request: none, rough or exact
	MarkRetries    bool    `toml:"marks_repeats"` // clients mark their retries as such
	RetryFailed    bool    `toml:"retry_any"`     // naive clients: retry every class after any failure
}

// Class describes a class of requests.
type Class struct {
	Name                 string  `toml:"name"`
	Share                float64 `toml:"share"`
	Work                 float64 `toml:"work_ms"`
	Dist                 string  `toml:"dist"` // exp, lognormal or constant
	VariationCoefficient float64 `toml:"cv"`   // coefficient of variation of a lognormal dist
	Noise                float64 `toml:"attempt_noise"`
	LatencyObjective     float64 `toml:"aim_ms"`
	Deadline             float64 `toml:"deadline_ms"`
	PriorityWeight       float64 `toml:"worth"`
	LateValue            float64 `toml:"late_share"`
	Idempotency          string  `toml:"effect"` // repeatable, by_key or once
	KeyScope             string  `toml:"scope"`  // where the keys of by_key are known: all, site or rack
	IdempotencyWindow    float64 `toml:"window_ms"`
}

// Tenant describes a tenant of the service. Share is its share of the total quota, relative to those of other tenants.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage float64 `toml:"usage"` // calls of the tenant, as a fraction of its quota
}

// Net describes the network links. All delays are one-way delays. Connections that lost messages while a site was
// partitioned, lost or silent are reset cut_reset_ms after the end of that fault.
type Net struct {
	Same   float64 `toml:"same_ms"`
	Cross  float64 `toml:"cross_ms"`
	Client float64 `toml:"client_ms"`
	Jitter float64 `toml:"jitter"`       // fraction of the delay that is exponentially distributed
	Peer   Range   `toml:"peer_ms"`      // delay of datagrams between nodes
	Loss   float64 `toml:"peer_loss"`    // fraction of the datagrams between nodes that are lost
	Reset  float64 `toml:"reset_rate"`   // fraction of answers lost by a reset without a fault
	Stale  float64 `toml:"stale_idle"`   // fraction of reused connections that the backend has already closed
	Silent float64 `toml:"cut_reset_ms"` // time until connections with losses are reset
}

// Discovery describes the service that provides the endpoint list.
type Discovery struct {
	Poll         bool    `toml:"ask"`              // nodes poll; otherwise they watch
	Notice       Range   `toml:"notice_ms"`        // delay until discovery learns of a change
	Silent       Range   `toml:"silent_notice_ms"` // notice_ms for unreachable machines
	Spread       Range   `toml:"spread_ms"`        // delay of a watch event
	PerS         float64 `toml:"calls_per_s"`
	LinesPerS    float64 `toml:"lines_per_s"`
	Timeout      float64 `toml:"timeout_ms"`
	PollInterval float64 `toml:"ask_every_ms"`
	RemovedAfter float64 `toml:"forgets_gone_ms"`
	DeltaLines   int     `toml:"delta_lines"` // a node that lacks more changes than this gets the complete list
	// FailedCost makes calls that time out occupy discovery for as long as calls that are answered.
	FailedCost bool `toml:"failed_calls_cost"`
}

// Rules holds the limits for the nodes' configuration and for the invariant checker.
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

// Goal holds the weights of the parts of a run's score, the factor on the value of calls beyond a quota, and the sum of
// all quotas as a fraction of the fleet's capacity.
type Goal struct {
	Overall     float64 `toml:"whole"`
	WorstWindow float64 `toml:"worst_window"`
	WorstClass  float64 `toml:"worst_class"`
	WorstTenant float64 `toml:"worst_tenant"`
	OverShare   float64 `toml:"over_share_worth"`
	Quota       float64 `toml:"quota_of_capacity"`
}

// Site returns the index of the site in which the backend or node with index i is.
func (s *Scenario) Site(i int) int { return i % len(s.Fleet.Sites) }
