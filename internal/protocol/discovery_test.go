package protocol

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParseList(t *testing.T) {
	const one = `{"uid":"s-1","endpoint":"127.0.0.1:3000","az":"a","model":"m2","pod_group":3,"state":"in_service",` +
		`"capacity_hint":1.5,"boot_ms":7}`
	target := Target{"s-1", "127.0.0.1:3000", "a", 3, InService, 1.5, 7}
	for _, c := range []struct {
		name, in string
		want     List
		err      string
	}{
		{"full", `{"rev":41,"all":true,"targets":[` + one + `]}`,
			List{41, true, []Target{target}}, ""},
		{"changes, none", `{"rev":42,"all":false,"targets":[],"new":{"x":1}}`, List{42, false, []Target{}}, ""},
		{"states", `{"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"terminating"},{"uid":"b","state":"terminated"}]}`,
			List{0, false, []Target{{UID: "a", Endpoint: "127.0.0.1:1", State: Terminating}, {UID: "b", State: Terminated}}}, ""},
		{"indented", "{\n  \"rev\": 41,\n  \"all\": true,\r\n\t\"targets\": [\n" + strings.ReplaceAll(one, ",", ",\n\t ") + "\n ]\n}\n",
			List{41, true, []Target{target}}, ""},
		{"full, with an equal duplicate", `{"rev":41,"all":true,"targets":[` + one + "," + one + `]}`,
			List{41, true, []Target{target, target}}, ""},
		{"full, with a contradictory duplicate",
			`{"rev":41,"all":true,"targets":[` + one + "," + strings.Replace(one, "in_service", "terminating", 1) + `]}`,
			List{}, `targets[1].uid: "s-1" is there twice`},
		{"changes, one after the other", `{"rev":41,"targets":[` + one + `,{"uid":"s-1","state":"terminated"}]}`,
			List{41, false, []Target{target, {UID: "s-1", State: Terminated}}}, ""},
		{"cut", `{"rev":41,"all":true,"targets":[` + one + `,{"uid":"s-2"`, List{}, "list of backends"},
		{"not JSON", `{"rev":`, List{}, "list of backends"},
		{"other type", `{"rev":"x"}`, List{}, "list of backends"},
		{"unknown state", `{"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"idle"}]}`, List{}, `targets[0].state: unknown state "idle"`},
		{"no uid", strings.Replace(`{"targets":[`+one+`]}`, "s-1", "", 1), List{}, "targets[0].uid"},
		{"a name for an address", `{"targets":[{"uid":"a","endpoint":"app:1","state":"in_service"}]}`, List{}, "targets[0].endpoint"},
	} {
		got, err := ParseList([]byte(c.in))
		if diff := cmp.Diff(c.want, got); diff != "" || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: %v, want %q\n%s", c.name, err, c.err, diff)
		}
	}
}

// An invalid entry, or two contradictory entries for one backend, must not keep the valid entries of the same list from
// being used.
func TestParseListLenientSkipsInvalidEntries(t *testing.T) {
	const good = `{"uid":"good","endpoint":"127.0.0.1:3000","state":"in_service"}`
	read := Target{UID: "good", Endpoint: "127.0.0.1:3000"}
	unknown := Target{UID: "odd", State: Unknown}
	draining := Target{UID: "good", Endpoint: "127.0.0.1:3000", State: Terminating}
	for _, c := range []struct {
		name, entries string
		want          []Target
		invalid       string // expected in the error of the first invalid entry; "" if all are valid
	}{
		{"unknown state", `{"uid":"odd","endpoint":"127.0.0.1:1","state":"idle"},` + good, []Target{unknown, read}, `targets[0].state: unknown state "idle"`},
		{"no state", good + `,{"uid":"odd","endpoint":"127.0.0.1:1"}`, []Target{read, unknown}, "targets[1].state"},
		{"a name for an address", `{"uid":"odd","endpoint":"app:1","state":"in_service"},` + good, []Target{unknown, read}, "targets[0].endpoint"},
		{"a field of another type", `{"uid":"odd","endpoint":"127.0.0.1:1","state":"in_service","boot_ms":"x"},` + good, []Target{unknown, read}, "targets[0]"},
		{"a uid of another type", `{"uid":7},` + good, []Target{read}, "targets[0]"},
		{"no object", good + `,"odd"`, []Target{read}, "targets[1]"},
		{"no uid", good + `,{"endpoint":"127.0.0.1:1","state":"in_service"}`, []Target{read}, "targets[1].uid"},
		{"null", good + `,null`, []Target{read}, "targets[1].uid"},
		{"twice", good + "," + strings.Replace(good, "in_service", "terminating", 1), []Target{draining}, `targets[1].uid: "good" is there twice`},
		{"twice, the other way round", strings.Replace(good, "in_service", "terminating", 1) + "," + good, []Target{draining}, "targets[1].uid"},
		{"twice, alike", good + "," + good, []Target{read, read}, ""},
	} {
		got, invalid, err := ParseListLenient([]byte(`{"rev":41,"all":true,"targets":[` + c.entries + `]}`))
		if diff := cmp.Diff(List{41, true, c.want}, got); diff != "" || err != nil {
			t.Errorf("%s: %v\n%s", c.name, err, diff)
		}
		if (len(invalid) > 0) != (c.invalid != "") || len(invalid) > 0 && !strings.Contains(invalid[0].Error(), c.invalid) {
			t.Errorf("%s: %v, want %q", c.name, invalid, c.invalid)
		}
	}
	for _, raw := range []string{``, `[]`, `{"rev":1,"all":true,"targets":{}}`, `{"rev":"x","all":true,"targets":[]}`, `{"rev":1,"all":1,"targets":[]}`} {
		if _, _, err := ParseListLenient([]byte(raw)); err == nil {
			t.Errorf("%s: parsed as a list, want an error", raw)
		}
	}
}

func TestParseLoad(t *testing.T) {
	for in, want := range map[string]Load{
		"TEXT inflight=7, queue=2, util=0.61":  {7, 2, 0.61},
		"TEXT util=0.5":                        {-1, -1, 0.5},
		"TEXT utilization=0.5,backlog=0, x=9":  {-1, 0, 0.5},
		"TEXT util=NaN, queue=-1, inflight=+1": {1, -1, -1},
		"TEXT util, =, ,queue=":                {-1, -1, -1},
		`JSON {"util":0.5}`:                    {-1, -1, -1},
		"":                                     {-1, -1, -1},
	} {
		got, ok := ParseLoad([]byte(in))
		if diff := cmp.Diff(want, got); diff != "" || ok != (want != Load{-1, -1, -1}) {
			t.Errorf("%q: %v\n%s", in, ok, diff)
		}
	}
}

func TestAppendedDiscoveryRequests(t *testing.T) {
	got := string(AppendWatchRequest(nil, "127.0.0.1:8500", 41, 20000)) + string(AppendListRequest(nil, "d"))
	want := "GET /v1/endpoints?since=41&timeout_ms=20000 HTTP/1.1\r\nHost: 127.0.0.1:8500\r\n\r\n" +
		"GET /v1/endpoints HTTP/1.1\r\nHost: d\r\n\r\n"
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
