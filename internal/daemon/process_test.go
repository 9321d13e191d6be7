package daemon

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"
)

// testTimeout bounds the wait for an event that must occur.
const testTimeout = 10 * time.Second

// noEnvironment is a getenv function of an empty environment.
func noEnvironment(string) string { return "" }

func parseConfig(t *testing.T, text string) *Config {
	t.Helper()
	config, err := Parse([]byte(text), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// respond writes the body of a response. It ignores errors, as the client may have disconnected.
func respond(w http.ResponseWriter, body string) { _, _ = io.WriteString(w, body) }

// logLines collects the lines of a log. It drops lines when its channel is full.
type logLines chan string

func (l logLines) Write(p []byte) (int, error) {
	select {
	case l <- string(p):
	default:
	}
	return len(p), nil
}

func (l logLines) logger() *slog.Logger { return slog.New(slog.NewTextHandler(l, nil)) }

// await returns the next line that contains phrase. It skips the lines before it.
func (l logLines) await(t *testing.T, phrase string) string {
	t.Helper()
	for timeout := time.After(testTimeout); ; {
		select {
		case line := <-l:
			if strings.Contains(line, phrase) {
				return line
			}
		case <-timeout:
			t.Fatalf("no log line contains %q", phrase)
		}
	}
}

// logField returns the value of the named attribute in a log line.
func logField(line, name string) string {
	_, after, _ := strings.Cut(line, name+"=")
	value, _, _ := strings.Cut(after, " ")
	return value
}

// testProcess is a node that runs within the test process. Canceling its context stands for a signal to stop.
type testProcess struct {
	cancel func()
	ended  chan error
	log    logLines
}

// startTestProcess starts a node with the configuration text, and returns once it serves.
func startTestProcess(t *testing.T, text string) (p *testProcess, clientAddress, adminAddress string) {
	t.Helper()
	config := parseConfig(t, text)
	ctx, cancel := context.WithCancel(context.Background())
	p = &testProcess{cancel: cancel, ended: make(chan error, 1), log: make(logLines, 200)}
	go func() { p.ended <- Serve(ctx, config, nil, nil, p.log.logger()) }()
	line := p.log.await(t, "msg=serving")
	return p, logField(line, "listen"), logField(line, "operator")
}

// stop stops the node and waits until it has stopped.
func (p *testProcess) stop(t *testing.T) {
	t.Helper()
	p.cancel()
	if err := <-p.ended; err != nil {
		t.Error(err)
	}
}

// send sends a request of the tenant named t with the given trace ID, and returns the status of the response.
func send(client http.RoundTripper, method, url, requestID string) (status int, err error) {
	request, err := http.NewRequest(method, url, http.NoBody)
	if err != nil {
		return 0, err
	}
	request.Header = http.Header{"X-Trace-Id": {requestID}, "X-Customer": {"t"}}
	return roundTrip(client, request)
}

// roundTrip sends a request and returns the status of the response once its body has been read.
func roundTrip(client http.RoundTripper, request *http.Request) (status int, err error) {
	response, err := client.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
