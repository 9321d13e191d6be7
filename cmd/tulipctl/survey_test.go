package main

import (
	"strings"
	"testing"

	"tulipglade/internal/load"
	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/workload"
)

// TestDeploymentsOnSockets runs a dozen random deployments with real node processes behind a frontend, on sockets,
// until every call has ended. It fails if a node breaks a rule of the protocol, if fewer than 70% of the calls are
// served, or if health checks are sent or omitted contrary to the settings. TestSurvey runs hundreds of deployments in
// the emulator; this test guards against a node that does not carry out the commands of the decision module.
func TestDeploymentsOnSockets(t *testing.T) {
	node := buildNode(t)
	deployments := 0
	for seed := uint64(1); deployments < 12; seed++ {
		d := scenario.DrawDeployment(seed)
		sc := d.Scenario()
		// Short work is left out because sockets add delays of their own, and long deadlines because they prolong the test.
		if sc.Classes[0].Work < 40 || sc.Classes[0].Deadline > 2500 {
			continue
		}
		deployments++
		// The rate is limited independently of the fleet's capacity, so that the result does not depend on other load
		// of the machine.
		if err := sc.Check(); err != nil {
			t.Fatal(err)
		}
		live := emulator.NewLive(sc, seed, discardEffects{})
		sc.Seconds, sc.WarmUp, sc.Load.PerS = 2, 0, min(60, sc.Load.Level*live.Capacity()*1e6/workload.MeanWork(sc))
		t.Run(strings.Join(d.NonDefaultSettings(), "; "), func(t *testing.T) {
			cluster, err := startCluster(t.Context(), sc, seed, nil, node, t.TempDir(), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := cluster.close(); err != nil {
					t.Error(err)
				}
			}()
			if err := cluster.awaitReady(t.Context(), sc.Nodes.Count); err != nil {
				t.Fatal(err)
			}
			var targets []string
			for site := range min(len(sc.Fleet.Sites), sc.Nodes.Count) {
				targets = append(targets, cluster.fake.Frontend(site))
			}
			r, err := load.Run(t.Context(), load.Plan{Scenario: sc, Seed: seed, Targets: targets, Capacity: live.Capacity()})
			if err != nil {
				t.Fatal(err)
			}
			report := cluster.fake.Report()
			if report.DuplicateRuns+report.AfterDrain+report.Unreadable > 0 {
				t.Errorf("rules broken: %d twice, %d after a drain, %d unreadable", report.DuplicateRuns, report.AfterDrain, report.Unreadable)
			}
			if served := r.Outcomes["served"] + r.Outcomes["late"]; float64(served) < 0.7*float64(r.Calls) {
				t.Errorf("%d of %d calls served: %v", served, r.Calls, r.Outcomes)
			}
			if probing := sc.Rules.AllowHealthChecks && sc.Rules.HealthCheckCost < 0.003; !probing && report.HealthChecks > 0 {
				t.Errorf("%d probes, although health checks are forbidden or expensive", report.HealthChecks)
			} else if probing && report.HealthChecks == 0 {
				t.Error("no probes, although health checks are allowed and cheap")
			}
		})
	}
}
