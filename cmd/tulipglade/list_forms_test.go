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
	// removalObservation is how long requests are observed after a removal was written: longer than a lease on the list.
	removalObservation = 7500 * time.Millisecond
	// recoveryTimeLimit is how long after a list with live backends was written requests may be unanswered.
	recoveryTimeLimit = 300 * time.Millisecond
)

// listForm is what discovery writes once it has removed backends of a, b and c.
type listForm struct {
	name             string
	responses        []string      // one after the other, and the last again; empty: the connection is reset
	answersEachCall  bool          // each call is answered, also one that has the last answer's revision
	inPieces         bool          // the answer comes chunked, in three pieces within 0.3 s
	customHead       string        // in place of the usual one; the connection closes behind the answer
	moved            bool          // discovery moves to another address at that moment, by SIGHUP
	movedMidResponse bool          // the answers are those of the earlier address, and have begun as discovery moves; the next one is silent
	removedUIDs      string        // the backends that count as removed or draining from here on
	removalDelay     time.Duration // when they do, where the answers do not say so: counted from the first
}

// The entries of a backend in each state, and in forms that cannot be read.
const (
	inService       = `{"uid":"%[1]s","endpoint":"{%[1]s}","az":"z","state":"in_service","capacity_hint":1}`
	terminating     = `{"uid":"%[1]s","endpoint":"{%[1]s}","az":"z","state":"terminating","capacity_hint":1}`
	terminated      = `{"uid":"%[1]s","endpoint":"{%[1]s}","az":"z","state":"terminated","capacity_hint":1}`
	unknownState    = `{"uid":"%[1]s","endpoint":"{%[1]s}","az":"z","state":"resting","capacity_hint":1}`
	missingState    = `{"uid":"%[1]s","endpoint":"{%[1]s}","az":"z"}`
	invalidEndpoint = `{"uid":"%[1]s","endpoint":"nowhere","az":"z","state":"in_service","capacity_hint":1}`
	invalidBootTime = `{"uid":"%[1]s","endpoint":"{%[1]s}","az":"z","state":"in_service","boot_ms":"today"}`
	invalidWeight   = `{"uid":"%[1]s","endpoint":"{%[1]s}","az":"z","state":"in_service","capacity_hint":{}}`
	missingUID      = `{"endpoint":"{%[1]s}","az":"z","state":"in_service","capacity_hint":1}`
	notAnObject     = `"%[1]s"`
)

// Heads of answers that end with their connection: one that gives no length, and one that gives more than comes.
const (
	noLengthHead     = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	excessLengthHead = "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"
)

// formatEntry is a backend's formatEntry of a form.
func formatEntry(template, uid string) string { return fmt.Sprintf(template, uid) }

// fullList and changes are answers with entries.
func fullList(revision int, entries ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":true,"targets":[%s]}`, revision, strings.Join(entries, ","))
}

func incrementalList(revision int, entries ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":false,"targets":[%s]}`, revision, strings.Join(entries, ","))
}

// allEntries is the entries of allEntries backends in one form.
func allEntries(template string) []string {
	return []string{formatEntry(template, "a"), formatEntry(template, "b"), formatEntry(template, "c")}
}

// initialRevision is the revision of the list that each process has before backends are removed.
const initialRevision = 5

