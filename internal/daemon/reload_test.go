package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
)

// startRecordingDiscovery starts a discovery service that sends its name, followed by the URI of the call, to calls for
// each call. It answers calls with a wait of 0, and does not answer others.
func startRecordingDiscovery(t *testing.T, name string, calls chan<- string) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- name + r.RequestURI
		if strings.HasSuffix(r.RequestURI, "timeout_ms=0") { // a starting node forwards no request before this answer
			respond(w, `{"rev":41,"all":false,"targets":[]}`)
			return
		}
		<-r.Context().Done()
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

// startBlockingBackend starts a backend that signals each request on arrived, and answers it once release is closed.
func startBlockingBackend(t *testing.T, arrived chan<- struct{}, release <-chan struct{}) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		respond(w, "served")
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Several reloads in a row by SIGHUP: a valid file changes the address of discovery. For an invalid file, the log names
// the invalid field, and the running configuration stays in force. For a field that only a restart can change, the log
// names the field. The endpoint list in the file is ignored. The node keeps serving, and a request that is in flight is
// answered.
func TestReloadOnSIGHUP(t *testing.T) {
	calls := make(chan string, 100)
	first := startRecordingDiscovery(t, "first", calls)
	second := startRecordingDiscovery(t, "second", calls)
	arrived, release := make(chan struct{}), make(chan struct{})
	backendAddress := startBlockingBackend(t, arrived, release)
	text := strings.NewReplacer("127.0.0.1:1\"", backendAddress+"\"", "127.0.0.1:8500",
		first.Listener.Addr().String(), "600000", "60000000", "1500000", "60000000").Replace(validConfig)
	config := parseConfig(t, text)
	files := make(chan string, 3)
	log, ended, reloads := make(logLines, 100), make(chan error, 1), NotifyReload()
	ctx, stop := context.WithCancel(context.Background())
	load := func() (*Config, error) { return Parse([]byte(<-files), noEnvironment) }
	go func() { ended <- Serve(ctx, config, load, reloads, log.logger()) }()
	address := logField(log.await(t, "msg=serving"), "listen")
	if got := <-calls; got != "first/v1/endpoints?since=41&timeout_ms=0" {
		t.Error(got)
	}
	answered := make(chan int, 1)
	go func() {
		status, _ := send(http.DefaultTransport, http.MethodGet, "http://"+address+"/read", "1") // 0 on error
		answered <- status
	}()
	<-arrived
	moved := strings.Replace(text, first.Listener.Addr().String(), second.Listener.Addr().String(), 1)
	withoutEndpoints := moved[:strings.Index(moved, `{"uid"`)] + moved[strings.Index(moved, `]},`):]
	for _, step := range []struct{ file, phrase string }{
		{strings.Replace(text, `"cores":1`, `"cores":-1`, 1), "limits.cores"},
		{strings.Replace(withoutEndpoints, `"n3"`, `"n4"`, 1), "fields=name\n"},
		{strings.Replace(withoutEndpoints, `"max_attempts":6`, `"max_attempts":2`, 1), "settings applied"},
		{"", "configuration: empty"},
		{withoutEndpoints, "configuration reloaded"},
	} {
		files <- step.file
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		log.await(t, step.phrase)
	}
	got := <-calls
	for strings.HasPrefix(got, "first/v1/endpoints?since=41&timeout_ms=") { // watch calls before the reload
		got = <-calls
	}
	if got != "second/v1/endpoints" {
		t.Error(got)
	}
	close(release)
	if status := <-answered; status != http.StatusOK {
		t.Errorf("the request in flight: status %d", status)
	}
	stop()
	log.await(t, "msg=draining")
	files <- text // a reload during the shutdown must be safe
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	log.await(t, "configuration reloaded")
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
