package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// removalGrace is how long after a removal was written requests may still go there: the drain grace of the configuration, its tolerance,
	// and what a node that is held up may add.
	removalGrace = 500*time.Millisecond + 50*time.Millisecond + 150*time.Millisecond
	// removalObserved is how long requests are observed after a removal was written: longer than a lease on the list.
	removalObserved = 7500 * time.Millisecond
	// returnLimit is how long after a list with live backends was written requests may be unanswered.
	returnLimit = 300 * time.Millisecond
)

// listForm is what discovery writes once it has removed backends of a, b and c.
type listForm struct {
	name    string
	answers []string      // one after the other, and the last again; empty: the connection is reset
	every   bool          // each call is answered, also one that has the last answer's revision
	pieces  bool          // the answer comes chunked, in three pieces within 0.3 s
	head    string        // in place of the usual one; the connection closes behind the answer
	moved   bool          // discovery moves to another address at that moment, by SIGHUP
	transit bool          // the answers are those of the earlier address, and have begun as discovery moves; the next one is silent
	removed string        // the backends that count as removed or draining from here on
	after   time.Duration // when they do, where the answers do not say so: counted from the first
}

// The entries of a backend in each state, and in forms that cannot be read.
const (
	inService   = `{"uid":"%[1]s","endpoint":"{%[1]s}","az":"z","state":"in_service","capacity_hint":1}`
	terminating = `{"uid":"%[1]s","endpoint":"{%[1]s}","az":"z","state":"terminating","capacity_hint":1}`
	terminated  = `{"uid":"%[1]s","endpoint":"{%[1]s}","az":"z","state":"terminated","capacity_hint":1}`
	oddState    = `{"uid":"%[1]s","endpoint":"{%[1]s}","az":"z","state":"resting","capacity_hint":1}`
	noState     = `{"uid":"%[1]s","endpoint":"{%[1]s}","az":"z"}`
	oddEndpoint = `{"uid":"%[1]s","endpoint":"nowhere","az":"z","state":"in_service","capacity_hint":1}`
	oddBoot     = `{"uid":"%[1]s","endpoint":"{%[1]s}","az":"z","state":"in_service","boot_ms":"today"}`
	oddWeight   = `{"uid":"%[1]s","endpoint":"{%[1]s}","az":"z","state":"in_service","capacity_hint":{}}`
	noUID       = `{"endpoint":"{%[1]s}","az":"z","state":"in_service","capacity_hint":1}`
	noObject    = `"%[1]s"`
)

// Heads of answers that end with their connection: one that gives no length, and one that gives more than comes.
const (
	unsizedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	cutHead     = "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"
)

// entry is a backend's entry of a form.
func entry(form, uid string) string { return fmt.Sprintf(form, uid) }

// fullList and changes are answers with entries.
func fullList(revision int, entries ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":true,"targets":[%s]}`, revision, strings.Join(entries, ","))
}

func changes(revision int, entries ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":false,"targets":[%s]}`, revision, strings.Join(entries, ","))
}

// all is the entries of all backends in one form.
func all(form string) []string {
	return []string{entry(form, "a"), entry(form, "b"), entry(form, "c")}
}

// confirmedRevision is the revision of the list that each process has before backends are removed.
const confirmedRevision = 5