var listForms = []listForm{
	{name: "empty", responses: []string{fullList(6)}, removedUIDs: "abc"},
	{name: "empty-at-each-call", responses: []string{fullList(6)}, answersEachCall: true, removedUIDs: "abc"},
	{name: "empty-in-pieces", responses: []string{fullList(6)}, inPieces: true, removedUIDs: "abc"},
	{name: "empty-revision-as-before", responses: []string{fullList(initialRevision)}, removedUIDs: "abc"},
	{name: "empty-without-length", responses: []string{fullList(6)}, customHead: noLengthHead, answersEachCall: true, removedUIDs: "abc"},
	{name: "one-terminated-without-length", responses: []string{incrementalList(6, formatEntry(terminated, "b"))}, customHead: noLengthHead, answersEachCall: true, removedUIDs: "b"},
	{name: "cut-short", responses: []string{fullList(6)}, customHead: excessLengthHead, answersEachCall: true, removalDelay: notificationTimeout, removedUIDs: "abc"},
	{name: "empty-after-a-reset", responses: []string{"", fullList(6)}, removedUIDs: "abc"},
	{name: "null", responses: []string{`{"rev":6,"all":true,"targets":null}`}, removedUIDs: "abc"},
	{name: "no-targets", responses: []string{`{"rev":6,"all":true}`}, removedUIDs: "abc"},
	{name: "all-terminated", responses: []string{fullList(6, allEntries(terminated)...)}, removedUIDs: "abc"},
	{name: "all-terminated-indented", responses: []string{strings.ReplaceAll(fullList(6, allEntries(terminated)...), ",", ",\n\t ")}, removedUIDs: "abc"},
	{name: "all-terminated-in-pieces", responses: []string{fullList(6, allEntries(terminated)...)}, inPieces: true, removedUIDs: "abc"},
	{name: "all-terminated-as-changes", responses: []string{incrementalList(6, allEntries(terminated)...)}, removedUIDs: "abc"},
	{name: "all-terminating-then-empty", responses: []string{fullList(6, allEntries(terminating)...), fullList(7)}, removedUIDs: "abc"},
	{name: "lower-revision-without-one", responses: []string{fullList(3, formatEntry(inService, "a"), formatEntry(inService, "c"))}, answersEachCall: true, removedUIDs: "b"},
	{name: "lower-revision-without-one-once", responses: []string{fullList(3, formatEntry(inService, "a"), formatEntry(inService, "c"))}, removedUIDs: "b"},
	{name: "lower-revision-with-one-terminating", responses: []string{fullList(3, formatEntry(inService, "a"), formatEntry(terminating, "b"), formatEntry(inService, "c"))}, removedUIDs: "b"},
	{name: "lower-revision-empty", responses: []string{fullList(3)}, answersEachCall: true, removedUIDs: "abc"},
	{name: "lower-revision-changes-with-one-terminated", responses: []string{incrementalList(3, formatEntry(terminated, "b"))}, removedUIDs: "b"},
	{name: "moved-lower-revision-without-one", responses: []string{fullList(3, formatEntry(inService, "a"), formatEntry(inService, "c"))}, answersEachCall: true, moved: true, removedUIDs: "b"},
	{name: "moved-empty", responses: []string{fullList(6)}, moved: true, removedUIDs: "abc"},
	{name: "moved-lower-revision-empty", responses: []string{fullList(1)}, moved: true, removedUIDs: "abc"},
	{name: "moved-in-transit", responses: []string{incrementalList(6, formatEntry(terminated, "b"))}, inPieces: true, moved: true, movedMidResponse: true, removedUIDs: "b"},
	{name: "moved-in-transit-empty", responses: []string{fullList(6)}, inPieces: true, moved: true, movedMidResponse: true, removedUIDs: "abc"},
	{name: "unknown-state-beside-a-missing-one", responses: []string{fullList(6, formatEntry(inService, "a"), formatEntry(unknownState, "c"))}, removedUIDs: "bc"},
	{name: "invalid-endpoint-beside-a-missing-one", responses: []string{fullList(6, formatEntry(inService, "a"), formatEntry(invalidEndpoint, "c"))}, removedUIDs: "bc"},
	{name: "no-state-beside-a-missing-one", responses: []string{fullList(6, formatEntry(inService, "a"), formatEntry(missingState, "c"))}, removedUIDs: "bc"},
	{name: "invalid-start-beside-a-missing-one", responses: []string{fullList(6, formatEntry(inService, "a"), formatEntry(invalidBootTime, "c"))}, removedUIDs: "bc"},
	{name: "invalid-weight-beside-a-missing-one", responses: []string{fullList(6, formatEntry(inService, "a"), formatEntry(invalidWeight, "c"))}, removedUIDs: "bc"},
	{name: "no-uid-beside-a-missing-one", responses: []string{fullList(6, formatEntry(inService, "a"), formatEntry(missingUID, "c"))}, removedUIDs: "bc"},
	{name: "no-object-beside-a-missing-one", responses: []string{fullList(6, formatEntry(inService, "a"), formatEntry(notAnObject, "c"))}, removedUIDs: "bc"},
	{name: "all-with-unknown-states", responses: []string{fullList(6, allEntries(unknownState)...)}, removedUIDs: "abc"},
	{name: "changes-one-terminated-beside-an-unknown-state", responses: []string{incrementalList(6, formatEntry(unknownState, "b"), formatEntry(terminated, "c"))}, removedUIDs: "bc"},
	{name: "twice-terminating-last", responses: []string{fullList(6, append(allEntries(inService), formatEntry(terminating, "b"))...)}, removedUIDs: "b"},
	{name: "twice-terminating-first", responses: []string{fullList(6, append([]string{formatEntry(terminating, "b")}, allEntries(inService)...)...)}, removedUIDs: "b"},
	{name: "twice-unknown-state-first", responses: []string{fullList(6, append([]string{formatEntry(unknownState, "b")}, allEntries(inService)...)...)}, removedUIDs: "b"},
	{name: "not-a-list", responses: []string{`{"rev":6,"all":true,"targets":[`}, answersEachCall: true, removalDelay: notificationTimeout, removedUIDs: "abc"},
	{name: "not-a-list-of-targets", responses: []string{`{"rev":6,"all":true,"targets":{}}`}, answersEachCall: true, removalDelay: notificationTimeout, removedUIDs: "abc"},
	{name: "without-one", responses: []string{fullList(6, formatEntry(inService, "a"), formatEntry(inService, "c"))}, removedUIDs: "b"},
	{name: "without-one-among-unknown-fields", responses: []string{
		`{"v":[{}],"rev":6,"all":true,"targets":[` + strings.Replace(formatEntry(inService, "a"), `{`, `{"x":{"y":[1]},`, 1) + `],"next":null}` + "\n\n",
	}, removedUIDs: "bc"},
}

