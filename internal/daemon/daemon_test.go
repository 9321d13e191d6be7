package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	jsoniter "github.com/json-iterator/go"

	"tulipglade/internal/balancer"
	"tulipglade/internal/protocol"
)

const good = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"rev":41,"all":true,"targets":[
{"uid":"a","endpoint":"127.0.0.1:1","az":"z","state":"in_service","capacity_hint":1}]},
"settings":{"discovery":"ask","zones":["z"],"orgs":[{"name":"t","share":1}],
"profiles":[{"name":"read","aim_us":600000,"deadline_us":1500000,"effect":"repeatable"}],
"limits":{"connect_timeout_us":250000,"keepalive_us":30000000,"max_attempts":6,"max_open":20000},"rules":{"ask_every_us":10000000,"grace_to_answer_us":20000},"tick_us":5000}}`

func TestConfiguration(t *testing.T) {
	none := func(string) string { return "" }
	c, err := Parse([]byte(good), none)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]any{"n3", "127.0.0.1:0", 192, int64(41), 1, []string{"read"}, 20000, 1024, uint64(0x8c1f30d27a5be964), 6},
		[]any{c.Name, c.Listen, c.MemoryMB, c.Endpoints.Rev, len(c.Endpoints.Targets), c.Node.Classes, c.Node.MaxInFlight, c.Node.MaxDescriptors, c.Node.Seed,
			c.Node.Balancer.MaxAttempts}); diff != "" {
		t.Error(diff)
	}
	for _, bad := range []struct{ from, to, says string }{
		{`"name"`, `name`, "configuration"},
		{`{"name"`, "module x\n\nrequire (\n", "configuration"},
		{`"listen":"127.0.0.1:0"`, `"listen":"here"`, "listen"},
		{`"discovery":"127.0.0.1:8500",`, ``, "discovery"},
		{`"seed"`, `"operator":"here","seed"`, "operator"},
		{`8c1f30d27a5be964`, `seed`, "seed"},
		{`"sockets":1024`, `"sockets":5`, "limits.sockets"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"cores":1`, `"cores":-1`, "limits.cores"},
		{`"in_service"`, `"asleep"`, "known: targets[0].state"},
		{`"effect":"repeatable"`, `"effect":"twice"`, "settings: profiles[0]"},
		{`"discovery":"ask"`, `"me":-1,"discovery":"ask"`, "settings: me"},
		{`"name":"read",`, ``, "settings.profiles[0].name"},
		{`{"name":"t","share":1}`, `{"name":"t"},{"name":"t"}`, "settings.orgs[1].name"},
		{`"connect_timeout_us":250000,`, ``, "settings.limits.connect_timeout_us"},
		{`"max_attempts":6`, `"max_attempts":0`, "settings.limits.max_attempts"},
		{`"max_attempts":6`, `"max_attempts":"6"`, "settings"},
		{`"deadline_us":1500000`, `"deadline_us":-5`, "settings.profiles[0].deadline_us"},
		{`"deadline_us":1500000`, `"deadline_us":1.5`, "settings"},
		{`"aim_us":600000,`, ``, "settings.profiles[0].aim_us"},
		{`"max_open":20000`, `"max_open":-1`, "settings.limits.max_open"},
		{`"ask_every_us":10000000,`, ``, "settings.rules.ask_every_us"},
		{`"settings"`, `"other"`, "settings: missing"},
	} {
		_, err := Parse([]byte(strings.Replace(good, bad.from, bad.to, 1)), none)
		if err == nil || !strings.Contains(err.Error(), bad.says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line that names %s", bad.to, err, bad.says)
		}
	}
	env := func(name string) string { return map[string]string{"GW_DISCOVERY": "127.0.0.1:9"}[name] }
	if c, err := Parse([]byte(strings.Replace(good, `"discovery":"127.0.0.1:8500",`, ``, 1)), env); err != nil || c.Discovery != "127.0.0.1:9" {
		t.Errorf("from the environment: %v", err)
	}
	env = func(name string) string { return map[string]string{"GW_OPERATOR": "127.0.0.1:7"}[name] }
	if c, err := Parse([]byte(good), env); err != nil || c.Admin != "127.0.0.1:7" {
		t.Errorf("the operator's address from the environment: %v", err)
	}
}

