package main

import (
	"strings"
	"testing"

	"tulipglade/internal/load"
	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/scenario"
	"tulipglade/internal/workload"
)

// A dozen drawn deployments with processes of the real program behind a frontend, on sockets: every call ends, most are served
// in time, and no rule is broken. The emulator runs hundreds of them (TestSurvey); this test is about the node, which has to
// carry out the decision module's commands.
func TestDeploymentsOnSockets(t *testing.T) {
	node := buildNode(t)
	played := 0
	for seed := uint64(1); played < 12; seed++ {
		d := scenario.DrawDeployment(seed)
		sc := d.Scenario()
		if sc.Classes[0].Work < 40 || sc.Classes[0].Deadline > 2500 { // sockets have delays of their own, and the test must be short
			continue
		}
		played++
		// Few calls, whatever the fleet's capacity, so that a busy machine does not decide the result.
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
				t.Errorf("%d probes, although they are forbidden or expensive", report.HealthChecks)
			} else if probing && report.HealthChecks == 0 {
				t.Error("no probes, although they are cheap")
			}
		})
	}
}