var listForms = []listForm{
	{name: "empty", answers: []string{fullList(6)}, removed: "abc"},
	{name: "empty-at-each-call", answers: []string{fullList(6)}, every: true, removed: "abc"},
	{name: "empty-in-pieces", answers: []string{fullList(6)}, pieces: true, removed: "abc"},
	{name: "empty-revision-as-before", answers: []string{fullList(confirmedRevision)}, removed: "abc"},
	{name: "empty-without-length", answers: []string{fullList(6)}, head: unsizedHead, every: true, removed: "abc"},
	{name: "one-terminated-without-length", answers: []string{changes(6, entry(terminated, "b"))}, head: unsizedHead, every: true, removed: "b"},
	{name: "cut-short", answers: []string{fullList(6)}, head: cutHead, every: true, after: notificationTimeout, removed: "abc"},
	{name: "empty-after-a-reset", answers: []string{"", fullList(6)}, removed: "abc"},
	{name: "null", answers: []string{`{"rev":6,"all":true,"targets":null}`}, removed: "abc"},
	{name: "no-targets", answers: []string{`{"rev":6,"all":true}`}, removed: "abc"},
	{name: "all-terminated", answers: []string{fullList(6, all(terminated)...)}, removed: "abc"},
	{name: "all-terminated-indented", answers: []string{strings.ReplaceAll(fullList(6, all(terminated)...), ",", ",\n\t ")}, removed: "abc"},
	{name: "all-terminated-in-pieces", answers: []string{fullList(6, all(terminated)...)}, pieces: true, removed: "abc"},
	{name: "all-terminated-as-changes", answers: []string{changes(6, all(terminated)...)}, removed: "abc"},
	{name: "all-terminating-then-empty", answers: []string{fullList(6, all(terminating)...), fullList(7)}, removed: "abc"},
	{name: "lower-revision-without-one", answers: []string{fullList(3, entry(inService, "a"), entry(inService, "c"))}, every: true, removed: "b"},
	{name: "lower-revision-without-one-once", answers: []string{fullList(3, entry(inService, "a"), entry(inService, "c"))}, removed: "b"},
	{name: "lower-revision-with-one-terminating", answers: []string{fullList(3, entry(inService, "a"), entry(terminating, "b"), entry(inService, "c"))}, removed: "b"},
	{name: "lower-revision-empty", answers: []string{fullList(3)}, every: true, removed: "abc"},
	{name: "lower-revision-changes-with-one-terminated", answers: []string{changes(3, entry(terminated, "b"))}, removed: "b"},
	{name: "moved-lower-revision-without-one", answers: []string{fullList(3, entry(inService, "a"), entry(inService, "c"))}, every: true, moved: true, removed: "b"},
	{name: "moved-empty", answers: []string{fullList(6)}, moved: true, removed: "abc"},
	{name: "moved-lower-revision-empty", answers: []string{fullList(1)}, moved: true, removed: "abc"},
	{name: "moved-in-transit", answers: []string{changes(6, entry(terminated, "b"))}, pieces: true, moved: true, transit: true, removed: "b"},
	{name: "moved-in-transit-empty", answers: []string{fullList(6)}, pieces: true, moved: true, transit: true, removed: "abc"},
	{name: "unknown-state-beside-a-missing-one", answers: []string{fullList(6, entry(inService, "a"), entry(oddState, "c"))}, removed: "bc"},
	{name: "invalid-endpoint-beside-a-missing-one", answers: []string{fullList(6, entry(inService, "a"), entry(oddEndpoint, "c"))}, removed: "bc"},
	{name: "no-state-beside-a-missing-one", answers: []string{fullList(6, entry(inService, "a"), entry(noState, "c"))}, removed: "bc"},
	{name: "invalid-start-beside-a-missing-one", answers: []string{fullList(6, entry(inService, "a"), entry(oddBoot, "c"))}, removed: "bc"},
	{name: "invalid-weight-beside-a-missing-one", answers: []string{fullList(6, entry(inService, "a"), entry(oddWeight, "c"))}, removed: "bc"},
	{name: "no-uid-beside-a-missing-one", answers: []string{fullList(6, entry(inService, "a"), entry(noUID, "c"))}, removed: "bc"},
	{name: "no-object-beside-a-missing-one", answers: []string{fullList(6, entry(inService, "a"), entry(noObject, "c"))}, removed: "bc"},
	{name: "all-with-unknown-states", answers: []string{fullList(6, all(oddState)...)}, removed: "abc"},
	{name: "changes-one-terminated-beside-an-unknown-state", answers: []string{changes(6, entry(oddState, "b"), entry(terminated, "c"))}, removed: "bc"},
	{name: "twice-terminating-last", answers: []string{fullList(6, append(all(inService), entry(terminating, "b"))...)}, removed: "b"},
	{name: "twice-terminating-first", answers: []string{fullList(6, append([]string{entry(terminating, "b")}, all(inService)...)...)}, removed: "b"},
	{name: "twice-unknown-state-first", answers: []string{fullList(6, append([]string{entry(oddState, "b")}, all(inService)...)...)}, removed: "b"},
	{name: "not-a-list", answers: []string{`{"rev":6,"all":true,"targets":[`}, every: true, after: notificationTimeout, removed: "abc"},
	{name: "not-a-list-of-targets", answers: []string{`{"rev":6,"all":true,"targets":{}}`}, every: true, after: notificationTimeout, removed: "abc"},
	{name: "without-one", answers: []string{fullList(6, entry(inService, "a"), entry(inService, "c"))}, removed: "b"},
	{name: "without-one-among-unknown-fields", answers: []string{
		`{"v":[{}],"rev":6,"all":true,"targets":[` + strings.Replace(entry(inService, "a"), `{`, `{"x":{"y":[1]},`, 1) + `],"next":null}` + "\n\n",
	}, removed: "bc"},
}

