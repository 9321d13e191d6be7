// Package scenario describes what the emulator plays: a fleet, nodes, clients, the network and faults, read from a TOML
// file. A file names only what differs from the defaults. It is decoded strictly and checked completely before a run.
package scenario

import (
	"tulipglade/internal/faultinject"
)

// Range holds the two ends of a uniform distribution.
type Range []float64

// Scenario is a deployment and what happens to it. Times are in ms unless a key says otherwise; work is time on one core
// of speed 1.
type Scenario struct {
	Name         string                   `toml:"name"`
	About        string                   `toml:"about"`
	Seconds      float64                  `toml:"seconds"`    // of arrivals; open calls are played to their end
	WarmUp       float64                  `toml:"warm_up_s"`  // calls that are due before this are not counted
	OnlyCalls    []int                    `toml:"only_calls"` // numbers of calls; if not empty, clients send no others (written by shrink)
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

// Kind is a model of backend. Share is its part of the fleet.
type Kind struct {
	Name              string  `toml:"name"`
	Share             float64 `toml:"share"`
	Cores             int     `toml:"cores"`
	Speed             Range   `toml:"speed"`
	Slots             float64 `toml:"slots_per_core"` // requests that run at once; more than 1 share the cores
	Queue             float64 `toml:"queue_per_core"` // requests that may wait; further ones are rejected
	Crowd             float64 `toml:"crowd_penalty"`  // loss of capacity for each request in flight per core beyond crowd_from
	CrowdFrom         float64 `toml:"crowd_from"`
	SlowStartInitial  Range   `toml:"cold_from"`     // fraction of its capacity at which a process starts
	SlowStartDuration Range   `toml:"cold_ms"`       // duration of slow start
	Errors            float64 `toml:"error_rate"`    // fraction of requests that fail without any fault
	CancelQueued      bool    `toml:"cancel_queued"` // a queued request is dropped when its node cancels it
	DropExpired       bool    `toml:"drop_expired"`  // a queued request past its deadline is rejected at the head of the queue
	KeyedDrop         bool    `toml:"drop_keyed"`    // requests with a known idempotency key don't run again
}

// Overdrive describes how a backend becomes overloaded by a long queue, and stays so until its load has been low.
type Overdrive struct {
	PerCore float64 `toml:"waiting_per_core"` // queue above which it happens; 0: never
	Over    float64 `toml:"over_ms"`          // for how long the queue must be that long
	Slower  float64 `toml:"slower"`           // factor on the time of all work
	Below   float64 `toml:"rest_below"`       // overload ends when requests in flight per core stay below this
	Rest    float64 `toml:"rest_ms"`          // for this long
	Most    float64 `toml:"most_ms"`          // the longest duration of overload
}

// Affinity describes how much less work a request is for a backend that has lately served its key.
type Affinity struct {
	Gain        float64 `toml:"gain"` // fraction of the work saved; 0: none
	Millis      float64 `toml:"remember_ms"`
	KeysPerCore float64 `toml:"keys_per_core"`
}

// Connections are those from nodes to backends, with one request at a time on each.
type Connections struct {
	PerCore float64 `toml:"per_core"` // limit that a backend accepts; 0: none
	Rtts    float64 `toml:"handshake_rtts"`
	Work    float64 `toml:"handshake_us"` // work of the backend
	Idle    float64 `toml:"idle_ms"`
	Timeout float64 `toml:"timeout_ms"`
}

// Nodes are the load balancer processes.
type Nodes struct {
	Count  int     `toml:"count"`
	Tick   float64 `toml:"tick_ms"`          // TickInterval of the nodes' configuration
	Notice float64 `toml:"front_notices_ms"` // time until the frontend stops sending to a stopped node
}

// Load describes the calls of clients, which do not wait for answers of other calls.
type Load struct {
	Level    float64 `toml:"level"`  // offered work as a fraction of the fleet's capacity
	PerS     float64 `toml:"per_s"`  // calls per second; 0: by level
	Shape    string  `toml:"shape"`  // steady, constant (even gaps), wave, ramp, steps, surge, or trace
	Swing    float64 `toml:"swing"`  // of a wave: relative amplitude
	Period   float64 `toml:"wave_s"` // period of a wave, length of a step
	Peak     float64 `toml:"peak"`   // of a surge, a ramp or steps: factor on the level
	From     float64 `toml:"from_s"` // start and end of a surge
	Until    float64 `toml:"till_s"`
	Trace    string  `toml:"trace"`       // of a trace: a file of lines "µs class tenant site key"
	Speed    float64 `toml:"trace_speed"` // of a trace: factor on the speed of the recording
	SiteSkew float64 `toml:"site_skew"`   // how much more than the mean the first site gets, and the last less; 0: all get the same
	Keys     int     `toml:"keys"`        // number of affinity keys; 0: none
	Zipf     float64 `toml:"key_zipf"`
}

// Clients describes how clients retry and what they send.
type Clients struct {
	Retries        int     `toml:"retries"`
	TimeoutShare   float64 `toml:"try_share"` // timeout of a request, as a fraction of its class's deadline
	Backoff        float64 `toml:"backoff_ms"`
	Growth         float64 `toml:"backoff_growth"`
	Jitter         float64 `toml:"backoff_jitter"` // fraction of the backoff that is random
	HeedRetryAfter float64 `toml:"heed"`           // fraction of clients that heed Retry-After
	MaxRetryAfter  float64 `toml:"max_retry_after_ms"`
	Impatient      float64 `toml:"impatient"`     // fraction of requests that the client cancels before the timeout
	Hints          string  `toml:"hints"`         // cost hint of each request: none, rough or exact
	MarkRetries    bool    `toml:"marks_repeats"` // retries are marked as such
	RetryFailed    bool    `toml:"retry_any"`     // naive clients: retry every class after any failure
}

// Class is a kind of request.
type Class struct {
	Name                 string  `toml:"name"`
	Share                float64 `toml:"share"`
	Work                 float64 `toml:"work_ms"`
	Dist                 string  `toml:"dist"` // exp, lognormal or constant
	VariationCoefficient float64 `toml:"cv"`   // of lognormal
	Noise                float64 `toml:"attempt_noise"`
	LatencyObjective     float64 `toml:"aim_ms"`
	Deadline             float64 `toml:"deadline_ms"`
	PriorityWeight       float64 `toml:"worth"`
	LateValue            float64 `toml:"late_share"`
	Idempotency          string  `toml:"effect"` // repeatable, by_key or once
	KeyScope             string  `toml:"scope"`  // of by_key: all, site or rack
	IdempotencyWindow    float64 `toml:"window_ms"`
}

// Tenant is a tenant of the service. Share is its quota.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage float64 `toml:"usage"` // calls as a fraction of its quota
}