// A new file must have all that the running one has. One that is cut short at any byte, or lacks any key, is refused;
// what may be left out, and data, may differ.
func TestShape(t *testing.T) {
	none := func(string) string { return "" }
	old, err := Parse([]byte(good), none)
	if err != nil {
		t.Fatal(err)
	}
	against := func(text string) error {
		c, err := Parse([]byte(text), none)
		if err != nil {
			return err
		}
		return shape(old.tree, c.tree, "")
	}
	for i := range good {
		if err := against(good[:i]); err == nil {
			t.Fatalf("cut after %d bytes: taken", i)
		}
	}
	keys := 0
	var each func(v any, path string, lacking func(string))
	each = func(v any, path string, lacking func(string)) {
		switch v := v.(type) {
		case map[string]any:
			for key, value := range v {
				delete(v, key)
				lacking(path + "." + key)
				v[key] = nil
				lacking(path + "." + key + " null")
				v[key] = value
				if path+"."+key != ".known" {
					each(value, path+"."+key, lacking)
				}
			}
		case []any:
			for _, e := range v {
				each(e, path+"[]", lacking)
			}
		}
	}
	var tree any
	if err := jsoniter.UnmarshalFromString(good, &tree); err != nil {
		t.Fatal(err)
	}
	each(tree, "", func(path string) {
		keys++
		text, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalToString(tree)
		if err != nil {
			t.Fatal(err)
		}
		if err := against(text); err == nil {
			t.Errorf("without %s: taken", path)
		}
	})
	if keys < 40 {
		t.Errorf("only %d keys tried", keys)
	}
	for _, c := range []struct{ name, from, to, says string }{
		{"the same", "", "", ""},
		{"a class more", `"profiles":[`, `"profiles":[{"name":"new","aim_us":1,"deadline_us":2,"effect":"once"},`, ""},
		{"a key more", `"tick_us"`, `"other":1,"tick_us"`, ""},
		{"another list of backends", `{"uid":"a","endpoint":"127.0.0.1:1","az":"z","state":"in_service","capacity_hint":1}`, ``, ""},
		{"no tenants", `[{"name":"t","share":1}]`, `[]`, "settings.orgs: empty"},
		{"no classes", `[{"name":"read","aim_us":600000,"deadline_us":1500000,"effect":"repeatable"}]`, `[]`, "settings.profiles"},
		{"a class without a key", `"profiles":[`, `"profiles":[{"aim_us":1,"deadline_us":2,"effect":"once"},`, "settings.profiles[0].name"},
		{"another kind", `"zones":["z"]`, `"zones":[1]`, "settings"},
		{"an object for a number", `"tick_us":5000`, `"tick_us":{}`, "settings"},
	} {
		err := against(strings.Replace(good, c.from, c.to, 1))
		if c.says == "" && err != nil || c.says != "" && (err == nil || !strings.Contains(err.Error(), c.says)) {
			t.Errorf("%s: %v, want %q", c.name, err, c.says)
		}
	}
}

// heard collects what a watch tells.
type heard chan string

func (h heard) UpdateEndpointsAsOf(l protocol.List, _ time.Time) {
	h <- fmt.Sprint("list ", l.Rev, l.All)
}
func (h heard) DiscoveryAddressChanged(time.Duration) {}
func (h heard) DiscoveryCallFailed(_ error, how balancer.ListKind, _ time.Time) {
	h <- map[balancer.ListKind]string{balancer.ListFailed: "failed", balancer.ListTimeout: "silent", balancer.ListOverloaded: "busy"}[how]
}

