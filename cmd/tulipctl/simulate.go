package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/simulation/scenario"
)

// simulateCommand returns the command simulate. The files simulate_*.go define the flags and actions of its
// sub-commands.
func simulateCommand() *cli.Command {
	return &cli.Command{
		Name:  "simulate",
		Usage: "simulate fleets in virtual time, and faults between processes",
		Commands: []*cli.Command{
			scenariosCommand(),
			showScenarioCommand(),
			runScenarioCommand(),
			sweepCommand(),
			compareResultsCommand(),
			shrinkCommand(),
			surveyCommand(),
			simulateLeasesCommand(),
			simulateFailoverCommand(),
			processesCommand(),
			measureAgentsCommand(),
			verifySimulationCommand(),
			costCommand(),
			plotCommand(),
		},
	}
}

func seedFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed `N`; equal seeds give equal runs"}
}

func policyFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:  "policy",
		Value: []string{policy.Module},
		Usage: "`NAME` of a policy, repeatable; all for every one of: " + strings.Join(policy.Names(), ", "),
	}
}

func schedulesFlag(count int) cli.Flag {
	return &cli.IntFlag{Name: "schedules", Value: count, Usage: "number `N` of fault schedules, with consecutive seeds from --seed"}
}

func fileArguments() []cli.Argument {
	return []cli.Argument{&cli.StringArg{Name: "file", UsageText: "FILE"}}
}

// fileArgument returns the argument of a command that requires exactly one.
func fileArgument(cmd *cli.Command) (string, error) {
	name := cmd.StringArg("file")
	if name == "" {
		return "", fmt.Errorf("%s: the argument %s is missing", cmd.Name, cmd.ArgsUsage)
	}
	if cmd.Args().Present() {
		return "", fmt.Errorf("%s: unexpected argument %q", cmd.Name, cmd.Args().First())
	}
	return name, nil
}

// scenarioArgument reads the scenario that the only argument of the command names.
func scenarioArgument(cmd *cli.Command) (*scenario.Scenario, error) {
	name, err := fileArgument(cmd)
	if err != nil {
		return nil, err
	}
	return scenario.Read(name)
}

// selectedPolicies returns the names of the policies that the flag --policy selects; the value all
// on its own selects every policy.
func selectedPolicies(cmd *cli.Command) ([]string, error) {
	names := cmd.StringSlice("policy")
	if slices.Equal(names, []string{"all"}) {
		return policy.Names(), nil
	}
	for _, name := range names {
		if _, err := policy.Find(name); err != nil {
			return nil, err
		}
	}
	return names, nil
}

// violationError returns the error of a command that ran fault schedules: nil if no invariant was violated, or else an
// error with the exit status exitNegative. The argument first is the seed of the first schedule that failed.
func violationError(violations int, first int64) error {
	if violations == 0 {
		return nil
	}
	return negativeAnswer("invariants were violated %d times, first in the schedule with seed %d", violations, first)
}