// listFormDiscovery is discovery as one process of a test reaches it: it has all backends in service until the removal.
type listFormDiscovery struct {
	form     listForm
	backends *strings.Replacer // addresses by UID

	mutex          sync.Mutex
	removalStarted chan struct{} // closed at the removal
	restored       chan struct{} // closed when all backends are in service again
	responseCount  int           // answers since the removal
	firstWrittenAt time.Time     // when the last of the form's answers was first written
}

func (d *listFormDiscovery) startRemoval() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	close(d.removalStarted)
}

// nextResponse returns the nextResponse answer of the form, which is its last one from then on.
func (d *listFormDiscovery) nextResponse() (response string, last bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	position := min(d.responseCount, len(d.form.responses)-1)
	d.responseCount++
	return d.backends.Replace(d.form.responses[position]), position == len(d.form.responses)-1
}

// hasResponded reports whether an answer of the form has begun.
func (d *listFormDiscovery) hasResponded() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.responseCount > 0
}

func (d *listFormDiscovery) recordWritten() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.firstWrittenAt.IsZero() {
		d.firstWrittenAt = time.Now()
	}
}

// pastGrace reports whether something may not start at a removed backend any more.
func (d *listFormDiscovery) pastGrace() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.firstWrittenAt.IsZero() && time.Since(d.firstWrittenAt) > d.form.removalDelay+removalGrace
}

