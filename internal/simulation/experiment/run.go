// Package experiment runs simulations: single runs, and sweeps and surveys on all cores. It compares their results,
// reduces failing cases, measures the processor time of policies, and verifies the emulator against queueing theory.
package experiment

import (
	"fmt"

	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/simulation/scenario"
)

// Run simulates a scenario once, with the named policy and a seed.
func Run(sc *scenario.Scenario, name string, seed uint64, opts ...emulator.Option) (*emulator.Result, error) {
	maker, err := policy.Find(name)
	if err != nil {
		return nil, err
	}
	simulation, err := emulator.New(sc, seed, maker, opts...)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", sc.Name, err)
	}
	result, err := simulation.Run()
	if err != nil {
		return nil, fmt.Errorf("%s, policy %s, seed %d: %w", sc.Name, name, seed, err)
	}
	result.Policy = name
	return result, nil
}
