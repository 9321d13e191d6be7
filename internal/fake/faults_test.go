package fake

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"tulipglade/internal/faultinject"
)

func TestKilledBackendResetsAndRefusesConnections(t *testing.T) {
	cl := startCluster(t, Options{})
	conn := dialBackend(t, cl.backendAddr(1, 0))
	conn.sendRequest("/read", "a", "")
	conn.wantStatus(200)
	id := injectFault(t, cl, faultinject.Fault{Kind: faultinject.Kill, Backends: []int{1}})
	if _, err := conn.readResponse(5 * time.Second); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("an open connection to a killed backend ends with %v, want a reset", err)
	}
	if refused, err := net.DialTimeout("tcp4", cl.backendAddr(1, 0), time.Second); err == nil {
		closeQuietly(refused)
		t.Error("a killed backend accepts a connection")
	}
	if !cl.EndFault(id) || cl.EndFault(id) {
		t.Error("the fault did not end exactly once")
	}
	conn = dialBackend(t, cl.backendAddr(1, 0))
	conn.sendRequest("/read", "b", "")
	conn.wantStatus(200)
}

func TestPartitionedBackendIsSilentUntilItHeals(t *testing.T) {
	cl := startCluster(t, Options{})
	// Node 0 is in east, backend 1 in west; backend 0 is at node 0's site.
	far, near := dialBackend(t, cl.backendAddr(1, 0)), dialBackend(t, cl.backendAddr(0, 0))
	far.sendRequest("/read", "a", "")
	far.wantStatus(200)
	id := injectFault(t, cl, faultinject.Fault{Kind: faultinject.SitePartition, Site: "west"})
	far.sendRequest("/read", "b", "")
	near.sendRequest("/read", "c", "")
	near.wantStatus(200)
	if r, err := far.readResponse(300 * time.Millisecond); err == nil {
		t.Errorf("status %d through a partition", r.status)
	}
	if conn, err := net.DialTimeout("tcp4", cl.backendAddr(1, 0), 300*time.Millisecond); err == nil {
		closeQuietly(conn)
		t.Error("a connection is established through a partition")
	}
	if conn, err := net.DialTimeout("tcp4", cl.backendAddr(1, 1), time.Second); err != nil {
		t.Errorf("a node of the same site cannot connect: %v", err)
	} else {
		closeQuietly(conn)
	}
	cl.EndFault(id)
	if _, err := far.readResponse(5 * time.Second); err != nil { // the response written during the partition
		t.Errorf("no response after the partition: %v", err)
	}
	dialBackend(t, cl.backendAddr(1, 0))
}

func TestErrorsAlteredResponsesResetsAndOverload(t *testing.T) {
	cl := startCluster(t, Options{})
	id := injectFault(t, cl, faultinject.Fault{Kind: faultinject.FastErrors, Backends: []int{0}, Size: 1})
	conn := dialBackend(t, cl.backendAddr(0, 0))
	conn.sendRequest("/read", "a", "")
	conn.wantStatus(500)
	cl.EndFault(id)
	conn.sendRequest("/read", "b", "")
	conn.wantStatus(200)
	id = injectFault(t, cl, faultinject.Fault{Kind: faultinject.Interim, Backends: []int{0}, Size: 1})
	conn.sendRequest("/read", "i", "")
	conn.wantStatus(100)
	conn.wantStatus(103)
	conn.wantStatus(200)
	cl.EndFault(id)
	id = injectFault(t, cl, faultinject.Fault{Kind: faultinject.Garbage, Backends: []int{0}, Size: 1})
	conn.sendRequest("/start", "g", "")
	if r, err := conn.readResponse(5 * time.Second); err == nil {
		t.Errorf("garbage is read as %d", r.status)
	}
	if n := cl.Executions("g"); n != 1 {
		t.Errorf("a request answered with garbage ran %d times, want 1", n)
	}
	cl.EndFault(id)
	conn = dialBackend(t, cl.backendAddr(0, 0))
	conn.sendRequest("/read", "h", "")
	conn.wantStatus(200)
	injectFault(t, cl, faultinject.Fault{Kind: faultinject.Resets, Backends: []int{0}, Size: 1})
	conn.sendRequest("/start", "c", "")
	if _, err := conn.readResponse(5 * time.Second); err == nil {
		t.Error("a response instead of a reset")
	}
	if n := cl.Executions("c"); n != 1 {
		t.Errorf("a request whose connection was reset ran %d times, want 1", n)
	}
	injectFault(t, cl, faultinject.Fault{Kind: faultinject.Freeze, Backends: []int{2}})
	cancelTwice(t, cl)
	if rejected := overload(t, cl); rejected != 6 {
		t.Errorf("%d rejected, want 6", rejected)
	}
}

// cancelTwice cancels a request and its retry after each has begun to run. Both count as executions, the retry as a
// duplicate one.
func cancelTwice(t *testing.T, cl *Cluster) {
	t.Helper()
	for want := 1; want <= 2; want++ {
		conn := dialBackend(t, cl.backendAddr(2, 0))
		conn.sendRequest("/start", "given up", "")
		for cl.Executions("given up") < want {
			time.Sleep(time.Millisecond)
		}
		closeQuietly(conn.conn)
	}
	if n := cl.Report().DuplicateRuns; n != 1 {
		t.Errorf("%d duplicate executions counted, want 1", n)
	}
}

// overload sends more requests than the frozen backend can hold, and returns how many of them it rejects.
func overload(t *testing.T, cl *Cluster) (rejected int) {
	t.Helper()
	before := cl.Report().Arrived
	for i := range int64(28) { // 8 slots, of which cancelTwice has taken 2, and 16 places in the queue
		conn := dialBackend(t, cl.backendAddr(2, 0))
		conn.sendRequest("/start", fmt.Sprint("f", i), "")
		for cl.Report().Arrived < before+i+1 { // send the requests one after the other
			time.Sleep(time.Millisecond)
		}
		if i >= 22 {
			if r := conn.wantStatus(503); r.header.Get("X-Never-Ran") == "1" {
				rejected++
			}
		}
	}
	return rejected
}

func TestArrivalsLongAfterTheDrainNotificationAreCounted(t *testing.T) {
	var log bytes.Buffer
	cl := startCluster(t, Options{Log: &log})
	injectFault(t, cl, faultinject.Fault{Kind: faultinject.Drain, Backends: []int{3}})
	conn := dialBackend(t, cl.backendAddr(3, 0))
	conn.sendRequest("/read", "a", "")
	if r := conn.wantStatus(503); r.header.Get("X-Never-Ran") != "1" {
		t.Error("a rejection without X-Never-Ran: 1")
	}
	fetchList(t, cl, 0, "") // from here on node 0 has been notified
	deadline := time.Now().Add(10 * time.Second)
	for n := 0; cl.Report().AfterDrain == 0; n++ {
		if time.Now().After(deadline) {
			t.Fatal("arrivals long after the notification are not counted")
		}
		conn.sendRequest("/read", fmt.Sprint("b", n), "")
		if _, err := conn.readResponse(5 * time.Second); err != nil {
			conn = dialBackend(t, cl.backendAddr(3, 0))
		}
	}
	other := dialBackend(t, cl.backendAddr(3, 1)) // node 1 was not notified
	before := cl.Report().AfterDrain
	other.sendRequest("/read", "c", "")
	other.wantStatus(503)
	if cl.Report().AfterDrain != before {
		t.Error("an arrival from a node that was not notified is counted")
	}
}
