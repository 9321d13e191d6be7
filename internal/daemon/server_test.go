package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
)

// A node serves a request and calls to its admin address, and stops listening after SIGTERM. A listen address that is
// in use is an error.
func TestServeUntilSIGTERM(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { respond(w, "served") }))
	defer backend.Close()
	config := parseConfig(t, strings.NewReplacer("127.0.0.1:1\"", backend.Listener.Addr().String()+"\"",
		"600000", "60000000", "1500000", "60000000").Replace(validConfig)) // long deadlines, as the machine may be busy
	config.Admin = "127.0.0.1:0"
	log, ended := make(logLines, 100), make(chan error, 1)
	go func() { ended <- Serve(context.Background(), config, nil, nil, log.logger()) }()
	line := log.await(t, "msg=serving")
	address := logField(line, "listen")
	clients, admin := "http://"+address, "http://"+logField(line, "operator")
	status, err := send(http.DefaultTransport, http.MethodGet, clients+"/read", "1")
	if err != nil || status != http.StatusOK {
		t.Fatal(status, err)
	}
	for _, call := range []struct {
		method, url string
		want        int
	}{
		{http.MethodGet, admin + "/status", http.StatusOK},
		{http.MethodPut, admin + "/standby", http.StatusOK},
		{http.MethodGet, clients + "/ready", http.StatusServiceUnavailable},
		{http.MethodPut, admin + "/active", http.StatusOK},
		{http.MethodGet, clients + "/ready", http.StatusOK},
	} {
		request, err := http.NewRequest(call.method, call.url, nil)
		if err != nil {
			t.Fatal(err)
		}
		if status, err := roundTrip(http.DefaultTransport, request); err != nil || status != call.want {
			t.Errorf("%s %s: %d %v, want %d", call.method, call.url, status, err, call.want)
		}
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", address); err == nil {
		t.Error("the address accepts connections after the shutdown")
	}
	inUse, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inUse.Close() }()
	config.Listen, config.Admin = inUse.Addr().String(), ""
	err = Serve(context.Background(), config, nil, nil, slog.New(slog.DiscardHandler))
	if err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("an address in use: %v", err)
	}
}
