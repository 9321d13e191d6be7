package fake

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"tulipglade/internal/faultinject"
)

func fetchList(t *testing.T, cl *Cluster, node int, query string) endpointList {
	t.Helper()
	r, err := http.Get("http://" + cl.Discovery(node) + "/v1/endpoints" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(r.Body)
	var list endpointList
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	return list
}

func TestDiscovery(t *testing.T) {
	cl := startCluster(t, Options{})
	list := fetchList(t, cl, 1, "")
	if !list.Full || len(list.Endpoints) != 4 || list.Revision != 4 ||
		list.Endpoints[3].Endpoint != cl.backendAddr(3, 1) || list.Endpoints[3].Zone != "west" ||
		list.Endpoints[0].State != "in_service" || list.Endpoints[0].BootMs != 0 {
		t.Errorf("%+v", list)
	}
	// A watch returns at the next change, or with an empty list at its timeout.
	type notification struct {
		list endpointList
		at   time.Duration
	}
	notified := make(chan notification, 1)
	go func() {
		list := fetchList(t, cl, 0, "?since=4&timeout_ms=20000")
		notified <- notification{list, cl.Elapsed()}
	}()
	killedAt := cl.Elapsed()
	id := injectFault(t, cl, faultinject.Fault{Kind: faultinject.Kill, Backends: []int{2}})
	got := <-notified
	if got.list.Full || len(got.list.Endpoints) != 1 || got.list.Endpoints[0].UID != "box-3" ||
		got.list.Endpoints[0].State != "terminated" || got.at-killedAt > 5*time.Second {
		t.Errorf("%+v after %v", got.list, got.at-killedAt)
	}
	cl.EndFault(id)
	if list = fetchList(t, cl, 0, "?since=5&timeout_ms=5000"); len(list.Endpoints) == 0 {
		t.Fatal("the restarted backend is not listed")
	}
	if list.Endpoints[0].State != "in_service" || time.Since(time.UnixMilli(list.Endpoints[0].BootMs)) > time.Minute {
		t.Errorf("%+v", list)
	}
	if list = fetchList(t, cl, 0, "?since=6&timeout_ms=50"); list.Full || len(list.Endpoints) != 0 || list.Revision != 6 {
		t.Errorf("a watch without changes returns %+v, want an empty list of revision 6", list)
	}
	if list = fetchList(t, cl, 0, "?since=99&timeout_ms=50"); !list.Full || len(list.Endpoints) != 4 {
		t.Errorf("a watch since a revision of another incarnation returns %+v, want the full list", list)
	}
	// While discovery is down, it resets calls and watches.
	ended := make(chan error, 1)
	go func() {
		r, err := http.Get("http://" + cl.Discovery(0) + "/v1/endpoints?since=6&timeout_ms=20000")
		if err == nil {
			_ = r.Body.Close() // nothing more is read
		}
		ended <- err
	}()
	id = injectFault(t, cl, faultinject.Fault{Kind: faultinject.DiscoveryDown})
	if err := <-ended; err == nil {
		t.Error("a watch was not reset when discovery went down")
	}
	if r, err := http.Get("http://" + cl.Discovery(1) + "/v1/endpoints"); err == nil {
		_ = r.Body.Close() // nothing more is read
		t.Errorf("status %d while discovery is down", r.StatusCode)
	}
	cl.EndFault(id)
	if list = fetchList(t, cl, 1, ""); len(list.Endpoints) != 4 {
		t.Errorf("%+v", list)
	}
}
