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
	// removalGrace is how long after a removal was written the backend may still receive requests: the drain grace of
	// the configuration, its tolerance, and an allowance for a node that the machine delays.
	removalGrace = 500*time.Millisecond + 50*time.Millisecond + 150*time.Millisecond
	// removalObservation is how long the test observes requests after a removal. It is longer than a list lease.
	removalObservation = 7500 * time.Millisecond
	// recoveryTimeLimit is how long requests may still be rejected after a list with live backends was written.
	recoveryTimeLimit = 300 * time.Millisecond
)

// listForm describes how discovery reports that some of the backends a, b and c are removed or draining.
type listForm struct {
	name string
	// responses are sent in this order, and the last one is repeated. For an empty string, the connection is reset.
	responses []string
	// answersEachCall has every call answered at once, including a watch that already has the latest revision.
	answersEachCall bool
	// inPieces has each response sent with chunked transfer coding, in three pieces within 0.3 s.
	inPieces bool
	// customHead replaces the usual head of the response. The connection is closed after the response.
	customHead string
	// moved has discovery move to another address at the removal. A SIGHUP makes the process load the new address.
	moved bool
	// movedMidResponse has discovery move while the old address is sending a response. The new address never responds.
	movedMidResponse bool
	// removedUIDs holds the UIDs, one letter each, of the backends that count as removed or draining after the removal.
	removedUIDs string
	// removalDelay is the time from the first write of the last response until removedUIDs count as removed. It is set
	// for responses that the process cannot read.
	removalDelay time.Duration
}

// Templates of list entries: the valid states of a backend first, then entries that are invalid. The verb is the UID;
// the endpoint is a placeholder that listFormDiscovery.backends replaces.
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

// Heads of responses after which the connection is closed: one without a Content-Length, and one with a Content-Length
// that exceeds the body.
const (
	noLengthHead     = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	excessLengthHead = "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"
)

// formatEntry returns the list entry of the backend with the given UID.
func formatEntry(template, uid string) string { return fmt.Sprintf(template, uid) }

// fullList returns a response with a full endpoint list: backends without an entry are removed.
func fullList(revision int, entries ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":true,"targets":[%s]}`, revision, strings.Join(entries, ","))
}

// incrementalList returns a response with the changes since an earlier revision: backends without an entry stay as they
// are.
func incrementalList(revision int, entries ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":false,"targets":[%s]}`, revision, strings.Join(entries, ","))
}

// allEntries returns the entries of the backends a, b and c, all from the same template.
func allEntries(template string) []string {
	return []string{formatEntry(template, "a"), formatEntry(template, "b"), formatEntry(template, "c")}
}

// initialRevision is the revision of the list that each process has before the removal.
const initialRevision = 5

// listForms lists the forms in which discovery reports a removal.
var listForms = []listForm{
	{name: "empty", responses: []string{fullList(6)}, removedUIDs: "abc"},
	{name: "empty-at-each-call", responses: []string{fullList(6)}, answersEachCall: true, removedUIDs: "abc"},
	{name: "empty-in-pieces", responses: []string{fullList(6)}, inPieces: true, removedUIDs: "abc"},
	{name: "empty-revision-as-before", responses: []string{fullList(initialRevision)}, removedUIDs: "abc"},
	{name: "empty-without-length", responses: []string{fullList(6)}, customHead: noLengthHead, answersEachCall: true, removedUIDs: "abc"},
	{name: "one-terminated-without-length", responses: []string{incrementalList(6, formatEntry(terminated, "b"))}, customHead: noLengthHead, answersEachCall: true, removedUIDs: "b"},
	{name: "cut-short", responses: []string{fullList(6)}, customHead: excessLengthHead, answersEachCall: true, removalDelay: notificationTimeout, removedUIDs: "abc"},
	{name: "empty-after-a-reset", responses: []string{"", fullList(6)}, removedUIDs: "abc"},
	{name: "empty-after-seven-resets", responses: []string{"", "", "", "", "", "", "", fullList(6)}, removedUIDs: "abc"},
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

// listFormDiscovery is a discovery server for one process. Until the removal, its list has all backends in service;
// from then on, it responds as its form describes.
type listFormDiscovery struct {
	form     listForm
	backends *strings.Replacer // replaces {uid} by the address of the backend

	mutex          sync.Mutex
	removalStarted chan struct{} // closed when the removal begins
	restored       chan struct{} // closed when all backends are in service again
	removedAt      time.Time     // when the removal began
	responseCount  int           // responses begun since the removal
	firstWrittenAt time.Time     // when the last of the form's responses was written for the first time
}

// startRemoval has all further responses follow the form, and ends the watches that wait for a change.
func (d *listFormDiscovery) startRemoval() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.removedAt = time.Now()
	close(d.removalStarted)
}

// nextResponse returns the next of the form's responses, or the last one again after all have been sent. It also
// reports whether this is the last one.
func (d *listFormDiscovery) nextResponse() (response string, last bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	position := min(d.responseCount, len(d.form.responses)-1)
	d.responseCount++
	return d.backends.Replace(d.form.responses[position]), position == len(d.form.responses)-1
}

// hasResponded reports whether one of the form's responses has begun.
func (d *listFormDiscovery) hasResponded() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.responseCount > 0
}

