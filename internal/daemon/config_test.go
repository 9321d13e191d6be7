package daemon

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"rev":41,"all":true,"targets":[
{"uid":"a","endpoint":"127.0.0.1:1","az":"z","state":"in_service","capacity_hint":1}]},
"settings":{"discovery":"ask","zones":["z"],"orgs":[{"name":"t","share":1}],
"profiles":[{"name":"read","aim_us":600000,"deadline_us":1500000,"effect":"repeatable"}],
"limits":{"connect_timeout_us":250000,"keepalive_us":30000000,"max_attempts":6,"max_open":20000},
"rules":{"ask_every_us":10000000,"grace_to_answer_us":20000},"tick_us":5000}}`

// A valid file is parsed completely. The error for an invalid one is a single line that names the invalid field. The
// environment provides the addresses that the file lacks.
func TestParseConfig(t *testing.T) {
	c, err := Parse([]byte(validConfig), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	want := []any{"n3", "127.0.0.1:0", 192, int64(41), 1, []string{"read"}, 20000, 1024, uint64(0x8c1f30d27a5be964), 6}
	got := []any{
		c.Name, c.Listen, c.MemoryMB, c.Endpoints.Revision, len(c.Endpoints.Targets), c.Node.Classes, c.Node.MaxInFlight,
		c.Node.MaxDescriptors, c.Node.Seed, c.Node.Balancer.MaxAttempts,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for _, c := range []struct{ from, to, field string }{
		{`"name"`, `name`, "configuration"},
		{`{"name"`, "module x\n\nrequire (\n", "configuration"},
		{`"listen":"127.0.0.1:0"`, `"listen":"here"`, "listen"},
		{`"discovery":"127.0.0.1:8500",`, ``, "discovery"},
		{`"seed"`, `"operator":"here","seed"`, "operator"},
		{`8c1f30d27a5be964`, `seed`, "seed"},
		{`"sockets":1024`, `"sockets":5`, "limits.sockets"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"cores":1`, `"cores":-1`, "limits.cores"},
		{`"in_service"`, `"asleep"`, "known: targets[0].state"},
		{`"effect":"repeatable"`, `"effect":"twice"`, "settings: profiles[0]"},
		{`"discovery":"ask"`, `"me":-1,"discovery":"ask"`, "settings: me"},
		{`"name":"read",`, ``, "settings.profiles[0].name"},
		{`{"name":"t","share":1}`, `{"name":"t"},{"name":"t"}`, "settings.orgs[1].name"},
		{`"connect_timeout_us":250000,`, ``, "settings.limits.connect_timeout_us"},
		{`"max_attempts":6`, `"max_attempts":0`, "settings.limits.max_attempts"},
		{`"max_attempts":6`, `"max_attempts":"6"`, "settings: limits.max_attempts"},
		{`"seed"`, `"operator":5,"seed"`, "configuration: operator"},
		{`"sockets":1024`, `"sockets":"x"`, "configuration: limits.sockets"},
		{`"deadline_us":1500000`, `"deadline_us":-5`, "settings.profiles[0].deadline_us"},
		{`"deadline_us":1500000`, `"deadline_us":1.5`, "settings: profiles.deadline_us"},
		{`"aim_us":600000,`, ``, "settings.profiles[0].aim_us"},
		{`"max_open":20000`, `"max_open":-1`, "settings.limits.max_open"},
		{`"ask_every_us":10000000,`, ``, "settings.rules.ask_every_us"},
		{`"settings"`, `"other"`, "settings: missing"},
	} {
		_, err := Parse([]byte(strings.Replace(validConfig, c.from, c.to, 1)), noEnvironment)
		if err == nil || !strings.Contains(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line that names %s", c.to, err, c.field)
		}
	}
	env := func(name string) string { return map[string]string{"GW_DISCOVERY": "127.0.0.1:9"}[name] }
	withoutDiscovery := strings.Replace(validConfig, `"discovery":"127.0.0.1:8500",`, ``, 1)
	if c, err := Parse([]byte(withoutDiscovery), env); err != nil || c.Discovery != "127.0.0.1:9" {
		t.Errorf("the address of discovery from the environment: %v", err)
	}
	env = func(name string) string { return map[string]string{"GW_OPERATOR": "127.0.0.1:7"}[name] }
	if c, err := Parse([]byte(validConfig), env); err != nil || c.Admin != "127.0.0.1:7" {
		t.Errorf("the admin address from the environment: %v", err)
	}
}