func (h heard) want(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-h:
		if got != want {
			t.Fatalf("told %q, want %q", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("told nothing, want %q", want)
	}
}

// The first call does not wait, so that it tells at once whether discovery is there; the next follow on it and
// carry the version last heard. A failure ends the watch and is told once; Observe begins anew.
func TestWatch(t *testing.T) {
	calls := make(chan string, 10)
	answers := make(chan string, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.RequestURI
		select {
		case a := <-answers:
			if a == "" {
				w.WriteHeader(503)
			}
			fmt.Fprint(w, a)
		case <-r.Context().Done():
		}
	}))
	defer srv.Close()
	defer srv.CloseClientConnections()
	to := make(heard, 10)
	w := newWatch(srv.Listener.Addr().String(), 41)
	w.to, w.vary = to, 0
	w.Watch(true)
	w.Watch(true) // already watching: no second call
	answers <- `{"rev":41,"all":false,"targets":[]}`
	to.want(t, "list 41 false")
	answers <- `{"rev":43,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"in_service"}]}`
	to.want(t, "list 43 true")
	answers <- ""
	to.want(t, "failed")
	w.Watch(true)
	answers <- `{`
	to.want(t, "failed")
	w.Poll()
	answers <- `{"rev":50,"all":true,"targets":[]}`
	to.want(t, "list 50 true")
	var got []string
	for range 5 {
		got = append(got, <-calls)
	}
	if diff := cmp.Diff([]string{"/v1/endpoints?since=41&timeout_ms=0", "/v1/endpoints?since=41&timeout_ms=4000",
		"/v1/endpoints?since=43&timeout_ms=4000", "/v1/endpoints?since=43&timeout_ms=0", "/v1/endpoints"}, got); diff != "" {
		t.Error(diff)
	}
}

// A move gives up the call at hand without a word of failure, and asks the new address at once and for the whole
// list. A list with nothing on it, as of a discovery that has only just started, does not empty the fleet. A watch
// that has failed is taken up by a move too: the module would ask only after its pause.
func TestMove(t *testing.T) {
	held, calls := make(chan string, 10), make(chan string, 10)
	old := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		held <- r.RequestURI
		<-r.Context().Done() // until the call is given up
		held <- "given up"
	}))
	defer old.Close()
	lists := make(chan string, 2)
	lists <- `{"rev":7,"all":true,"targets":[]}`
	lists <- `{"rev":7,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"in_service"}]}`
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.RequestURI
		if strings.Contains(r.RequestURI, "timeout_ms=4000") {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, <-lists)
	}))
	defer next.Close()
	defer next.CloseClientConnections()
	to := make(heard, 10)
	w := newWatch(old.Listener.Addr().String(), 41)
	w.to, w.vary, w.slack = to, 0, time.Minute // longer than this test takes
	w.Watch(true)
	if got := <-held; got != "/v1/endpoints?since=41&timeout_ms=0" {
		t.Error(got)
	}
	w.SetAddress(next.Listener.Addr().String())
	select {
	case <-held:
	case <-time.After(10 * time.Second):
		t.Fatal("the call at hand goes on")
	}
	to.want(t, "failed")        // the empty list, and nothing before it
	w.SetAddress("127.0.0.1:1") // nobody is there
	to.want(t, "failed")
	w.SetAddress(next.Listener.Addr().String())
	to.want(t, "list 7 true")
	var got []string
	for range 3 {
		got = append(got, <-calls)
	}
	if diff := cmp.Diff([]string{"/v1/endpoints", "/v1/endpoints", "/v1/endpoints?since=7&timeout_ms=4000"}, got); diff != "" {
		t.Error(diff)
	}
}

