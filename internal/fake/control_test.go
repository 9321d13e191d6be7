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

func TestControlPort(t *testing.T) {
	cl := start(t, Options{})
	addr, err := cl.Control("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	post := func(text string) (int, string) {
		r, err := http.Post("http://"+addr+"/faults", "application/json", strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		defer closeQuietly(r.Body)
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			t.Fatal(err)
		}
		return r.StatusCode, string(raw)
	}
	for text, want := range map[string]string{
		`{"kind":"earthquake"}`:                     "none of",
		`{"kind":"kill","boxes":[9]}`:               "no number 9",
		`{"kind":"kill","boxen":[1]}`:               "boxen",
		`{"kind":"rolling","for_ms":1000}`:          "one by one",
		`{"kind":"kill"`:                            "fault:",
		`{"kind":"site-cut","site":"north"}`:        "north",
		`{"kind":"fast-errors","size":2,"share":1}`: "not within",
	} {
		if code, body := post(text); code != 400 || !strings.Contains(body, want) {
			t.Errorf("%s: %d %q, want %q", text, code, body, want)
		}
	}
	code, body := post(`{"kind":"fast-errors","boxes":[0],"size":1}`)
	if code != 200 || !strings.Contains(body, `"boxes":[0]`) {
		t.Fatalf("%d %s", code, body)
	}
	var injected struct{ ID int }
	if err := json.Unmarshal([]byte(body), &injected); err != nil {
		t.Fatal(err)
	}
	conn := dial(t, cl.backendAddr(0, 0))
	conn.sendRequest("/read", "a", "")
	conn.wantStatus(500)
	for _, want := range []int{204, 404} {
		req, err := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s/faults/%d", addr, injected.ID), nil)
		if err != nil {
			t.Fatal(err)
		}
		r, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close() // nothing more is read
		if r.StatusCode != want {
			t.Errorf("status %d, want %d", r.StatusCode, want)
		}
	}
	conn.sendRequest("/read", "b", "")
	conn.wantStatus(200)
	if _, err := cl.Control("0.0.0.0:0"); !errors.Is(err, loopback.ErrNot) {
		t.Errorf("%v", err)
	}
}
