package experiment

import (
	"context"
	"fmt"
	"math"
	"runtime"

	"golang.org/x/sync/errgroup"

	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/theory"
)

// Check is one figure held against what is known exactly.
type Check struct {
	Name   string  `json:"name"`
	Model  float64 `json:"model"`
	Theory float64 `json:"theory"`
	Error  float64 `json:"error"` // relative
	Bound  float64 `json:"bound"`
	OK     bool    `json:"ok"`
}

type known struct {
	name  string
	st    emulator.Station
	wants func(emulator.StationResult) []Check
}

// replications of each case: they run beside each other, and their mean is held against theory.
const replications = 4

func one(name string, model, theory float64) []Check {
	return []Check{{Name: name, Model: model, Theory: theory}}
}

// knowns are the cases. Effort scales how many jobs each plays; at 1 chance moves the hardest, a load of 0.95, by
// about half a percent.
func knowns(effort float64) []known {
	var all []known
	for _, rho := range []float64{0.5, 0.8, 0.95} {
		jobs := int64(effort * 8e4 / math.Pow(1-rho, 2)) // of each replication: the closer to 1, the slower means settle
		base := emulator.Station{Backends: 1, Cores: 1, Slots: 1, QueueCapacity: 1e6, Utilization: rho, WorkDistribution: "exp", Choices: 1, Jobs: jobs, WarmUpJobs: jobs / 20}
		at := fmt.Sprintf(" at %.2f", rho)
		add := func(name string, change func(*emulator.Station), wants func(string, emulator.StationResult) []Check) {
			st := base
			change(&st)
			all = append(all, known{name + at, st, func(s emulator.StationResult) []Check { return wants(name+at, s) }})
		}
		add("M/M/1 wait", func(*emulator.Station) {}, func(n string, s emulator.StationResult) []Check {
			return one(n, s.Wait, theory.WaitMMc(1, rho))
		})
		add("M/M/8 wait, Erlang C", func(s *emulator.Station) { s.Cores = 8 }, func(n string, s emulator.StationResult) []Check {
			return one(n, s.Wait, theory.WaitMMc(8, rho))
		})
		add("M/M/8/8 loss, Erlang B", func(s *emulator.Station) { s.Cores, s.QueueCapacity, s.Jobs = 8, 0, max(jobs/4, int64(effort*2e6)) },
			func(n string, s emulator.StationResult) []Check { return one(n, s.Lost, theory.ErlangB(8, 8*rho)) })
		add("M/M/4/8 loss", func(s *emulator.Station) { s.Cores, s.QueueCapacity, s.Jobs = 4, 1, max(jobs/4, int64(effort*4e6)) },
			func(n string, s emulator.StationResult) []Check { return one(n, s.Lost, theory.LossMMcK(4, 8, rho)) })
		add("M/D/1 wait, Pollaczek-Khinchine", func(s *emulator.Station) { s.WorkDistribution = "constant" },
			func(n string, s emulator.StationResult) []Check { return one(n, s.Wait, theory.WaitMG1(rho, 0)) })
		add("M/G/1 wait, lognormal of cv 1.5", func(s *emulator.Station) {
			s.WorkDistribution, s.VariationCoefficient, s.Jobs = "lognormal", 1.5, 2*jobs
		},
			func(n string, s emulator.StationResult) []Check { return one(n, s.Wait, theory.WaitMG1(rho, 1.5)) })
		add("M/G/1 processor sharing, lognormal", func(s *emulator.Station) {
			s.WorkDistribution, s.VariationCoefficient, s.Slots, s.QueueCapacity = "lognormal", 1.5, 1e4, 0
		},
			func(n string, s emulator.StationResult) []Check { return one(n, s.Sojourn, theory.SojournPS(rho)) })
		add("two choices of 1,000", func(s *emulator.Station) {
			s.Backends, s.Choices, s.Jobs, s.WarmUpJobs = 1000, 2, int64(effort*2e6), int64(4e4/(1-rho)*max(min(effort, 1), 0.25))
		}, func(n string, s emulator.StationResult) (list []Check) {
			for k := 1; k < len(s.Tail) && theory.TailChoices(rho, 2, k) >= 0.05; k++ {
				list = append(list, Check{Name: fmt.Sprintf("%s, share with %d or more", n, k), Model: s.Tail[k],
					Theory: theory.TailChoices(rho, 2, k)})
			}
			return list
		})
	}
	return all
}

// Verify holds the lab against theory. Each finished case is told, if told is set.
func Verify(ctx context.Context, effort, bound float64, told func(done, all int)) ([]Check, error) {
	cases := knowns(effort)
	results := make([][replications]emulator.StationResult, len(cases))
	done := make(chan struct{}, len(cases)*replications)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	go func() {
		for n := 1; n <= cap(done); n++ {
			select {
			case <-done:
				if told != nil {
					told(n, cap(done))
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	for i := range cases {
		for r := range replications {
			g.Go(func() error {
				if err := ctx.Err(); err != nil {
					return err
				}
				st := cases[i].st
				st.Seed = uint64(i*replications + r + 1)
				results[i][r] = st.Run()
				done <- struct{}{}
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	var checks []Check
	for i, c := range cases {
		for _, ch := range c.wants(mean(results[i][:])) {
			ch.Error, ch.Bound = (ch.Model-ch.Theory)/ch.Theory, bound
			ch.OK = math.Abs(ch.Error) <= bound
			checks = append(checks, ch)
		}
	}
	return checks, nil
}

func mean(of []emulator.StationResult) emulator.StationResult {
	var m emulator.StationResult
	n := float64(len(of))
	for _, s := range of {
		m.Wait, m.Sojourn, m.Lost, m.Events = m.Wait+s.Wait/n, m.Sojourn+s.Sojourn/n, m.Lost+s.Lost/n, m.Events+s.Events
		for k, x := range s.Tail {
			if k == len(m.Tail) {
				m.Tail = append(m.Tail, 0)
			}
			m.Tail[k] += x / n
		}
	}
	return m
}
