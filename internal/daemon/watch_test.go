package daemon

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
	"tulipglade/internal/staleness"
)

// notifications is an endpointListener that records each list and each failure as a text.
type notifications chan string

func (n notifications) UpdateEndpointsAsOf(list protocol.List, _ time.Time, _ staleness.RevisionOrder) {
	n <- fmt.Sprint("list ", list.Revision, list.Full)
}

func (n notifications) DiscoveryAddressChanged(time.Duration) {}

func (n notifications) DiscoveryCallFailed(_ error, kind balancer.ListKind, _ time.Time) {
	n <- map[balancer.ListKind]string{
		balancer.ListFailed:     "failed",
		balancer.ListTimeout:    "timeout",
		balancer.ListOverloaded: "overloaded",
		balancer.ListInvalid:    "invalid",
	}[kind]
}

// want checks that the next notification is the given text.
func (n notifications) want(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-n:
		if got != want {
			t.Fatalf("received %q, want %q", got, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("received nothing, want %q", want)
	}
}

// The first call does not wait for events, so that it shows immediately whether discovery answers. The calls after it
// wait and carry the revision of the last answer. A failure ends the watch and is reported once. Watch restarts the
// watch.
func TestWatchCallsFollowEachOther(t *testing.T) {
	calls := make(chan string, 10)
	answers := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.RequestURI
		select {
		case a := <-answers:
			if a == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			respond(w, a)
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	defer server.CloseClientConnections()
	received := make(notifications, 10)
	w := newWatch(server.Listener.Addr().String(), 41, slog.New(slog.DiscardHandler))
	w.listener, w.waitJitter = received, 0
	w.Watch(true)
	w.Watch(true) // the watch is already running: no second call
	answers <- `{"rev":41,"all":false,"targets":[]}`
	received.want(t, "list 41 false")
	answers <- `{"rev":43,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"in_service"}]}`
	received.want(t, "list 43 true")
	answers <- ""
	received.want(t, "failed")
	w.Watch(true)
	answers <- `{`
	received.want(t, "invalid")
	w.Poll()
	answers <- `{"rev":50,"all":true,"targets":[]}`
	received.want(t, "list 50 true")
	var got []string
	for range 5 {
		got = append(got, <-calls)
	}
	if diff := cmp.Diff([]string{"/v1/endpoints?since=41&timeout_ms=0", "/v1/endpoints?since=41&timeout_ms=4000",
		"/v1/endpoints?since=43&timeout_ms=4000", "/v1/endpoints?since=43&timeout_ms=0", "/v1/endpoints"}, got); diff != "" {
		t.Error(diff)
	}
}

// A change of address aborts the call in flight without reporting a failure, and fetches the full list from the new
// address immediately. That list is accepted even if it is empty. A change of address also restarts a watch that has
// failed, as the balancer would restart it only after its backoff.
func TestWatchFollowsChangedAddress(t *testing.T) {
	oldCalls, calls := make(chan string, 10), make(chan string, 10)
	old := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		oldCalls <- r.RequestURI
		<-r.Context().Done() // until the call is aborted
		oldCalls <- "given up"
	}))
	defer old.Close()
	lists := make(chan string, 2)
	lists <- `{"rev":47,"all":true,"targets":[]}`
	lists <- `{"rev":47,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"in_service"}]}`
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.RequestURI
		if strings.Contains(r.RequestURI, "timeout_ms=4000") {
			<-r.Context().Done()
			return
		}
		respond(w, <-lists)
	}))
	defer next.Close()
	defer next.CloseClientConnections()
	received := make(notifications, 10)
	w := newWatch(old.Listener.Addr().String(), 41, slog.New(slog.DiscardHandler))
	w.listener, w.waitJitter, w.callTimeout = received, 0, time.Minute // longer than this test runs
	w.Watch(true)
	if got := <-oldCalls; got != "/v1/endpoints?since=41&timeout_ms=0" {
		t.Error(got)
	}
	w.SetAddress(next.Listener.Addr().String())
	select {
	case <-oldCalls:
	case <-time.After(testTimeout):
		t.Fatal("the call in flight was not aborted")
	}
	received.want(t, "list 47 true") // the empty list, with no failure before it
	if got := <-calls; got != "/v1/endpoints" {
		t.Error(got)
	}
	if got := <-calls; got != "/v1/endpoints?since=47&timeout_ms=4000" {
		t.Error(got)
	}
	w.SetAddress("127.0.0.1:1") // nothing listens at this address
	received.want(t, "failed")
	w.SetAddress(next.Listener.Addr().String())
	received.want(t, "list 47 true")
	var got []string
	for range 2 {
		got = append(got, <-calls)
	}
	if diff := cmp.Diff([]string{"/v1/endpoints", "/v1/endpoints?since=47&timeout_ms=4000"}, got); diff != "" {
		t.Error(diff)
	}
}

