package main

import (
	"slices"
	"strings"
	"testing"
)

func TestTranslateLegacyNames(t *testing.T) {
	for _, test := range []struct{ name, args, want string }{
		{"command", "tulipctl lab run calm --json", "tulipctl simulate run calm --json"},
		{"command alone", "tulipctl world", "tulipctl cluster"},
		{"rolling change", "tulipctl roll --nodes f -- roll lab", "tulipctl rollout --nodes f -- roll lab"},
		{"sub-command", "tulipctl lease seats x 2", "tulipctl lease slots x 2"},
		{"flag", "tulipctl load proxy --box a --box=b", "tulipctl load proxy --backend a --backend=b"},
		{"flags", "tulipctl load find --refused 0.1 --sure 3 x", "tulipctl load find --rejected 0.1 --confirmations 3 x"},
		{"flag of a renamed command", "tulipctl lab cost --hosts 10", "tulipctl simulate cost --endpoints 10"},
		{"flag of processes", "tulipctl lab processes --at-once 2", "tulipctl simulate processes --parallel 2"},
		{
			"flags of a rolling change",
			"tulipctl roll --at-once 2 --settle=1s --up 9s -- x --up --settle",
			"tulipctl rollout --max-unavailable 2 --drain-delay=1s --ready-timeout 9s -- x --up --settle",
		},
		{"another program's arguments", "tulipctl lease run x -- lab --box", "tulipctl lease run x -- lab --box"},
		{"current names", "tulipctl simulate run lab", "tulipctl simulate run lab"},
		{"nothing", "tulipctl", "tulipctl"},
	} {
		if got := translateLegacyNames(strings.Fields(test.args)); !slices.Equal(got, strings.Fields(test.want)) {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
	}
}
