package settings

import (
	"testing"

	"tulipglade/internal/balancer"
)

const deployment = `{"discovery":"ask","my_zone":1,"peers_total":4,"tick_us":5000,"novel":{"x":[1]},` +
	`"orgs":[{"name":"a","share":0.6,"quota_per_s":10}],` +
	`"profiles":[{"aim_us":500000,"deadline_us":1500000,"effect":"by_key","key_scope":"cell","window_us":1500000},` +
	`{"aim_us":600000,"deadline_us":2500000,"effect":"once"}],` +
	`"limits":{"max_attempts":6,"may_duplicate":true,"cancelling":true,"retry_after":false,"max_retry_after_us":9},` +
	`"rules":{"cold_from":0.12,"ramp_time_us":24000000,"overload_factor":3.0,"fall_us":3000000,"ask_every_us":7},` +
	`"report":{"fields":["utilization","backlog"],"how":"piggyback"}}`

func TestParse(t *testing.T) {
	parsed, err := Parse([]byte(deployment))
	if err != nil {
		t.Fatal(err)
	}
	config := parsed.Balancer
	if config.Classes[0].KeyScope != balancer.ScopeCell || config.Classes[1].Idempotency != balancer.NonIdempotent ||
		!config.PollDiscovery || config.MaxRetryAfter != 0 || config.MaxAttempts != 6 || config.OverloadFactor != 3 ||
		config.Tenants[0].QuotaPerSecond != 10 || len(parsed.LoadReportFields) != 2 {
		t.Errorf("%+v", parsed)
	}
}

func TestParseWithoutOptionalKeys(t *testing.T) {
	parsed, err := Parse([]byte(`{"discovery":"push","profiles":[{"deadline_us":5,"effect":"repeatable"}]}`))
	if err != nil || len(parsed.Balancer.Tenants) != 0 || parsed.Balancer.Classes[0].Deadline != 5 {
		t.Errorf("%+v, %v", parsed, err)
	}
}

func TestParseRejectsInvalidSettings(t *testing.T) {
	for name, document := range map[string]string{
		"empty":             ``,
		"cut short":         `{`,
		"not an object":     `[]`,
		"unknown discovery": `{"discovery":"shout"}`,
		"unknown effect":    `{"discovery":"push","profiles":[{"effect":"twice"}]}`,
		"unknown key scope": `{"discovery":"push","profiles":[{"effect":"once","key_scope":"street"}]}`,
		"text for a number": `{"discovery":"push","tick_us":"x"}`,
	} {
		if _, err := Parse([]byte(document)); err == nil {
			t.Errorf("%s: %s: no error", name, document)
		}
	}
}