// handler answers calls at one of the addresses: at the first as of the removal or, where discovery moves, as before it.
func (d *listFormDiscovery) handler(servesRemoval bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		waitMs, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		since, _ := strconv.Atoi(r.URL.Query().Get("since"))
		select {
		case <-d.removalStarted:
		default:
			if since < initialRevision {
				_, _ = io.WriteString(w, d.backends.Replace(fullList(initialRevision, allEntries(inService)...)))
				return
			}
			if !waitForChange(r, waitMs, d.removalStarted) {
				_, _ = io.WriteString(w, incrementalList(since))
				return
			}
		}
		switch {
		case d.form.movedMidResponse && servesRemoval:
			<-r.Context().Done()
			return
		case !d.form.movedMidResponse && !servesRemoval:
			resetConnection(w)
			return
		}
		d.respond(w, r, since, waitMs)
	}
}

// waitForChange waits until a change, and returns false where none came in the time that the call may wait.
func waitForChange(r *http.Request, waitMs int, change <-chan struct{}) bool {
	select {
	case <-change:
		return true
	case <-time.After(time.Duration(waitMs) * time.Millisecond):
	case <-r.Context().Done():
	}
	return false
}

func (d *listFormDiscovery) respond(w http.ResponseWriter, r *http.Request, since, waitMs int) {
	d.mutex.Lock()
	allSent := d.responseCount >= len(d.form.responses)
	d.mutex.Unlock()
	if allSent && waitMs > 0 && !d.form.answersEachCall { // a watch, and nothing has changed since
		list := incrementalList(since)
		if waitForChange(r, waitMs, d.restored) {
			list = d.backends.Replace(fullList(since+1, allEntries(inService)...))
		}
		_, _ = io.WriteString(w, list)
		return
	}
	body, last := d.nextResponse()
	if body == "" {
		resetConnection(w)
		return
	}
	if d.form.customHead != "" {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, d.form.customHead+body) // a process that has ended calls again
		_ = conn.Close()
		d.recordWritten()
		return
	}
	for piece := range slices.Chunk([]byte(body), d.pieceSize(len(body))) {
		_, _ = w.Write(piece) // a process that has ended calls again
		if d.form.inPieces {
			w.(http.Flusher).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.(http.Flusher).Flush()
	if last {
		d.recordWritten()
	}
}

func (d *listFormDiscovery) pieceSize(length int) int {
	if d.form.inPieces {
		return length/3 + 1
	}
	return length
}

// listFormRun is one process of the program with three backends that answer all along.
type listFormRun struct {
	discovery *listFormDiscovery
	arrivals  map[string]*atomic.Int32
	pastGrace map[string]*atomic.Int32
	process   *process
	address   string
}

func newListFormRun(t *testing.T, form listForm) *listFormRun {
	t.Helper()
	formRun := &listFormRun{arrivals: map[string]*atomic.Int32{}, pastGrace: map[string]*atomic.Int32{}}
	formRun.discovery = &listFormDiscovery{form: form, removalStarted: make(chan struct{}), restored: make(chan struct{})}
	endpoints, replacements := map[string]string{}, []string{}
	for _, uid := range []string{"a", "b", "c"} {
		formRun.arrivals[uid], formRun.pastGrace[uid] = &atomic.Int32{}, &atomic.Int32{}
		backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			formRun.arrivals[uid].Add(1)
			if formRun.discovery.pastGrace() {
				formRun.pastGrace[uid].Add(1)
			}
		}))
		t.Cleanup(backend.Close)
		endpoints[uid] = backend.Listener.Addr().String()
		replacements = append(replacements, "{"+uid+"}", endpoints[uid])
	}
	formRun.discovery.backends = strings.NewReplacer(replacements...)
	firstAddress := formRun.serveDiscovery(t, !form.moved)
	configJSON := nodeConfig{
		fleetSize:      1,
		discovery:      firstAddress,
		endpoints:      endpoints,
		class:          readClass,
		connectTimeout: 250 * time.Millisecond,
		pollInterval:   10 * time.Second,
	}.configJSON()
	formRun.process = newProcess(t, configJSON)
	formRun.process.start(t)
	t.Cleanup(formRun.process.kill)
	formRun.address = formRun.process.clientAddress(t)
	return formRun
}

