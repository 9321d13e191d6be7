package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"tulipglade/internal/simulation/policy"
	"tulipglade/internal/simulation/scenario"
)

// simulateCommand returns the sub-commands of simulations. Their flags and actions are in the files simulate_*.go.
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

// fileArgument returns the only argument of a command that needs one.
func fileArgument(cmd *cli.Command) (string, error) {
	name := cmd.StringArg("file")
	if name == "" {
		return "", fmt.Errorf("%s: no %s is named", cmd.Name, cmd.ArgsUsage)
	}
	if cmd.Args().Present() {
		return "", fmt.Errorf("%s: %q is one argument too many", cmd.Name, cmd.Args().First())
	}
	return name, nil
}

// scenarioArgument reads the scenario that the command's only argument names.
func scenarioArgument(cmd *cli.Command) (*scenario.Scenario, error) {
	name, err := fileArgument(cmd)
	if err != nil {
		return nil, err
	}
	return scenario.Read(name)
}

// selectedPolicies returns the policies of the flag --policy.
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

// violationError is the answer of a command that plays fault schedules: nil if no invariant was violated.
func violationError(violations int, first int64) error {
	if violations == 0 {
		return nil
	}
	return negativeAnswer("invariants are violated %d times, first by schedule %d", violations, first)
}
