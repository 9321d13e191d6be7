package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"tulipglade/internal/agent"
	"tulipglade/internal/failover"
)

// tellers are nodes, as far as agents know them: two at each of three zones, which tell what they see to their agent, or to the next one
// that takes it.
type tellers struct {
	mu    sync.Mutex
	can   []float64
	wait  sync.WaitGroup
	plans map[string]*failover.Plan // by agent, the last that was seen there
	wrong []string
	seen  chan struct{}
}

func (x *tellers) set(zone int, can float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.can[zone] = can
}

func startTellers(ctx context.Context, agents []string) *tellers {
	x := &tellers{can: []float64{100, 100, 100}, plans: map[string]*failover.Plan{}, seen: make(chan struct{}, 1)}
	client := &http.Client{Timeout: 300 * time.Millisecond}
	every := func(do func()) {
		x.wait.Go(func() {
			for ctx.Err() == nil {
				do()
				_ = sleep(ctx, 50*time.Millisecond, 100*time.Millisecond)
			}
		})
	}
	for i := range 6 {
		seq := uint64(0)
		every(func() {
			seq++
			x.mu.Lock()
			raw, _ := json.Marshal(failover.Digest{Node: fmt.Sprint("n", i), Incarnation: 1, Sequence: seq, Zone: i % 3, Demand: []float64{10, 15}, Capacity: x.can})
			x.mu.Unlock()
			for try := range agents {
				resp, err := client.Post("http://"+agents[(i+try)%len(agents)]+"/digest", "application/json", bytes.NewReader(raw))
				if err != nil {
					continue
				}
				if _ = resp.Body.Close(); resp.StatusCode == http.StatusNoContent {
					return
				}
			}
		})
	}
	for _, a := range agents {
		every(func() {
			resp, err := client.Get("http://" + a + "/plan")
			if err != nil {
				return
			}
			defer resp.Body.Close()
			var plan failover.Plan
			if resp.StatusCode != 200 || json.NewDecoder(resp.Body).Decode(&plan) != nil {
				return
			}
			x.mu.Lock()
			defer x.mu.Unlock()
			// Revisions go on over directors, too: each goes on from the plan of the one before.
			if was := x.plans[a]; was != nil && (was.Newer(&plan) || plan.Revision < was.Revision) {
				x.wrong = append(x.wrong, fmt.Sprintf("%s: plan %d/%d after %d/%d", a, plan.Token, plan.Revision, was.Token, was.Revision))
			}
			if err := plan.Check(3, 2); err != nil {
				x.wrong = append(x.wrong, err.Error())
			}
			x.plans[a] = &plan
			select {
			case x.seen <- struct{}{}:
			default:
			}
		})
	}
	return x
}

// await waits until all these agents show such a plan.
func (x *tellers) await(t *testing.T, what string, agents []string, is func(*failover.Plan) bool) {
	t.Helper()
	late := time.After(40 * time.Second)
	for {
		x.mu.Lock()
		all := true
		for _, a := range agents {
			all = all && x.plans[a] != nil && is(x.plans[a])
		}
		x.mu.Unlock()
		if all {
			return
		}
		select {
		case <-x.seen:
		case <-late:
			t.Fatalf("%s: it does not come: %+v", what, x.plans)
		}
	}
}

// A zone is lost, and with it its work goes elsewhere by plans that all agents show; the director is killed, and another one is stopped and
// goes on later: the next goes on where they were, under a later token, and nothing of the old is seen after it.
func TestDirectorsChangeHands(t *testing.T) {
	top := failover.Topology{Zones: []failover.Zone{{Name: "a", Region: "x"}, {Name: "b", Region: "x"}, {Name: "c", Region: "y"}},
		Cost: [][]float64{{0, 1, 5}, {1, 0, 5}, {5, 5, 0}}}
	r := begin(t, Options{Agents: 3, Plans: &agent.FailoverOptions{Topology: top, PriorityWeights: []float64{3, 1}, Rules: failover.DefaultRules}})
	var addrs []string
	for _, p := range r.parts[:3] {
		addrs = append(addrs, p.Listen)
	}
	ctx, stop := context.WithCancel(t.Context())
	x := startTellers(ctx, addrs)
	defer x.wait.Wait()
	defer stop()
	home := func(p *failover.Plan) float64 { return p.Rows[0][0].Shares[0] + p.Rows[0][1].Shares[0] }
	x.await(t, "a calm day", addrs, func(p *failover.Plan) bool { return home(p) == 2 })
	x.set(0, 0)
	x.await(t, "the loss of a zone", addrs, func(p *failover.Plan) bool { return home(p) < 0.02 && p.Rows[0][0].Shares[1] > 0.9 })
	directs := func(at int) (int, int) {
		e, next := r.await(t, at, func(e Event) bool { return e.Kind == "director" && e.Text == "directs=true" })
		return r.Index(e.Process), next
	}
	first, at := directs(0)
	token := func() (newest uint64) {
		x.mu.Lock()
		defer x.mu.Unlock()
		for _, p := range x.plans {
			newest = max(newest, uint64(p.Token))
		}
		return newest
	}
	was := token()
	r.kill(first)
	second, at := directs(at)
	var rest []string
	for i, a := range addrs {
		if i != first {
			rest = append(rest, a)
		}
	}
	x.await(t, "after the director's death", rest, func(p *failover.Plan) bool { return uint64(p.Token) > was })
	x.mu.Lock()
	for _, a := range rest {
		if h := home(x.plans[a]); h > 0.05 {
			t.Errorf("the next director has undone it: %.2f at home", h)
		}
	}
	x.mu.Unlock()
	if err := r.start(first); err != nil {
		t.Fatal(err)
	}
	x.await(t, "the first is back", addrs, func(p *failover.Plan) bool { return uint64(p.Token) > was })
	was = token()
	r.signal(second, syscall.SIGSTOP)
	directs(at)
	rest = rest[:0]
	for i, a := range addrs {
		if i != second {
			rest = append(rest, a)
		}
	}
	x.await(t, "while the director is stopped", rest, func(p *failover.Plan) bool { return uint64(p.Token) > was })
	r.signal(second, syscall.SIGCONT)
	was = token()
	x.await(t, "after it goes on", addrs, func(p *failover.Plan) bool { return uint64(p.Token) >= was && home(p) < 0.05 })
	x.set(0, 100)
	x.await(t, "the zone is back", addrs, func(p *failover.Plan) bool { return home(p) > 2-1e-6 })
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, w := range x.wrong {
		t.Error(w)
	}
}
