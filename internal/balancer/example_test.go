package balancer_test

import (
	"fmt"

	"tulipglade/internal/balancer"
)

// proxy stands for a gateway: it carries out what the module decides. A real one opens connections and keeps
// timers; each method only has to start the work and come back.
type proxy struct{}

func (proxy) Try(id balancer.ReqID, h balancer.HostID, _ balancer.Span) {
	fmt.Println("send request", id, "to host", h)
}
func (proxy) Cancel(balancer.ReqID, int)            {}
func (proxy) Decline(balancer.ReqID, balancer.Span) {}
func (proxy) Fail(balancer.ReqID)                   {}
func (proxy) Probe(balancer.HostID)                 {}
func (proxy) WakeAt(balancer.Token, balancer.Span)  {}
func (proxy) Observe(bool)                          {}
func (proxy) Fetch()                                {}
func (proxy) Log(text string)                       { fmt.Println(text) }

func Example() {
	cfg := balancer.Config{
		Peers:       1,
		MaxAttempts: 3,
		Classes:     []balancer.Class{{Aim: 200_000, Deadline: 1_000_000, Effect: balancer.Repeatable}},
	}
	b, err := balancer.New(cfg, 1, proxy{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := balancer.Time(1_000_000) // microseconds on the gateway's clock
	b.Members(now, balancer.ListFull, []balancer.Host{{ID: 7, Phase: balancer.PhaseReady, Weight: 1}})
	b.Request(now, balancer.Arrival{ID: 42, Deadline: now + 1_000_000})
	b.Settled(now+30_000, balancer.Settlement{ID: 42, Host: 7, Outcome: balancer.OK, Took: 30_000, Closed: true})
	// Output: send request 42 to host 7
}
