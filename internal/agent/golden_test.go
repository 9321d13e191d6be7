package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tulipglade/internal/consensus"
	"tulipglade/internal/lease"
)

// goldenMessages is what commit f2517d9 sent between agents and clients; TULIPGLADE_WRITE_GOLDEN=1 writes it anew.
const goldenMessages = "testdata/messages.golden"

// serveCopy runs the member of a folder at an address of the test's own until the test ends.
func serveCopy(t *testing.T, dir string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, dir, Options{Listener: listener}) }()
	t.Cleanup(func() {
		stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// TestOpensFolderOfEarlierVersion serves a folder that commit f2517d9 wrote, with a lease of two slots, a grant and a note.
func TestOpensFolderOfEarlierVersion(t *testing.T) {
	raw, err := os.ReadFile("testdata/f2517d9/group.db")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "group.db"), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	client := NewClient([]string{serveCopy(t, dir)}, nil)
	ctx, stop := context.WithTimeout(t.Context(), 30*time.Second)
	defer stop()
	status, err := client.ReadStatus(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if status.ID != 1 || status.Members[1] != "127.0.0.1:17101" || status.Terms.Interval != 200*time.Millisecond || len(status.Leases) != 1 {
		t.Fatalf("%+v", status)
	}
	rollout := status.Leases[0]
	hasGrant := len(rollout.Grants) == 1 && rollout.Grants[0].Token == 1
	if rollout.Name != "rollout" || rollout.MaxHolders != 2 || rollout.Note != "a note" || !hasGrant {
		t.Errorf("%+v", rollout)
	}
	grant, err := client.Do(ctx, "acquire", lease.Command{Name: "rollout", Holder: "second", RequestID: 2, Ticks: 50})
	if err != nil || grant.Token != 3 || grant.Slot != 1 {
		t.Errorf("%+v, %v", grant, err)
	}
}

// changingNumbers differ between runs, as time goes on.
var changingNumbers = regexp.MustCompile(`"(tick|applied|till|term)":\d+`)

// TestMessagesAreUnchanged compares the requests of clients and the answers of an agent with those of commit f2517d9.
func TestMessagesAreUnchanged(t *testing.T) {
	var text strings.Builder
	for _, request := range clientRequests(t) {
		fmt.Fprintf(&text, "client: %s\n", request)
	}
	durable, err := consensus.Bootstrap(map[uint64]string{1: "127.0.0.1:17101"}, lease.Terms{Interval: 200 * time.Millisecond, Drift: 0.01})
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(t.TempDir(), "member")
	if err := CreateStorage(dir, Identity{Group: "golden", ID: 1, Address: "127.0.0.1:17101"}, durable); err != nil {
		t.Fatal(err)
	}
	address := serveCopy(t, dir)
	awaitLeader(t, address)
	for _, call := range []struct{ method, path, body string }{
		{"POST", "/lease/most", `{"name":"x","most":2}`},
		{"POST", "/lease/acquire", `{"name":"x","who":"a","ask":1,"ticks":50}`},
		{"POST", "/lease/acquire", `{"name":"x","who":"b","ask":2,"ticks":50}`},
		{"POST", "/lease/acquire", `{"name":"x","who":"c","ask":3,"ticks":50}`},
		{"POST", "/lease/renew", `{"name":"x","token":1,"ticks":60}`},
		{"POST", "/lease/note", `{"name":"x","token":1,"text":"words"}`},
		{"POST", "/lease/most", `{"name":"x","most":1}`},
		{"POST", "/lease/release", `{"name":"x","token":2}`},
		{"POST", "/lease/release", `{"name":"x","token":9}`},
		{"POST", "/lease/acquire", `{"name":"","ticks":50}`},
		{"POST", "/lease/none", `{}`},
		{"POST", "/lease/acquire", `{`},
		{"POST", "/members", `{"remove":[7]}`},
		{"POST", "/members", `{"add":{"2":"10.0.0.1:1"}}`},
		{"GET", "/leases", ""},
		{"GET", "/status", ""},
	} {
		fmt.Fprintf(&text, "agent: %s %s %s\n%s\n", call.method, call.path, call.body, exchange(t, call.method, address, call.path, call.body))
	}
	got := changingNumbers.ReplaceAllString(text.String(), `"$1":N`)
	if os.Getenv("TULIPGLADE_WRITE_GOLDEN") != "" {
		if err := os.WriteFile(goldenMessages, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenMessages)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Error(diff)
	}
}

// clientRequests are the requests that a Client sends, as a recording server saw them.
func clientRequests(t *testing.T) []string {
	t.Helper()
	var mu sync.Mutex
	var requests []string
	recorder := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		requests = append(requests, fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body))
		mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"grant":{"name":"x","token":7},"view":{"id":1,"leader":1,"terms":{"Interval":200000000},"members":{"1":%q}}}`, r.Host)
	}))
	defer recorder.Close()
	client := NewClient([]string{recorder.Listener.Addr().String()}, nil)
	ctx, stop := context.WithTimeout(t.Context(), 30*time.Second)
	defer stop()
	for _, call := range []struct {
		verb    string
		command lease.Command
	}{
		{"acquire", lease.Command{Name: "x", Holder: "a", RequestID: 1, Ticks: 50}},
		{"renew", lease.Command{Name: "x", Token: 7, Ticks: 50}},
		{"most", lease.Command{Name: "x", MaxHolders: 2}},
		{"note", lease.Command{Name: "x", Token: 7, NoteText: "words"}},
	} {
		if _, err := client.Do(ctx, call.verb, call.command); err != nil {
			t.Fatal(err)
		}
	}
	if err := client.ChangeMembers(ctx, MembershipChange{Add: map[uint64]string{1: "127.0.0.1:1"}, Remove: []uint64{2}}); err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	defer mu.Unlock()
	return requests
}

// awaitLeader waits until the member leads its group.
func awaitLeader(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if strings.Contains(exchange(t, "GET", address, "/status", ""), `"leader":1`) {
			return
		}
	}
	t.Fatal("no leader")
}

// exchange returns the status and the body of an agent's answer.
func exchange(t *testing.T, method, address, path, body string) string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(resp)
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, bytes.TrimSpace(raw))
}
