// Package experiment runs worlds: one, or a grid of them over all cores; it compares what came out and reduces what
// failed.
package experiment

import (
	"fmt"

	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/simulation/scenario"
)

// Run plays a scenario once.
func Run(sc *scenario.Scenario, name string, seed uint64, opts ...emulator.Option) (*emulator.Result, error) {
	maker, err := policy.Find(name)
	if err != nil {
		return nil, err
	}
	w, err := emulator.New(sc, seed, maker, opts...)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", sc.Name, err)
	}
	r, err := w.Run()
	if err != nil {
		return nil, fmt.Errorf("%s, policy %s, seed %d: %w", sc.Name, name, seed, err)
	}
	r.Policy = name
	return r, nil
}