// formsDiscovery is discovery as one process of a test reaches it: it has all backends in service until the removal.
type formsDiscovery struct {
	form     listForm
	backends *strings.Replacer // addresses by UID

	mutex     sync.Mutex
	changed   chan struct{} // closed at the removal
	returned  chan struct{} // closed when all backends are in service again
	answered  int           // answers since the removal
	writtenAt time.Time     // when the last of the form's answers was first written
}

func (d *formsDiscovery) remove() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	close(d.changed)
}

// next returns the next answer of the form, which is its last one from then on.
func (d *formsDiscovery) next() (answer string, last bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	position := min(d.answered, len(d.form.answers)-1)
	d.answered++
	return d.backends.Replace(d.form.answers[position]), position == len(d.form.answers)-1
}

// answering reports whether an answer of the form has begun.
func (d *formsDiscovery) answering() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.answered > 0
}

func (d *formsDiscovery) noteWritten() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.writtenAt.IsZero() {
		d.writtenAt = time.Now()
	}
}

// late reports whether something may not start at a removed backend any more.
func (d *formsDiscovery) late() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.writtenAt.IsZero() && time.Since(d.writtenAt) > d.form.after+removalGrace
}

// handler answers calls at one of the addresses: at the first as of the removal or, where discovery moves, as before it.
func (d *formsDiscovery) handler(removes bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		waits, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		since, _ := strconv.Atoi(r.URL.Query().Get("since"))
		select {
		case <-d.changed:
		default:
			if since < confirmedRevision {
				_, _ = io.WriteString(w, d.backends.Replace(fullList(confirmedRevision, all(inService)...)))
				return
			}
			if !hold(r, waits, d.changed) {
				_, _ = io.WriteString(w, changes(since))
				return
			}
		}
		switch {
		case d.form.transit && removes:
			<-r.Context().Done()
			return
		case !d.form.transit && !removes:
			resetConnection(w)
			return
		}
		d.answer(w, r, since, waits)
	}
}

// hold waits until a change, and returns false where none came in the time that the call may wait.
func hold(r *http.Request, waitMs int, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-time.After(time.Duration(waitMs) * time.Millisecond):
	case <-r.Context().Done():
	}
	return false
}

func (d *formsDiscovery) answer(w http.ResponseWriter, r *http.Request, since, waits int) {
	d.mutex.Lock()
	done := d.answered >= len(d.form.answers)
	d.mutex.Unlock()
	if done && waits > 0 && !d.form.every { // a watch, and nothing has changed since
		list := changes(since)
		if hold(r, waits, d.returned) {
			list = d.backends.Replace(fullList(since+1, all(inService)...))
		}
		_, _ = io.WriteString(w, list)
		return
	}
	body, last := d.next()
	if body == "" {
		resetConnection(w)
		return
	}
	if d.form.head != "" {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, d.form.head+body) // a process that has ended calls again
		_ = conn.Close()
		d.noteWritten()
		return
	}
	for piece := range slices.Chunk([]byte(body), d.pieceLength(len(body))) {
		_, _ = w.Write(piece) // a process that has ended calls again
		if d.form.pieces {
			w.(http.Flusher).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.(http.Flusher).Flush()
	if last {
		d.noteWritten()
	}
}

func (d *formsDiscovery) pieceLength(length int) int {
	if d.form.pieces {
		return length/3 + 1
	}
	return length
}

// formsPlay is one process of the program with three backends that answer all along.
type formsPlay struct {
	discovery *formsDiscovery
	arrivals  map[string]*atomic.Int32
	late      map[string]*atomic.Int32
	process   *process
	address   string
}

func newFormsPlay(t *testing.T, form listForm) *formsPlay {
	t.Helper()
	play := &formsPlay{arrivals: map[string]*atomic.Int32{}, late: map[string]*atomic.Int32{}}
	play.discovery = &formsDiscovery{form: form, changed: make(chan struct{}), returned: make(chan struct{})}
	endpoints, replacements := map[string]string{}, []string{}
	for _, uid := range []string{"a", "b", "c"} {
		play.arrivals[uid], play.late[uid] = &atomic.Int32{}, &atomic.Int32{}
		backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			play.arrivals[uid].Add(1)
			if play.discovery.late() {
				play.late[uid].Add(1)
			}
		}))
		t.Cleanup(backend.Close)
		endpoints[uid] = backend.Listener.Addr().String()
		replacements = append(replacements, "{"+uid+"}", endpoints[uid])
	}
	play.discovery.backends = strings.NewReplacer(replacements...)
	first := play.serveDiscovery(t, !form.moved)
	configJSON := nodeConfig{
		fleetSize:      1,
		discovery:      first,
		endpoints:      endpoints,
		class:          readClass,
		connectTimeout: 250 * time.Millisecond,
		pollInterval:   10 * time.Second,
	}.configJSON()
	play.process = newProcess(t, configJSON)
	play.process.start(t)
	t.Cleanup(play.process.kill)
	play.address = play.process.clientAddress(t)
	return play
}

