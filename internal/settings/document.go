package settings

// settingsJSON is the JSON form of the settings. The tags are the keys of the protocol; times are in microseconds.
type settingsJSON struct {
	Discovery    string        `json:"discovery"`
	Zone         int           `json:"my_zone"`
	PeerCount    int           `json:"peers_total"`
	PeerIndex    int           `json:"me"`
	TickInterval int64         `json:"tick_us"`
	Tenants      []tenantJSON  `json:"orgs"`
	Classes      []classJSON   `json:"profiles"`
	Limits       limitsJSON    `json:"limits"`
	Prices       pricesJSON    `json:"prices"`
	Rules        rulesJSON     `json:"rules"`
	Specifics    specificsJSON `json:"specifics"`
	Clients      clientsJSON   `json:"clients"`
	Report       reportJSON    `json:"report"`
}

// tenantJSON is the JSON form of a balancer.Tenant.
type tenantJSON struct {
	QuotaFraction  float64 `json:"share"`
	QuotaPerSecond float64 `json:"quota_per_s"`
}

// classJSON is the JSON form of a balancer.Class.
type classJSON struct {
	LatencyObjective  int64   `json:"aim_us"`
	Deadline          int64   `json:"deadline_us"`
	IdempotencyWindow int64   `json:"window_us"`
	Idempotency       string  `json:"effect"`
	KeyScope          string  `json:"key_scope"`
	LateValue         float64 `json:"late_share"`
	PriorityWeight    float64 `json:"credit"`
}

type limitsJSON struct {
	MaxAttempts       int   `json:"max_attempts"`
	AllowHedging      bool  `json:"may_duplicate"`
	AllowCancel       bool  `json:"cancelling"`
	AllowHealthChecks bool  `json:"probing"`
	SendRetryAfter    bool  `json:"retry_after"`
	MaxRetryAfter     int64 `json:"max_retry_after_us"`
}

type pricesJSON struct {
	CrossZone   float64 `json:"cross_zone"`
	HealthCheck float64 `json:"probe"`
}

type rulesJSON struct {
	PollInterval      int64   `json:"ask_every_us"`
	SlowStartInitial  float64 `json:"cold_from"`
	SlowStartDuration int64   `json:"ramp_time_us"`
	OverloadFactor    float64 `json:"overload_factor"`
	OverloadWindow    int64   `json:"fall_us"`
}

type specificsJSON struct {
	KeyAffinity bool `json:"warm_keys"`
}

type clientsJSON struct {
	AnnounceRetries bool `json:"marks_retry"`
}

type reportJSON struct {
	Fields []string `json:"fields"`
}