// An answer with a lower revision is confirmed immediately by a call for the full list. The watch then continues from
// the lower revision.
func TestWatchConfirmsLowerRevision(t *testing.T) {
	calls := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.RequestURI
		if strings.Contains(r.RequestURI, "timeout_ms=4000") {
			<-r.Context().Done()
			return
		}
		respond(w, `{"rev":7,"all":true,"targets":[]}`)
	}))
	defer server.Close()
	defer server.CloseClientConnections()
	received := make(revisionOrders, 10)
	w := newWatch(server.Listener.Addr().String(), 41, slog.New(slog.DiscardHandler))
	w.listener, w.waitJitter = received, 0
	w.Watch(true)
	for _, want := range []string{"/v1/endpoints?since=41&timeout_ms=0", "/v1/endpoints", "/v1/endpoints?since=7&timeout_ms=4000"} {
		select {
		case got := <-calls:
			if got != want {
				t.Errorf("call %s, want %s", got, want)
			}
		case <-time.After(testTimeout):
			t.Fatalf("no call %s", want)
		}
	}
	for _, want := range []staleness.RevisionOrder{staleness.Behind, staleness.BehindConfirmed} {
		if got := <-received; got != want {
			t.Errorf("order %d, want %d", got, want)
		}
	}
}

// revisionOrders is an endpointListener that records the revision order of each answer.
type revisionOrders chan staleness.RevisionOrder

func (o revisionOrders) UpdateEndpointsAsOf(_ protocol.List, _ time.Time, order staleness.RevisionOrder) {
	o <- order
}

func (o revisionOrders) DiscoveryAddressChanged(time.Duration) {}

func (o revisionOrders) DiscoveryCallFailed(error, balancer.ListKind, time.Time) {}

// An answer is accepted whatever endpoints it contains: also an empty full list, and lists of only terminated or draining
// endpoints.
func TestFullListWithoutLiveEndpointsIsAccepted(t *testing.T) {
	for list, want := range map[string]string{
		`{"rev":7,"all":true,"targets":[]}`:                                                           "list 7 true",
		`{"rev":7,"all":true,"targets":null}`:                                                         "list 7 true",
		`{"rev":7,"all":true,"targets":[{"uid":"a","state":"terminated"}]}`:                           "list 7 true",
		`{"rev":7,"all":false,"targets":[{"uid":"a","state":"terminated"}]}`:                          "list 7 false",
		`{"rev":7,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"terminating"}]}`: "list 7 true",
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { respond(w, list) }))
		received := make(notifications, 100)
		w := newWatch(server.Listener.Addr().String(), 1, slog.New(slog.DiscardHandler))
		w.listener = received
		w.Watch(true)
		received.want(t, want)
		w.Watch(false)
		server.Close()
	}
}

// addressNotifications also records the time for which lists remain valid after a change of address, and the times at
// which answers were current.
type addressNotifications struct {
	notifications
	validities chan time.Duration
	asOf       chan time.Time
}

func (n addressNotifications) DiscoveryAddressChanged(validity time.Duration) {
	n.validities <- validity
}

func (n addressNotifications) UpdateEndpointsAsOf(_ protocol.List, asOf time.Time, _ staleness.RevisionOrder) {
	n.asOf <- asOf
}

// A change of address is reported immediately, even before the first call, and limits the validity of the list received
// before to 4 s. An answer from the old address is no evidence of the age of the list at the new address. A late answer
// counts as current at the time at which it was due, and not when it arrives.
func TestAddressChangeAndLateAnswersLimitListValidity(t *testing.T) {
	received := addressNotifications{make(notifications, 10), make(chan time.Duration, 1), make(chan time.Time, 1)}
	w := newWatch("127.0.0.1:1", 41, slog.New(slog.DiscardHandler))
	w.listener = received
	w.SetAddress("127.0.0.1:2")
	if len(received.validities) == 0 { // SetAddress reports the change before it returns
		t.Fatal("a change of address is not reported")
	}
	if got := <-received.validities; got != listValidityAfterAddressChange {
		t.Errorf("the list remains valid for %v", got)
	}
	w.SetAddress("127.0.0.1:2") // the address is the same
	if len(received.validities) > 0 {
		t.Error("a change was reported for the same address")
	}
	start := time.Now().Add(-10 * time.Second)
	for _, c := range []struct {
		name, address string
		want          time.Time
	}{
		{"late", "127.0.0.1:2", start.Add(time.Second + answerLatencyTolerance)},
		{"from the old address", "127.0.0.1:1", time.Time{}},
	} {
		w.notifyListener(callResult{address: c.address, answer: answer{list: protocol.List{Revision: 42}}, start: start, wait: time.Second})
		if got := <-received.asOf; !got.Equal(c.want) {
			t.Errorf("%s: as of %v, want %v", c.name, got, c.want)
		}
	}
	before := time.Now()
	w.notifyListener(callResult{address: "127.0.0.1:2", answer: answer{list: protocol.List{Revision: 43}}, start: before, wait: time.Hour})
	if got := <-received.asOf; got.Before(before) || got.After(time.Now()) {
		t.Errorf("a prompt answer: as of %v", got)
	}
}
