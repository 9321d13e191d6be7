package fake

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"tulipglade/internal/loopback"
)

// startControl starts a cluster and serves its control port.
func startControl(t *testing.T) (cl *Cluster, addr string) {
	t.Helper()
	cl = startCluster(t, Options{})
	addr, err := cl.ServeControl("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return cl, addr
}

func postFault(t *testing.T, addr, fault string) (status int, body string) {
	t.Helper()
	r, err := http.Post("http://"+addr+"/faults", "application/json", strings.NewReader(fault))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(r.Body)
	_ = r.Body.Close() // the body has been read to its end
	if err != nil {
		t.Fatal(err)
	}
	return r.StatusCode, string(raw)
}

func deleteFault(t *testing.T, addr string, id int) (status int) {
	t.Helper()
	request, err := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s/faults/%d", addr, id), nil)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close() // only the status is checked
	return r.StatusCode
}

func TestControlRejectsInvalidFaults(t *testing.T) {
	_, addr := startControl(t)
	for text, want := range map[string]string{
		`{"kind":"earthquake"}`:                     "none of",
		`{"kind":"kill","boxes":[9]}`:               "no number 9",
		`{"kind":"kill","boxen":[1]}`:               "boxen",
		`{"kind":"rolling","for_ms":1000}`:          "one by one",
		`{"kind":"kill"`:                            "fault:",
		`{"kind":"site-cut","site":"north"}`:        "north",
		`{"kind":"fast-errors","size":2,"share":1}`: "not within",
	} {
		if status, body := postFault(t, addr, text); status != 400 || !strings.Contains(body, want) {
			t.Errorf("%s: %d %q, want %q", text, status, body, want)
		}
	}
}

func TestControlInjectsAndEndsFaults(t *testing.T) {
	cl, addr := startControl(t)
	status, body := postFault(t, addr, `{"kind":"fast-errors","boxes":[0],"size":1}`)
	if status != 200 || !strings.Contains(body, `"boxes":[0]`) {
		t.Fatalf("%d %s", status, body)
	}
	var injected struct{ ID int }
	if err := json.Unmarshal([]byte(body), &injected); err != nil {
		t.Fatal(err)
	}
	conn := dialBackend(t, cl.backendAddr(0, 0))
	conn.sendRequest("/read", "a", "")
	conn.wantStatus(500)
	for _, want := range []int{204, 404} {
		if status := deleteFault(t, addr, injected.ID); status != want {
			t.Errorf("status %d, want %d", status, want)
		}
	}
	conn.sendRequest("/read", "b", "")
	conn.wantStatus(200)
}

func TestControlListensOnLoopbackOnly(t *testing.T) {
	if _, err := startCluster(t, Options{}).ServeControl("0.0.0.0:0"); !errors.Is(err, loopback.ErrNotLoopback) {
		t.Errorf("%v", err)
	}
}
