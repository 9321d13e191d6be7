package scenario

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"tulipglade/internal/faultinject"
)

// TestBuiltInScenariosAreValid checks that each built-in scenario is valid, and stays the same when it is encoded with
// its defaults and parsed again.
func TestBuiltInScenariosAreValid(t *testing.T) {
	if len(BuiltIn()) < 9 {
		t.Fatalf("%v", BuiltIn())
	}
	for _, name := range BuiltIn() {
		sc, err := Read(name)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if sc.Name != name || sc.About == "" {
			t.Errorf("%s has the name %q and the description %q", name, sc.Name, sc.About)
		}
		text, err := sc.Text()
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := Parse(name, text)
		if err != nil {
			t.Errorf("%s, encoded with defaults: %v", name, err)
			continue
		}
		if encoded, err := parsed.Text(); err != nil || string(encoded) != string(text) {
			t.Errorf("%s changes when it is encoded and parsed (%v)", name, err)
		}
	}
}

// TestCheckRejectsInvalidScenarios checks that the error for an invalid value states file, line, field and reason.
func TestCheckRejectsInvalidScenarios(t *testing.T) {
	for in, says := range map[string]string{
		"seconds = -1.0":                                    "f:1: seconds: -1 is not within 0.1 and 86400",
		"warm_up_s = 40.0":                                  "f:1: warm_up_s: 40 is not within 0 and 30",
		"\n[fleet]\nboxes = 0":                              "f:3: fleet.boxes: 0 is not within 1",
		"[fleet]\nsites = []":                               "f:2: fleet.sites: 0 sites",
		"[fleet]\nsites = ['a','a']":                        `f:2: fleet.sites: "a" at place 1 is empty or there twice`,
		"[load]\nlevel = nan":                               "f:2: load.level: NaN is not within",
		"[load]\nlevel = 0.0":                               "f:2: load.level: neither level nor per_s is above 0",
		"[load]\nshape = 'round'":                           `f:2: load.shape: "round" is none of`,
		"[load]\nshape = 'trace'":                           "f:1: load.trace: the shape trace needs a file",
		"[load]\nshape = 'surge'\nfrom_s = 5.0\ntill_s=5.0": "f:4: load.till_s: a surge from 5 to 5 s has no length",
		"[net]\npeer_ms = [5.0, 1.0]":                       "f:2: net.peer_ms: 5 to 1 is no range",
		"[net]\npeer_ms = [5.0]":                            "f:2: net.peer_ms: a range has two ends, not 1",
		"[[class]]\nshare = 1.0":                            "f:1: class[0].work_ms: 0 is not within",
		"[[fleet.kind]]\nshare = 1.0\ncores = 0":            "f:3: fleet.kind[0].cores: 0 is not within",
		"[[tenant]]\nname = 'a'":                            "f:1: tenant: the shares sum to 0",
		"[[fault]]\nkind = 'earthquake'":                    `f:2: fault[0].kind: "earthquake" is none of`,
		"[[fault]]\nkind = 'site-cut'":                      "f:1: fault[0].site: site-cut needs one of",
		"[[fault]]\nkind = 'site-cut'\nsite = 'x'":          `f:3: fault[0].site: "x" is none of`,
		"[[fault]]\nkind = 'kill'\nsize = 2.0":              "f:3: fault[0].size: kill has no size",
		"[[fault]]\nkind = 'fast-errors'\nsize = 2.0":       "f:3: fault[0].size: 2 is not within 0 and 1",
		"[[fault]]\nkind = 'kill'\nnodes = [1]":             "f:3: fault[0].nodes: kill does not hit nodes",
		"[[fault]]\nkind = 'kill'\nboxes = [-1]":            "f:3: fault[0].boxes: there is no number -1",
		"[[fault]]\nkind = 'kill'\nat_ms = -5":              "f:3: fault[0].at_ms: -5 is before the start",
		"[[fault]]\nkind = 'rolling'":                       "f:1: fault[0].for_ms: a rolling change needs a length",
		"[[fault]]\nkind = 'surge'\ntenant = 'nobody'":      `f:3: fault[0].tenant: "nobody"`,
		"[[fault]]\nkind = 'kill'\nboxes = [1]\nshare=0.5":  "f:4: fault[0].share: kill takes no share here",
		"[random_faults]\ncount = 3":                        "f:1: random_faults.max_ms: min_ms 0 and max_ms 0 are no range",
	} {
		_, err := Parse("f", []byte(in))
		if err == nil || !strings.HasPrefix(err.Error(), says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", in, err, says)
		}
	}
}

// TestFaultDefaultsAreComplete guards against faults without a target: targets that a file omits are drawn at random.
func TestFaultDefaultsAreComplete(t *testing.T) {
	sc, err := Parse("f", []byte(`
[[fault]]
kind = "fast-errors"
share = 0.25
[[fault]]
kind = "kill"
[[fault]]
kind = "slow"
site = "west"
[[fault]]
kind = "rolling"
for_ms = 24000
[[fault]]
kind = "node-kill"
at_ms = 5
[random_faults]
count = 40
min_ms = 10
max_ms = 90000
`))
	if err != nil {
		t.Fatal(err)
	}
	all := sc.ApplyDefaults(rand.New(rand.NewPCG(1, 1)))
	if !slices.IsSortedFunc(all, func(a, b faultinject.Fault) int { return int(a.Start - b.Start) }) {
		t.Error("not sorted by start")
	}
	count := map[faultinject.Kind][]faultinject.Fault{}
	scope := sc.Scope(nil, nil)
	for _, f := range all {
		count[f.Kind] = append(count[f.Kind], f)
		if err := f.Check("f", scope); err != nil {
			t.Errorf("%v: %v", f, err)
		}
		if f.Start+f.Duration > int64(sc.Seconds*1000) && f.Kind != faultinject.Drain {
			t.Errorf("%v ends after the run", f)
		}
	}
	if len(all) != 5-1+12+40 {
		t.Errorf("%d faults", len(all))
	}
	if n := len(count[faultinject.FastErrors][0].Backends); n != 3 {
		t.Errorf("a quarter of 12 backends is %d, want 3", n)
	}
	if b := count[faultinject.Slow][0].Backends; !slices.Equal(b, []int{1, 4, 7, 10}) {
		t.Errorf("the backends of west are %v, want 1, 4, 7 and 10", b)
	}
	if f := count[faultinject.NodeKill][0]; len(f.Nodes) != 1 {
		t.Errorf("%v", f)
	}
}
