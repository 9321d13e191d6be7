package balancer_test

import (
	"fmt"

	"tulipglade/internal/balancer"
)

// proxy is a minimal node that implements balancer.Commands. A real node opens connections and sets timers; each
// method must start its work and return without waiting for the result.
type proxy struct{}

func (proxy) SendAttempt(id balancer.RequestID, endpoint balancer.EndpointID, _ balancer.Span) {
	fmt.Println("send request", id, "to endpoint", endpoint)
}
func (proxy) CancelAttempt(balancer.RequestID, int)    {}
func (proxy) Reject(balancer.RequestID, balancer.Span) {}
func (proxy) Fail(balancer.RequestID)                  {}
func (proxy) CheckHealth(balancer.EndpointID)          {}
func (proxy) SetTimer(balancer.TimerID, balancer.Span) {}
func (proxy) WatchEndpoints(bool)                      {}
func (proxy) PollEndpoints()                           {}
func (proxy) Log(text string)                          { fmt.Println(text) }

func Example() {
	cfg := balancer.Config{
		PeerCount:   1,
		MaxAttempts: 3,
		Classes:     []balancer.Class{{LatencyObjective: 200_000, Deadline: 1_000_000, Idempotency: balancer.Idempotent}},
	}
	b, err := balancer.New(cfg, 1, proxy{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := balancer.Time(1_000_000) // microseconds on the node's clock
	b.HandleEndpoints(now, balancer.ListFull, []balancer.Endpoint{{ID: 7, Phase: balancer.PhaseReady, Weight: 1}})
	b.HandleRequest(now, balancer.Request{ID: 42, Deadline: now + 1_000_000})
	b.HandleAttemptResult(now+30_000, balancer.AttemptResult{
		ID: 42, Endpoint: 7, Outcome: balancer.OutcomeOK, Latency: 30_000, RequestDone: true,
	})
	// Output: send request 42 to endpoint 7
}
