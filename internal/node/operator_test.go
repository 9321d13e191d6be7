package node

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tulipglade/internal/protocol"
)

// In standby the node must not be ready. It answers open requests and closes their connections, closes idle
// connections, and finally rejects new requests and closes new connections. Active must end all of this, and a repeated
// call of either must have no effect.
func TestStandby(t *testing.T) {
	backend, arrived, release := newBlockedBackend(t)
	n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
	idle, busy := dialNode(t, addr), dialNode(t, addr)
	idle.exchange(readyRequest)
	_, _ = io.WriteString(busy, requestText("once", 9000))
	<-arrived
	for range 2 {
		if err := operatorCall(n.Standby); err != nil {
			t.Error(err)
		}
	}
	if code, _, _ := dialNode(t, addr).exchange(readyRequest); code != 503 {
		t.Errorf("ready in standby: %d", code)
	}
	if err := operatorCall(n.Status); err != nil {
		t.Errorf("status in standby: %v", err)
	}
	if _, err := idle.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v", err)
	}
	close(release)
	if code, _, closing := busy.readAnswer(); code != 200 || !closing {
		t.Errorf("a request from before the standby: %d, closing %v", code, closing)
	}
	advanceDrain(n, rejectDelay)
	if code, _, closing := dialNode(t, addr).exchange(requestText("read", 9000)); code != 503 || !closing {
		t.Errorf("a request late in the standby: %d, closing %v", code, closing)
	}
	silent := dialNode(t, addr)
	if _, err := silent.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("a silent connection: %v", err)
	}
	for range 2 {
		if err := operatorCall(n.Active); err != nil {
			t.Error(err)
		}
	}
	client := dialNode(t, addr)
	go func() { <-arrived }()
	for _, request := range []string{readyRequest, requestText("read", 9000), readyRequest} {
		if code, _, closing := client.exchange(request); code != 200 || closing {
			t.Errorf("after the end of the standby: %d, closing %v", code, closing)
		}
	}
}

// Operators' calls must be answered according to the node's state: before any endpoint is known, in standby, and during
// a shutdown that starts in standby.
func TestOperatorCallsInOtherStates(t *testing.T) {
	n, addr := startNode(t, nil, nil)
	if err := operatorCall(n.Status); !errors.Is(err, errNoEndpoints) {
		t.Errorf("status without a list: %v", err)
	}
	if err := operatorCall(n.Standby); err != nil {
		t.Errorf("standby without a list: %v", err)
	}
	n.UpdateEndpoints(protocol.List{Full: true, Targets: []protocol.Target{{UID: "a", Endpoint: "127.0.0.1:1"}}}, false)
	waitUntil(n, func() bool { return n.endpointsKnown })
	if err := operatorCall(n.Status); err != nil {
		t.Errorf("status with a list: %v", err)
	}
	if code, _, _ := dialNode(t, addr).exchange(readyRequest); code != 503 {
		t.Errorf("ready in a standby that began before the list: %d", code)
	}
	done := make(chan struct{})
	n.Drain(0, func() { close(done) })
	for name, test := range map[string]struct {
		call func(func(error))
		want error
	}{"status": {n.Status, errStopping}, "standby": {n.Standby, nil}, "active": {n.Active, errStopping}} {
		if err := operatorCall(test.call); !errors.Is(err, test.want) {
			t.Errorf("%s during a shutdown: %v, want %v", name, err, test.want)
		}
	}
	<-done
}

// While standby and active alternate under load, each request must be answered. A request that crosses the close of its
// connection gets no answer; as clients do, the test sends it once more, on a new connection, and counts these cases.
func TestStandbyAndActiveAlternateUnderLoad(t *testing.T) {
	n, addr := startNode(t, []protocol.Target{targetOf("a", newTestBackend(t, serve)), targetOf("b", newTestBackend(t, serve))}, nil)
	stop := make(chan struct{})
	var served, resent, lost atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			transport := &http.Transport{MaxConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			for {
				select {
				case <-stop:
					return
				default:
				}
				answered := false
				for tries := 0; tries < 2 && !answered; tries++ {
					req, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/once", http.NoBody)
					req.Header = http.Header{"X-Trace-Id": {fmt.Sprint("turn", lastTraceID.Add(1))}, "X-Customer": {"t"}}
					if resp, err := transport.RoundTrip(req); err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
						answered = err == nil && resp.StatusCode == http.StatusOK
					} else {
						resent.Add(1)
					}
				}
				if served.Add(1); !answered {
					lost.Add(1)
				}
			}
		}()
	}
	for round := range 100 {
		if err := operatorCall(n.Standby); err != nil {
			t.Fatal(err)
		}
		if round%4 == 0 {
			advanceDrain(n, idleCloseDelay) // idle connections are closed at once
		}
		for before := served.Load(); served.Load() < before+8; {
			time.Sleep(time.Millisecond)
		}
		if err := operatorCall(n.Active); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	wg.Wait()
	t.Logf("%d requests in 100 rounds, %d sent again, %d not answered", served.Load(), resent.Load(), lost.Load())
	if lost.Load() > 0 {
		t.Error("requests were not answered")
	}
}
