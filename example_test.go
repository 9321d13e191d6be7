package tulipglade_test

import (
	"fmt"

	"tulipglade"
)

// proxy stands for a gateway: it carries out what the module decides. A real one opens connections and keeps
// timers; each method only has to start the work and come back.
type proxy struct{}

func (proxy) Try(id tulipglade.ReqID, h tulipglade.HostID, _ tulipglade.Span) {
	fmt.Println("send request", id, "to host", h)
}
func (proxy) Cancel(tulipglade.ReqID, int)              {}
func (proxy) Decline(tulipglade.ReqID, tulipglade.Span) {}
func (proxy) Fail(tulipglade.ReqID)                     {}
func (proxy) Probe(tulipglade.HostID)                   {}
func (proxy) WakeAt(tulipglade.Token, tulipglade.Span)  {}
func (proxy) Observe(bool)                              {}
func (proxy) Fetch()                                    {}
func (proxy) Log(text string)                           { fmt.Println(text) }

func Example() {
	cfg := tulipglade.Config{
		Peers:       1,
		MaxAttempts: 3,
		Classes:     []tulipglade.Class{{Aim: 200_000, Deadline: 1_000_000, Effect: tulipglade.Repeatable}},
	}
	b, err := tulipglade.New(cfg, 1, proxy{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := tulipglade.Time(1_000_000) // microseconds on the gateway's clock
	b.Members(now, tulipglade.ListFull, []tulipglade.Host{{ID: 7, Phase: tulipglade.PhaseReady, Weight: 1}})
	b.Request(now, tulipglade.Arrival{ID: 42, Deadline: now + 1_000_000})
	b.Settled(now+30_000, tulipglade.Settlement{ID: 42, Host: 7, Outcome: tulipglade.OK, Took: 30_000, Closed: true})
	// Output: send request 42 to host 7
}