// recordWritten records the time at which the last of the form's responses was first written.
func (d *listFormDiscovery) recordWritten() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.firstWrittenAt.IsZero() {
		d.firstWrittenAt = time.Now()
	}
}

// pastGrace reports whether the removal grace has passed, so that a removed backend must not receive requests any more.
// The grace begins when the removal counts as notified: once it was written, or notificationTimeout after it began.
func (d *listFormDiscovery) pastGrace() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	written := !d.firstWrittenAt.IsZero() && time.Since(d.firstWrittenAt) > d.form.removalDelay+removalGrace
	return written || !d.removedAt.IsZero() && time.Since(d.removedAt) > notificationTimeout+removalGrace
}

// handler returns the handler of one of discovery's addresses. servesRemoval is set for the address that is configured
// after the removal. An address that discovery has moved away from resets all calls after the removal, unless
// movedMidResponse is set: then it sends the form's responses, and the new address never responds.
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

// waitForChange holds a watch until the change, and reports whether it has come. It returns false if the call's timeout
// passes first, or if the process ends the call.
func waitForChange(r *http.Request, waitMs int, change <-chan struct{}) bool {
	select {
	case <-change:
		return true
	case <-time.After(time.Duration(waitMs) * time.Millisecond):
	case <-r.Context().Done():
	}
	return false
}

// respond answers a call that comes after the removal.
func (d *listFormDiscovery) respond(w http.ResponseWriter, r *http.Request, since, waitMs int) {
	d.mutex.Lock()
	allSent := d.responseCount >= len(d.form.responses)
	d.mutex.Unlock()
	if allSent && waitMs > 0 && !d.form.answersEachCall { // a watch, with no change until restored is closed
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
		// This fails only if the process closed the connection. It then calls again.
		_, _ = io.WriteString(conn, d.form.customHead+body)
		_ = conn.Close()
		d.recordWritten()
		return
	}
	for piece := range slices.Chunk([]byte(body), d.pieceSize(len(body))) {
		_, _ = w.Write(piece) // fails only if the process closed the connection; it calls again
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

// pieceSize returns the maximum size of the pieces in which a response of the given length is written.
func (d *listFormDiscovery) pieceSize(length int) int {
	if d.form.inPieces {
		return length/3 + 1
	}
	return length
}

// listFormRun is a running process with its discovery and with three backends, which respond throughout the test.
type listFormRun struct {
	discovery *listFormDiscovery
	arrivals  map[string]*atomic.Int32 // requests received, by backend UID
	pastGrace map[string]*atomic.Int32 // requests received after the removal grace, by backend UID
	process   *process
	address   string // for clients
}

// newListFormRun starts three backends, discovery, and a process, and waits until the process serves.
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

// serveDiscovery starts a server at a new address of discovery; servesRemoval is described at handler.
func (r *listFormRun) serveDiscovery(t *testing.T, servesRemoval bool) (address string) {
	t.Helper()
	server := httptest.NewServer(r.discovery.handler(servesRemoval))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// startRemoval has discovery report the removal. If discovery moves, it also writes the new address into the
// configuration and sends SIGHUP to the process.
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

// TestRemovedBackendsReceiveNoRequestsInAnyListForm guards against requests to removed or draining backends after the
// removal grace. Such requests would come about if a process rejected, misread or ignored a list because of its form:
// an empty or incomplete list, a lower revision, invalid or duplicate entries, or a list from another address of
// discovery.
func TestRemovedBackendsReceiveNoRequestsInAnyListForm(t *testing.T) {
	for _, form := range listForms {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			testListForm(t, form)
		})
	}
}

// testListForm sends requests before and after the removal and checks which backends receive them after the grace.
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
		t.Fatalf("%d requests answered before the removal, which was written at %v: %s", before, formRun.discovery.firstWrittenAt, formRun.process.output)
	}
	for uid, pastGrace := range formRun.pastGrace {
		if n := pastGrace.Load(); strings.Contains(form.removedUIDs, uid) && n > 0 {
			t.Errorf("backend %s: %d requests more than %v after its removal was written, of %d in all", uid, n, removalGrace, formRun.arrivals[uid].Load())
		} else if !strings.Contains(form.removedUIDs, uid) && n == 0 && !form.movedMidResponse {
			t.Errorf("backend %s is in service but received no requests after the removal", uid)
		}
	}
	if t.Failed() {
		t.Log(formRun.process.output)
	}
}

// TestProcessWithoutBackendsRejectsEarlyAndServesAgain checks a process whose backends are all removed or draining: it
// stays ready, rejects requests within half of their deadline instead of holding them until the deadline passes, and
// serves again as soon as backends are back.
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
			// awaitStatus sends requests until one has the wanted status or the timeout passes, and returns the time
			// taken.
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
				t.Fatal("the process does not serve")
			}
			formRun.discovery.startRemoval()
			awaitStatus(http.StatusServiceUnavailable, startupTimeout)
			for range 5 {
				if took := awaitStatus(http.StatusServiceUnavailable, 0); took > 750*time.Millisecond {
					t.Errorf("rejected after %v of a deadline of 1.5 s", took)
				}
			}
			if !awaitReady(formRun.address, time.Second) {
				t.Error("the process is not ready without backends")
			}
			close(formRun.discovery.restored)
			if took := awaitStatus(http.StatusOK, startupTimeout); took > recoveryTimeLimit {
				t.Errorf("served again only %v after backends were back", took)
			}
		})
	}
}