// Net describes the links. Delays are one way.
type Net struct {
	Same   float64 `toml:"same_ms"`
	Cross  float64 `toml:"cross_ms"`
	Client float64 `toml:"client_ms"`
	Jitter float64 `toml:"jitter"`       // fraction of the delay that is exponentially distributed
	Peer   Range   `toml:"peer_ms"`      // datagrams between nodes
	Loss   float64 `toml:"peer_loss"`    // of datagrams between nodes
	Reset  float64 `toml:"reset_rate"`   // fraction of answers lost by a reset without any fault
	Stale  float64 `toml:"stale_idle"`   // fraction of reused connections that the backend has closed
	Silent float64 `toml:"cut_reset_ms"` // time until connections that lost messages in a partition are reset after it
}

// Discovery is the service that provides the endpoint list.
type Discovery struct {
	Poll         bool    `toml:"ask"` // nodes poll; otherwise they watch
	Notice       Range   `toml:"notice_ms"`
	Silent       Range   `toml:"silent_notice_ms"` // of unreachable machines
	Spread       Range   `toml:"spread_ms"`        // delay of a watch event
	PerS         float64 `toml:"calls_per_s"`
	LinesPerS    float64 `toml:"lines_per_s"`
	Timeout      float64 `toml:"timeout_ms"`
	PollInterval float64 `toml:"ask_every_ms"`
	RemovedAfter float64 `toml:"forgets_gone_ms"`
	DeltaLines   int     `toml:"delta_lines"` // more changes than that are answered with the complete list
	// FailedCost: calls that time out take up discovery's time like those that are answered.
	FailedCost bool `toml:"failed_calls_cost"`
}

// Rules are the limits that the nodes' configuration and the invariant checker get.
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

// Goal weighs the parts of a run's score.
type Goal struct {
	Overall     float64 `toml:"whole"`
	WorstWindow float64 `toml:"worst_window"`
	WorstClass  float64 `toml:"worst_class"`
	WorstTenant float64 `toml:"worst_tenant"`
	OverShare   float64 `toml:"over_share_worth"`
	Quota       float64 `toml:"quota_of_capacity"`
}

// Site returns the index of the site of the backend or node of that index.
func (s *Scenario) Site(i int) int { return i % len(s.Fleet.Sites) }