// A whole list on which every backend has gone is as empty as one with none: it is not believed.
func TestListOfTheGoneIsNotBelieved(t *testing.T) {
	for list, want := range map[string]string{
		`{"rev":7,"all":true,"targets":[]}`:                                                           "failed",
		`{"rev":7,"all":true,"targets":[{"uid":"a","state":"terminated"}]}`:                           "failed",
		`{"rev":7,"all":false,"targets":[{"uid":"a","state":"terminated"}]}`:                          "list 7 false",
		`{"rev":7,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"terminating"}]}`: "list 7 true",
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, list) }))
		to := make(heard, 100)
		w := newWatch(srv.Listener.Addr().String(), 1)
		w.to = to
		w.Watch(true)
		to.want(t, want)
		w.Watch(false)
		srv.Close()
	}
}

// A discovery that answers at once, whatever is asked, is not called in a tight loop.
func TestHastyDiscoveryIsNotFlooded(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"rev":1,"all":false,"targets":[]}`)
	}))
	defer srv.Close()
	to := make(heard, 100)
	w := newWatch(srv.Listener.Addr().String(), 1)
	w.to, w.pause = to, 20*time.Millisecond
	began := time.Now()
	w.Watch(true)
	for range 5 {
		to.want(t, "list 1 false")
	}
	w.Watch(false)
	if took := time.Since(began); took < 4*w.pause {
		t.Errorf("five calls in %v", took)
	}
}

// Nor is one that fails at once, however often the watch is asked for: without a time between its calls, the
// module would ask anew as soon as it hears of the failure.
func TestFailingDiscoveryIsNotFlooded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close() // calls are refused from here on
	to := make(heard, 100)
	w := newWatch(ln.Addr().String(), 1)
	w.to, w.pause = to, 20*time.Millisecond
	began := time.Now()
	for range 5 {
		w.Watch(true)
		to.want(t, "failed")
	}
	if took := time.Since(began); took < 4*w.pause {
		t.Errorf("five calls in %v", took)
	}
}

// stuck is a log that nobody reads, until it is told to go on.
type stuck struct {
	free chan struct{}
	strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	return s.Builder.Write(p)
}

// A log that nobody reads does not hold up who writes it: that is the goroutine which serves all requests.
// What is lost by that is counted in the log.
func TestUnreadLogBlocksNobody(t *testing.T) {
	to := &stuck{free: make(chan struct{})}
	w := NewLogWriter(to)
	for i := range logQueue + 100 {
		if n, err := fmt.Fprintln(w, "line", i); n == 0 || err != nil {
			t.Fatal(n, err)
		}
	}
	w.Flush(time.Millisecond) // gives up
	close(to.free)
	w.Flush(time.Minute)
	if got := to.String(); !strings.Contains(got, "line 0\n") || !strings.Contains(got, "log lines dropped") {
		t.Errorf("written: %.40q…, %d bytes, or nothing on what was dropped", got, len(got))
	}
}

// A discovery that is cut off takes the call and says nothing; its connection looks alive. Each call has a
// time limit of its own, so that the module hears of it.
func TestSilentDiscoveryIsNoticed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	to := make(heard, 1)
	w := newWatch(ln.Addr().String(), 1)
	w.to, w.slack = to, 50*time.Millisecond
	w.Watch(true)
	to.want(t, "silent")
}

// Guards: a watch that fell silent was noticed 7 s after its call, and what it had missed counts as told 6 s after it
// fell silent, or 2 s after its wait was over. And one change set all nodes in step for ever after: their calls would
// also end together where a silence strikes all.
func TestSilentWatchIsNoticedInTime(t *testing.T) {
	if watchWait+watchSlack > 5*time.Second || watchSlack > time.Second {
		t.Errorf("a silence is noticed after up to %v, %v after the wait: too late to call anew", watchWait+watchSlack, watchSlack)
	}
	waits := make(chan int, 40)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		select {
		case waits <- ms:
			fmt.Fprint(w, `{"rev":41,"all":false,"targets":[]}`)
		default: // from now on it says nothing
			<-r.Context().Done()
		}
	}))
	defer srv.Close()
	defer srv.CloseClientConnections()
	to := make(heard, 50)
	w := newWatch(srv.Listener.Addr().String(), 41)
	w.to, w.pause, w.over, w.slack = to, time.Millisecond, time.Millisecond, time.Minute
	w.wait, w.vary = 200*time.Millisecond, 100*time.Millisecond
	w.Watch(true)
	for range cap(waits) {
		to.want(t, "list 41 false")
	}
	to.want(t, "silent") // by the slack of a call that waits
	if first := <-waits; first != 0 {
		t.Errorf("the first call waits %d ms", first)
	}
	seen := map[int]bool{}
	for range cap(waits) - 1 {
		ms := <-waits
		if seen[ms] = true; ms < 100 || ms > 200 {
			t.Errorf("a call waits %d ms", ms)
		}
	}
	if len(seen) < 10 {
		t.Errorf("%d calls wait %d different times", cap(waits)-1, len(seen))
	}
}

// A call that is refused at once has met a discovery that is down; one that stood in line first has met too many callers, and its
// next is spread with theirs; one whose connection never comes up was not answered at all.
func TestHowACallFailsIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		turn time.Duration // a call that fails after so long has stood in line
		fail func(http.ResponseWriter)
	}{
		"failed":          {time.Hour, func(w http.ResponseWriter) { w.WriteHeader(503) }},
		"busy":            {0, func(w http.ResponseWriter) { w.WriteHeader(503) }},
		"failed, no list": {0, func(w http.ResponseWriter) { fmt.Fprint(w, `{"rev":`) }}, // it answers, only not soundly
	} {
		name, noList := strings.CutSuffix(name, ", no list")
		for _, reset := range []bool{false, true} {
			if noList && reset {
				continue
			}
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !reset {
					c.fail(w)
					return
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					_ = conn.Close()
				}
			}))
			to := make(heard, 1)
			w := newWatch(srv.Listener.Addr().String(), 1)
			w.to, w.turn = to, c.turn
			w.Watch(true)
			to.want(t, name)
			srv.Close()
		}
	}
	full, err := net.Listen("tcp", "127.0.0.1:0") // nobody accepts: once its queue is full, connections do not come up
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = full.Close() }()
	raw, err := full.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		t.Fatal(err)
	}
	for { // until one does not
		conn, err := net.DialTimeout("tcp", full.Addr().String(), 100*time.Millisecond)
		if err != nil {
			break
		}
		defer func() { _ = conn.Close() }()
	}
	to := make(heard, 1)
	w := newWatch(full.Addr().String(), 1)
	w.to, w.slack, w.turn = to, 50*time.Millisecond, 0
	w.Watch(true)
	to.want(t, "silent")
}

// lines hands on what is logged, as far as there is room.
type lines chan string

func (l lines) Write(p []byte) (int, error) {
	select {
	case l <- string(p):
	default:
	}
	return len(p), nil
}

// SIGHUP, several in a row: a sound file moves discovery, a bad one is a line that names the field and changes
// nothing, what else differs is named, and no list in the file counts. The node serves all along, also a request
// that was open.
func TestReload(t *testing.T) {
	calls := make(chan string, 100)
	newDiscovery := func(name string) *httptest.Server {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls <- name + r.RequestURI
			if strings.HasSuffix(r.RequestURI, "timeout_ms=0") { // a node that has just started sends nothing before this
				fmt.Fprint(w, `{"rev":41,"all":false,"targets":[]}`)
				return
			}
			<-r.Context().Done()
		}))
		t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
		return srv
	}
	first, second := newDiscovery("first"), newDiscovery("second")
	arrived, release := make(chan struct{}), make(chan struct{})
	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		fmt.Fprint(w, "served")
	}))
	defer app.Close()
	text := strings.NewReplacer("127.0.0.1:1\"", app.Listener.Addr().String()+"\"", "127.0.0.1:8500",
		first.Listener.Addr().String(), "600000", "60000000", "1500000", "60000000").Replace(good)
	parse := func(text string) (*Config, error) { return Parse([]byte(text), func(string) string { return "" }) }
	c, err := parse(text)
	if err != nil {
		t.Fatal(err)
	}
	files := make(chan string, 3)
	out, ended, hup := make(lines, 100), make(chan error, 1), NotifyReload()
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		ended <- Serve(ctx, c, func() (*Config, error) { return parse(<-files) }, hup, slog.New(slog.NewTextHandler(out, nil)))
	}()
	await := func(says string) string {
		t.Helper()
		for end := time.After(10 * time.Second); ; {
			select {
			case line := <-out:
				if strings.Contains(line, says) {
					return line
				}
			case <-end:
				t.Fatalf("no line says %s", says)
			}
		}
	}
	_, addr, _ := strings.Cut(await("msg=serving"), "listen=")
	addr, _, _ = strings.Cut(addr, " ")
	if got := <-calls; got != "first/v1/endpoints?since=41&timeout_ms=0" {
		t.Error(got)
	}
	answered := make(chan *http.Response, 1)
	go func() {
		req, _ := http.NewRequest("GET", "http://"+addr+"/read", nil)
		req.Header = http.Header{"X-Trace-Id": {"1"}, "X-Customer": {"t"}}
		resp, _ := http.DefaultClient.Do(req)
		answered <- resp
	}()
	<-arrived
	moved := strings.Replace(text, first.Listener.Addr().String(), second.Listener.Addr().String(), 1)
	gone := moved[:strings.Index(moved, `{"uid"`)] + moved[strings.Index(moved, `]},`):] // no backends in the file
	for _, step := range []struct{ file, says string }{
		{strings.Replace(text, `"cores":1`, `"cores":-1`, 1), "limits.cores"},
		{strings.Replace(gone, `"n3"`, `"n4"`, 1), "fields=name\n"},
		{strings.Replace(gone, `"max_attempts":6`, `"max_attempts":2`, 1), "settings taken up"},
		{"", "configuration: empty"},
		{gone, "configuration taken up"},
	} {
		files <- step.file
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		await(step.says)
	}
	got := <-calls
	for strings.HasPrefix(got, "first/v1/endpoints?since=41&timeout_ms=") { // watches of before
		got = <-calls
	}
	if got != "second/v1/endpoints" {
		t.Error(got)
	}
	close(release)
	if resp := <-answered; resp == nil || resp.StatusCode != 200 {
		t.Errorf("the open request: %v", resp)
	}
	stop()
	await("msg=draining")
	files <- text // during a stop it is safe, too
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	await("configuration taken up")
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A whole run: from the configuration to a request answered, and out at SIGTERM.
func TestServe(t *testing.T) {
	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "served") }))
	defer app.Close()
	c, err := Parse([]byte(strings.NewReplacer("127.0.0.1:1\"", app.Listener.Addr().String()+"\"",
		"600000", "60000000", "1500000", "60000000").Replace(good)), func(string) string { return "" }) // on a busy machine, too
	if err != nil {
		t.Fatal(err)
	}
	c.Admin = "127.0.0.1:0"
	out, ended := make(lines, 100), make(chan error, 1)
	go func() { ended <- Serve(context.Background(), c, nil, nil, slog.New(slog.NewTextHandler(out, nil))) }()
	addr, operator := "", ""
	for line := range out {
		if _, after, ok := strings.Cut(line, "msg=serving"); ok {
			_, addr, _ = strings.Cut(after, "listen=")
			addr, _, _ = strings.Cut(addr, " ")
			_, operator, _ = strings.Cut(after, "operator=")
			operator, _, _ = strings.Cut("http://"+operator, " ")
			break
		}
	}
	req, _ := http.NewRequest("GET", "http://"+addr+"/read", nil)
	req.Header = http.Header{"X-Trace-Id": {"1"}, "X-Customer": {"t"}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	for _, c := range []struct {
		method, url string
		code        int
	}{{"GET", operator + "/status", 200}, {"PUT", operator + "/standby", 200}, {"GET", "http://" + addr + "/ready", 503},
		{"PUT", operator + "/active", 200}, {"GET", "http://" + addr + "/ready", 200}} {
		req, _ := http.NewRequest(c.method, c.url, nil)
		if resp, err := http.DefaultClient.Do(req); err != nil || resp.StatusCode != c.code {
			t.Errorf("%s %s: %v %v, want %d", c.method, c.url, resp, err, c.code)
		}
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", addr); err == nil {
		t.Error("still listening after the end")
	}
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	c.Listen, c.Admin = busy.Addr().String(), ""
	if err := Serve(context.Background(), c, nil, nil, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("an address in use: %v", err)
	}
}

// Where lists are pushed the watch begins by itself and never ends: an agent that fails, says nothing, tells an empty list or
// moves is asked again without a word to the module, which did not ask. The first failure in a row is told, and no other.
func TestPushedWatchNeverEnds(t *testing.T) {
	answers := make(chan string, 10)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case a := <-answers:
			switch a {
			case "":
				w.WriteHeader(503)
			case "silence":
				<-r.Context().Done()
			default:
				fmt.Fprint(w, a)
			}
		case <-r.Context().Done():
		}
	})
	srv := httptest.NewServer(handler)
	defer srv.Close()
	defer srv.CloseClientConnections()
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.RequestURI, "since=") {
			<-r.Context().Done() // no news
			return
		}
		fmt.Fprint(w, `{"rev":7,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"in_service"}]}`)
	}))
	defer next.Close()
	defer next.CloseClientConnections()
	to := make(heard, 10)
	w := newWatch(srv.Listener.Addr().String(), 41)
	w.to, w.pause = to, time.Millisecond
	for _, a := range []string{"", "silence", `{"rev":1,"all":true,"targets":[]}`, `{"rev":42,"all":false,"targets":[]}`,
		"silence", `{"rev":43,"all":false,"targets":[]}`} {
		answers <- a
	}
	w.pushed((400 * time.Millisecond).Microseconds(), func(error) { to <- "lost" })
	if w.wait != 100*time.Millisecond || w.slack != w.wait {
		t.Errorf("waits %v, gives up %v after that", w.wait, w.slack)
	}
	for _, want := range []string{"lost", "list 42 false", "lost", "list 43 false"} {
		to.want(t, want)
	}
	srv.CloseClientConnections() // the agent dies, and nobody waits for an answer there
	w.SetAddress(next.Listener.Addr().String())
	for got := ""; got != "list 7 true"; {
		select {
		case got = <-to:
		case <-time.After(10 * time.Second):
			t.Fatal("nothing from the agent that it has moved to")
		}
		if got != "lost" && got != "list 7 true" {
			t.Fatal(got)
		}
	}
	w.Watch(false)
}

// A node to which lists are pushed hears of a drain without having asked for anything.
func TestPushedListsAreHeard(t *testing.T) {
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.RequestURI, "since=9000") {
			<-r.Context().Done() // no news
			return
		}
		fmt.Fprint(w, `{"rev":9000,"all":false,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"terminating"}]}`)
	}))
	defer agent.Close()
	defer agent.CloseClientConnections()
	c, err := Parse([]byte(strings.NewReplacer(`"ask"`, `"push"`, "127.0.0.1:8500", agent.Listener.Addr().String()).Replace(good)),
		func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	out, ended := make(lines, 100), make(chan error, 1)
	go func() { ended <- Serve(ctx, c, nil, nil, slog.New(slog.NewTextHandler(out, nil))) }()
	for line := range out {
		if strings.Contains(line, "msg=backends rev=9000") {
			break
		}
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Where lists are pushed, how often the agent is asked follows from the time in which a drain must be heeded, also from one that SIGHUP brings.
func TestReloadedGraceIsHeeded(t *testing.T) {
	waits := make(chan string, 100)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case waits <- r.URL.Query().Get("timeout_ms"):
		default:
		}
		fmt.Fprint(w, `{"rev":9000,"all":false,"targets":[]}`)
	}))
	defer agent.Close()
	defer agent.CloseClientConnections()
	parse := func(grace string) (*Config, error) {
		return Parse([]byte(strings.NewReplacer(`"ask"`, `"push"`, "127.0.0.1:8500", agent.Listener.Addr().String(),
			`"grace_to_answer_us":20000`, `"grace_to_answer_us":20000,"drain_grace_us":`+grace).Replace(good)), func(string) string { return "" })
	}
	c, err := parse("2000000")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended, hup := make(chan error, 1), make(chan os.Signal, 1)
	go func() {
		ended <- Serve(ctx, c, func() (*Config, error) { return parse("600000") }, hup, slog.New(slog.DiscardHandler))
	}()
	for _, want := range []string{"500", "150"} { // a quarter, in milliseconds
		for end, got := time.After(10*time.Second), ""; got != want; {
			select {
			case got = <-waits:
			case <-end:
				t.Fatalf("the agent is not asked to wait for %s ms", want)
			}
		}
		hup <- syscall.SIGHUP
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A discovery that takes longer for an answer than one call waits is heard all the same: the next calls wait longer, until it has been.
func TestSlowDiscoveryIsHeard(t *testing.T) {
	waited := make(chan bool, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(300 * time.Millisecond):
			waited <- true
			fmt.Fprint(w, `{"rev":42,"all":false,"targets":[]}`)
		case <-r.Context().Done():
			waited <- false
		}
	}))
	defer srv.Close()
	defer srv.CloseClientConnections()
	to := make(heard, 10)
	w := newWatch(srv.Listener.Addr().String(), 41)
	w.to, w.slack, w.pause = to, 200*time.Millisecond, time.Millisecond
	w.Watch(true)
	to.want(t, "silent")
	w.Watch(true)
	to.want(t, "list 42 false")
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unheard != 0 {
		t.Errorf("%d calls count as unheard after one that was answered", w.unheard)
	}
}

// moves notes what a watch tells of a move, and as of when answers held.
type moves struct {
	heard
	moved chan time.Duration
	asOf  chan time.Time
}

func (m moves) DiscoveryAddressChanged(within time.Duration)        { m.moved <- within }
func (m moves) UpdateEndpointsAsOf(_ protocol.List, asOf time.Time) { m.asOf <- asOf }

// A move of discovery is told at once, also before the first call: what was heard before counts for 4 s at most. An answer of the address left behind
// says nothing of the list at the new one, and one that comes late says no more than it could have when it was due.
func TestMoveAndLateAnswersAreTold(t *testing.T) {
	to := moves{make(heard, 10), make(chan time.Duration, 1), make(chan time.Time, 1)}
	w := newWatch("127.0.0.1:1", 41)
	w.to = to
	w.SetAddress("127.0.0.1:2")
	if len(to.moved) == 0 { // it is told within the call
		t.Fatal("a move is not told")
	}
	if got := <-to.moved; got != movedWithin {
		t.Errorf("told to count for %v", got)
	}
	w.SetAddress("127.0.0.1:2") // it is there already
	if len(to.moved) > 0 {
		t.Error("told again without a move")
	}
	began := time.Now().Add(-10 * time.Second)
	for _, c := range []struct {
		name, addr string
		want       time.Time
	}{{"late", "127.0.0.1:2", began.Add(time.Second + answerSpare)}, {"of the address left behind", "127.0.0.1:1", time.Time{}}} {
		w.tell(c.addr, protocol.List{Rev: 42}, began, time.Second, nil)
		if got := <-to.asOf; !got.Equal(c.want) {
			t.Errorf("%s: as of %v, want %v", c.name, got, c.want)
		}
	}
	before := time.Now()
	w.tell("127.0.0.1:2", protocol.List{Rev: 43}, before, time.Hour, nil)
	if got := <-to.asOf; got.Before(before) || got.After(time.Now()) {
		t.Errorf("a prompt answer: as of %v", got)
	}
}
