package scenario

import (
	"fmt"
	"math"
	"slices"

	"tulipglade/internal/tomlfile"
)

// Upper bounds of settings.
const (
	secondsPerDay = 86400
	maxSites      = 100
)

// Valid values of settings that are names.
var (
	loadShapes = []string{"steady", "constant", "wave", "ramp", "steps", "surge", "trace"}
	hintKinds  = []string{"none", "rough", "exact"}
	workDists  = []string{"exp", "lognormal", "constant"}
)

// Check fills in the lists that the file omits, and checks the whole scenario. The error names the first invalid field
// and its value.
func (s *Scenario) Check() error {
	s.fillLists()
	for _, check := range []func() error{
		s.checkBounds,
		s.checkSites,
		s.checkReport,
		s.checkHints,
		s.checkLoad,
		s.checkKinds,
		s.checkClasses,
		s.checkTenants,
		s.checkShares,
		s.checkFaults,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkBetween returns an error for the field at path unless x lies between least and most, bounds included.
func checkBetween(path string, x, least, most float64) error {
	if math.IsNaN(x) || x < least || x > most {
		return tomlfile.FieldErrorf(path, "%g is not within %g and %g", x, least, most)
	}
	return nil
}

// checkRange returns an error for the field at path unless r has two ends in ascending order that lie between least and
// most, bounds included.
func checkRange(path string, r Range, least, most float64) error {
	if len(r) != 2 {
		return tomlfile.FieldErrorf(path, "a range has two ends, not %d", len(r))
	}
	if !(r[0] >= least && r[0] <= r[1] && r[1] <= most) {
		return tomlfile.FieldErrorf(path, "%g to %g is no range within %g and %g", r[0], r[1], least, most)
	}
	return nil
}

// firstError returns the first error that is not nil, or nil if there is none.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkBounds checks the bounds of numbers that are not in a list of tables; the lists have checks of their own. Some
// settings have no bounds, such as fleet.overdrive.over_ms.
func (s *Scenario) checkBounds() error {
	return firstError(
		checkBetween("seconds", s.Seconds, 0.1, secondsPerDay),
		checkBetween("warm_up_s", s.WarmUp, 0, s.Seconds),
		s.Fleet.checkBounds(),
		checkBetween("nodes.count", float64(s.Nodes.Count), 1, 1e4),
		checkBetween("nodes.tick_ms", s.Nodes.Tick, 0, 1000),
		checkBetween("nodes.front_notices_ms", s.Nodes.Notice, 0, 1e6),
		s.Load.checkBounds(),
		s.Clients.checkBounds(),
		s.Net.checkBounds(),
		s.Discovery.checkBounds(),
		s.Rules.checkBounds(),
		checkBetween("goal.over_share_worth", s.Goal.OverShare, 0, 1),
		checkBetween("goal.quota_of_capacity", s.Goal.Quota, 0, 100),
	)
}

func (f *Fleet) checkBounds() error {
	return firstError(
		checkBetween("fleet.boxes", float64(f.Backends), 1, 1e5),
		checkBetween("fleet.rack", float64(f.Rack), 1, 1e5),
		checkBetween("fleet.overdrive.waiting_per_core", f.Overdrive.PerCore, 0, 1e6),
		checkBetween("fleet.overdrive.slower", f.Overdrive.Slower, 1, 1000),
		checkBetween("fleet.affinity.gain", f.Affinity.Gain, 0, 1),
		checkBetween("fleet.report.every_ms", f.Report.Every, 0, 1e6),
		checkBetween("fleet.report.noise", f.Report.Noise, 0, 10),
		checkBetween("fleet.connections.per_core", f.Conns.PerCore, 0, 1e6),
		checkBetween("fleet.connections.idle_ms", f.Conns.Idle, 0, 1e9),
		checkBetween("fleet.connections.timeout_ms", f.Conns.Timeout, 1, 1e6),
	)
}

func (l *Load) checkBounds() error {
	return firstError(
		checkBetween("load.level", l.Level, 0, 100),
		checkBetween("load.per_s", l.PerS, 0, 1e7),
		checkBetween("load.swing", l.Swing, 0, 1),
		checkBetween("load.wave_s", l.Period, 0.1, secondsPerDay),
		checkBetween("load.peak", l.Peak, 0, 1000),
		checkBetween("load.trace_speed", l.Speed, 1e-3, 1e3),
		checkBetween("load.site_skew", l.SiteSkew, 0, 1),
		checkBetween("load.keys", float64(l.Keys), 0, 1e7),
		checkBetween("load.key_zipf", l.Zipf, 0, 10),
	)
}

func (c *Clients) checkBounds() error {
	return firstError(
		checkBetween("clients.retries", float64(c.Retries), 0, 100),
		checkBetween("clients.try_share", c.TimeoutShare, 0.01, 1),
		checkBetween("clients.backoff_ms", c.Backoff, 0, 1e6),
		checkBetween("clients.backoff_growth", c.Growth, 1, 100),
		checkBetween("clients.backoff_jitter", c.Jitter, 0, 1),
		checkBetween("clients.heed", c.HeedRetryAfter, 0, 1),
		checkBetween("clients.max_retry_after_ms", c.MaxRetryAfter, 0, 1e6),
		checkBetween("clients.impatient", c.Impatient, 0, 1),
	)
}

func (n *Net) checkBounds() error {
	return firstError(
		checkBetween("net.same_ms", n.Same, 0, 1e4),
		checkBetween("net.cross_ms", n.Cross, 0, 1e4),
		checkBetween("net.client_ms", n.Client, 0, 1e4),
		checkBetween("net.jitter", n.Jitter, 0, 10),
		checkBetween("net.peer_loss", n.Loss, 0, 1),
		checkBetween("net.reset_rate", n.Reset, 0, 1),
		checkBetween("net.stale_idle", n.Stale, 0, 1),
		checkRange("net.peer_ms", n.Peer, 0, 1e5),
	)
}

func (d *Discovery) checkBounds() error {
	return firstError(
		checkRange("discovery.notice_ms", d.Notice, 0, 1e6),
		checkRange("discovery.silent_notice_ms", d.Silent, 0, 1e6),
		checkRange("discovery.spread_ms", d.Spread, 0, 1e6),
		checkBetween("discovery.calls_per_s", d.PerS, 1e-3, 1e9),
		checkBetween("discovery.lines_per_s", d.LinesPerS, 1, 1e12),
		checkBetween("discovery.timeout_ms", d.Timeout, 1, 1e6),
		checkBetween("discovery.ask_every_ms", d.PollInterval, 0, 1e9),
	)
}

func (r *Rules) checkBounds() error {
	return firstError(
		checkBetween("rules.price_probe", r.HealthCheckCost, 0, 100),
		checkBetween("rules.answer_grace_ms", r.AnswerGrace, 0, 1e5),
		checkBetween("rules.drain_grace_ms", r.DrainGrace, 0, 1e6),
		checkBetween("rules.cold_from", r.SlowStartInitial, 0, 1),
		checkBetween("rules.cold_multiple", r.OverloadFactor, 0, 1000),
		checkBetween("rules.cold_ramp_ms", r.SlowStartDuration, 0, 1e7),
		checkBetween("rules.cold_window_ms", r.OverloadWindow, 0, 1e6),
		checkBetween("rules.max_attempts", float64(r.MaxAttempts), 1, 100),
	)
}

func (s *Scenario) checkSites() error {
	sites := s.Fleet.Sites
	if len(sites) == 0 || len(sites) > maxSites {
		return tomlfile.FieldErrorf("fleet.sites", "%d sites are not within 1 and %d", len(sites), maxSites)
	}
	for i, name := range sites {
		if name == "" || slices.Index(sites, name) != i {
			return tomlfile.FieldErrorf("fleet.sites", "%q at place %d is empty or there twice", name, i)
		}
	}
	return nil
}

func (s *Scenario) checkReport() error {
	report := &s.Fleet.Report
	for i, field := range report.Fields {
		if !slices.Contains(reportFields, field) {
			return tomlfile.FieldErrorf(fmt.Sprintf("fleet.report.fields[%d]", i), "%q is none of %v", field, reportFields)
		}
	}
	if report.SentBy != "answers" && report.SentBy != "probes" {
		return tomlfile.FieldErrorf("fleet.report.by", "%q is neither answers nor probes", report.SentBy)
	}
	return nil
}

func (s *Scenario) checkHints() error {
	if !slices.Contains(hintKinds, s.Clients.Hints) {
		return tomlfile.FieldErrorf("clients.hints", "%q is none of none, rough, exact", s.Clients.Hints)
	}
	return nil
}

func (s *Scenario) checkLoad() error {
	load := &s.Load
	switch {
	case !slices.Contains(loadShapes, load.Shape):
		return tomlfile.FieldErrorf("load.shape", "%q is none of %v", load.Shape, loadShapes)
	case load.Shape == "trace" && load.Trace == "":
		return tomlfile.FieldErrorf("load.trace", "the shape trace needs a file")
	case load.Shape == "surge" && !(load.From >= 0 && load.From < load.Until):
		return tomlfile.FieldErrorf("load.till_s", "a surge from %g to %g s has no length", load.From, load.Until)
	case load.Level == 0 && load.PerS == 0 && load.Shape != "trace":
		return tomlfile.FieldErrorf("load.level", "neither level nor per_s is above 0")
	}
	return nil
}

func (s *Scenario) checkKinds() error {
	for i, kind := range s.Fleet.Kinds {
		path := fmt.Sprintf("fleet.kind[%d].", i)
		if err := firstError(
			checkBetween(path+"share", kind.Share, 0, 1e6),
			checkBetween(path+"cores", float64(kind.Cores), 1, 1e4),
			checkRange(path+"speed", kind.Speed, 1e-3, 1e3),
			checkBetween(path+"slots_per_core", kind.Slots, 1e-3, 1e4),
			checkBetween(path+"queue_per_core", kind.Queue, 0, 1e9),
			checkBetween(path+"crowd_penalty", kind.Crowd, 0, 100),
			checkRange(path+"cold_from", kind.SlowStartInitial, 0, 1),
			checkRange(path+"cold_ms", kind.SlowStartDuration, 0, 1e7),
			checkBetween(path+"error_rate", kind.Errors, 0, 1),
		); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) checkClasses() error {
	for i := range s.Classes {
		if err := s.Classes[i].check(fmt.Sprintf("class[%d].", i)); err != nil {
			return err
		}
	}
	return nil
}

// check checks a class; path is the prefix of its keys in errors.
func (c *Class) check(path string) error {
	if err := firstError(
		checkBetween(path+"share", c.Share, 0, 1e6),
		checkBetween(path+"work_ms", c.Work, 1e-3, 1e6),
		checkBetween(path+"cv", c.VariationCoefficient, 0, 100),
		checkBetween(path+"attempt_noise", c.Noise, 0, 10),
		checkBetween(path+"deadline_ms", c.Deadline, 1, 1e7),
		checkBetween(path+"aim_ms", c.LatencyObjective, 0, c.Deadline),
		checkBetween(path+"worth", c.PriorityWeight, 0, 1e9),
		checkBetween(path+"late_share", c.LateValue, 0, 1),
		checkBetween(path+"window_ms", c.IdempotencyWindow, 0, 1e7),
	); err != nil {
		return err
	}
	if !slices.Contains(workDists, c.Dist) {
		return tomlfile.FieldErrorf(path+"dist", "%q is none of exp, lognormal, constant", c.Dist)
	}
	if c.Dist == "lognormal" && c.VariationCoefficient == 0 {
		return tomlfile.FieldErrorf(path+"cv", "a lognormal distribution needs a coefficient of variation above 0")
	}
	if _, ok := idempotencies[c.Idempotency]; !ok {
		return tomlfile.FieldErrorf(path+"effect", "%q is none of repeatable, by_key, once", c.Idempotency)
	}
	if _, ok := scopes[c.KeyScope]; !ok && (c.KeyScope != "" || c.Idempotency == "by_key") {
		return tomlfile.FieldErrorf(path+"scope", "%q is none of all, site, rack", c.KeyScope)
	}
	return nil
}

func (s *Scenario) checkTenants() error {
	for i, tenant := range s.Tenants {
		path := fmt.Sprintf("tenant[%d].", i)
		if err := firstError(
			checkBetween(path+"share", tenant.Share, 0, 1e6),
			checkBetween(path+"usage", tenant.Usage, 0, 1e6),
		); err != nil {
			return err
		}
	}
	return nil
}

// checkShares checks that the shares of each list have a positive sum, since they are divided by it later.
func (s *Scenario) checkShares() error {
	kinds, classes, tenants := 0.0, 0.0, 0.0
	for i := range s.Fleet.Kinds {
		kinds += s.Fleet.Kinds[i].Share
	}
	for i := range s.Classes {
		classes += s.Classes[i].Share
	}
	for i := range s.Tenants {
		tenants += s.Tenants[i].Share
	}
	return firstError(
		checkPositiveSum("fleet.kind", kinds),
		checkPositiveSum("class", classes),
		checkPositiveSum("tenant", tenants),
	)
}

// checkPositiveSum returns an error for the list at path unless the sum of its shares is positive.
func checkPositiveSum(path string, sum float64) error {
	if sum <= 0 {
		return tomlfile.FieldErrorf(path, "the shares sum to %g", sum)
	}
	return nil
}

func (s *Scenario) checkFaults() error {
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