func (r *listFormRun) serveDiscovery(t *testing.T, servesRemoval bool) (address string) {
	t.Helper()
	server := httptest.NewServer(r.discovery.handler(servesRemoval))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// startRemoval has discovery write the form, at another address where it moves.
func (r *listFormRun) startRemoval(t *testing.T) {
	t.Helper()
	r.discovery.startRemoval()
	if !r.discovery.form.moved {
		return
	}
	for end := time.Now().Add(startupTimeout); r.discovery.form.movedMidResponse && !r.discovery.hasResponded() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	config, err := os.ReadFile(r.process.configPath)
	if err != nil {
		t.Fatal(err)
	}
	before, after, _ := strings.Cut(string(config), `"discovery":"127.`)
	_, rest, _ := strings.Cut(after, `"`)
	moved := before + `"discovery":"` + r.serveDiscovery(t, true) + `"` + rest
	if err := os.WriteFile(r.process.configPath, []byte(moved), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := r.process.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

func TestRemovedBackendsReceiveNoRequestsInAnyListForm(t *testing.T) {
	for _, form := range listForms {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			testListForm(t, form)
		})
	}
}

func testListForm(t *testing.T, form listForm) {
	t.Helper()
	formRun := newListFormRun(t, form)
	var answered, rejected atomic.Int32
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 4 {
		client := sequentialClient{address: formRun.address, process: i, answered: &answered, rejected: &rejected, pause: 2 * time.Millisecond}
		clients.Go(func() { client.run(t, stop) })
	}
	for end := time.Now().Add(startupTimeout); answered.Load() < 100 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	before := answered.Load()
	formRun.startRemoval(t)
	time.Sleep(removalObservation)
	close(stop)
	clients.Wait()
	if before < 100 || formRun.discovery.firstWrittenAt.IsZero() {
		t.Fatalf("%d answered before the removal, which was written at %v: %s", before, formRun.discovery.firstWrittenAt, formRun.process.output)
	}
	for uid, pastGrace := range formRun.pastGrace {
		if n := pastGrace.Load(); strings.Contains(form.removedUIDs, uid) && n > 0 {
			t.Errorf("%s: %d requests over %v after its removal was written, of %d in all", uid, n, removalGrace, formRun.arrivals[uid].Load())
		} else if !strings.Contains(form.removedUIDs, uid) && n == 0 && !form.movedMidResponse {
			t.Errorf("%s is in service and gets nothing", uid)
		}
	}
	if t.Failed() {
		t.Log(formRun.process.output)
	}
}

// With no backend left the process is ready, rejects within half of a request's time, and serves as soon as one is back.
func TestProcessWithoutBackendsRejectsEarlyAndServesAgain(t *testing.T) {
	for _, form := range []listForm{
		{name: "empty", responses: []string{fullList(6)}},
		{name: "all-terminated-as-changes", responses: []string{incrementalList(6, allEntries(terminated)...)}},
		{name: "all-terminating", responses: []string{fullList(6, allEntries(terminating)...)}},
	} {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			formRun := newListFormRun(t, form)
			client := sequentialClient{address: formRun.address, process: 0}
			awaitStatus := func(want int, timeout time.Duration) (took time.Duration) {
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
			if took := awaitStatus(http.StatusOK, startupTimeout); took > startupTimeout {
				t.Fatal("it does not serve")
			}
			formRun.discovery.startRemoval()
			awaitStatus(http.StatusServiceUnavailable, startupTimeout)
			for range 5 {
				if took := awaitStatus(http.StatusServiceUnavailable, 0); took > 750*time.Millisecond {
					t.Errorf("rejected after %v of 1.5 s", took)
				}
			}
			if !awaitReady(formRun.address, time.Second) {
				t.Error("it is not ready")
			}
			close(formRun.discovery.restored)
			if took := awaitStatus(http.StatusOK, startupTimeout); took > recoveryTimeLimit {
				t.Errorf("served %v after backends were back", took)
			}
		})
	}
}