func (p *formsPlay) serveDiscovery(t *testing.T, removes bool) (address string) {
	t.Helper()
	server := httptest.NewServer(p.discovery.handler(removes))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// remove has discovery write the form, at another address where it moves.
func (p *formsPlay) remove(t *testing.T) {
	t.Helper()
	p.discovery.remove()
	if !p.discovery.form.moved {
		return
	}
	for end := time.Now().Add(startupTimeout); p.discovery.form.transit && !p.discovery.answering() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	config, err := os.ReadFile(p.process.configPath)
	if err != nil {
		t.Fatal(err)
	}
	before, after, _ := strings.Cut(string(config), `"discovery":"127.`)
	_, rest, _ := strings.Cut(after, `"`)
	moved := before + `"discovery":"` + p.serveDiscovery(t, true) + `"` + rest
	if err := os.WriteFile(p.process.configPath, []byte(moved), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := p.process.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

func TestRemovedBackendsGetNothingWhateverFormTheListHas(t *testing.T) {
	for _, form := range listForms {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			playListForm(t, form)
		})
	}
}

func playListForm(t *testing.T, form listForm) {
	t.Helper()
	play := newFormsPlay(t, form)
	var answered, rejected atomic.Int32
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 4 {
		client := steadyClient{address: play.address, process: i, answered: &answered, rejected: &rejected, pause: 2 * time.Millisecond}
		clients.Go(func() { client.run(t, stop) })
	}
	for end := time.Now().Add(startupTimeout); answered.Load() < 100 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	before := answered.Load()
	play.remove(t)
	time.Sleep(removalObserved)
	close(stop)
	clients.Wait()
	if before < 100 || play.discovery.writtenAt.IsZero() {
		t.Fatalf("%d answered before the removal, which was written at %v: %s", before, play.discovery.writtenAt, play.process.output)
	}
	for uid, late := range play.late {
		if n := late.Load(); strings.Contains(form.removed, uid) && n > 0 {
			t.Errorf("%s: %d requests over %v after its removal was written, of %d in all", uid, n, removalGrace, play.arrivals[uid].Load())
		} else if !strings.Contains(form.removed, uid) && n == 0 && !form.transit {
			t.Errorf("%s is in service and gets nothing", uid)
		}
	}
	if t.Failed() {
		t.Log(play.process.output)
	}
}

// With no backend left the process is ready, rejects within half of a request's time, and serves as soon as one is back.
func TestProcessWithoutBackendsRejectsEarlyAndServesAgain(t *testing.T) {
	for _, form := range []listForm{
		{name: "empty", answers: []string{fullList(6)}},
		{name: "all-terminated-as-changes", answers: []string{changes(6, all(terminated)...)}},
		{name: "all-terminating", answers: []string{fullList(6, all(terminating)...)}},
	} {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			play := newFormsPlay(t, form)
			client := steadyClient{address: play.address, process: 0}
			statuses := func(want int, timeout time.Duration) (took time.Duration) {
				t.Helper()
				began := time.Now()
				for number := began.UnixNano(); ; number++ {
					status, err := client.send(http.DefaultClient, int(number))
					if err != nil {
						t.Fatal(err)
					}
					if took = time.Since(began); status == want || took > timeout {
						return took
					}
				}
			}
			if took := statuses(http.StatusOK, startupTimeout); took > startupTimeout {
				t.Fatal("it does not serve")
			}
			play.discovery.remove()
			statuses(http.StatusServiceUnavailable, startupTimeout)
			for range 5 {
				if took := statuses(http.StatusServiceUnavailable, 0); took > 750*time.Millisecond {
					t.Errorf("rejected after %v of 1.5 s", took)
				}
			}
			if !awaitReady(play.address, time.Second) {
				t.Error("it is not ready")
			}
			close(play.discovery.returned)
			if took := statuses(http.StatusOK, startupTimeout); took > returnLimit {
				t.Errorf("served %v after backends were back", took)
			}
		})
	}
}
