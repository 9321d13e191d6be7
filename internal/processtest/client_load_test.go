package processtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const loadClients = 6

// clientLoad runs clients that send requests through the frontends until they are stopped, and counts the outcomes.
type clientLoad struct {
	sent, truncated, rejected, failedToConnect atomic.Int64

	cancel  context.CancelFunc
	running sync.WaitGroup
}

func (f *rolloutFleet) startClients(ctx context.Context) *clientLoad {
	load := &clientLoad{}
	ctx, load.cancel = context.WithCancel(ctx)
	for i := range loadClients {
		url := "http://" + f.cluster.Frontend(i%fleetSites) + "/" + f.scenario.Classes[0].Name
		load.running.Go(func() {
			transport := &http.Transport{MaxConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			for ctx.Err() == nil {
				load.send(transport, f.newRequest(url, load.sent.Add(1)))
			}
		})
	}
	return load
}

func (f *rolloutFleet) newRequest(url string, number int64) *http.Request {
	request, _ := http.NewRequest(http.MethodGet, url, http.NoBody) // the URL is valid
	request.Header = http.Header{
		"X-Trace-Id":      {fmt.Sprint("r", number)},
		"X-Qos":           {f.scenario.Classes[0].Name},
		"X-Customer":      {f.scenario.Tenants[0].Name},
		"X-Expires-In-Ms": {"4000"},
	}
	return request
}

// send sends a request and counts its outcome. After a response it pauses.
func (l *clientLoad) send(transport *http.Transport, request *http.Request) {
	response, err := transport.RoundTrip(request)
	if err != nil { // the connection failed, or was closed before any response
		l.failedToConnect.Add(1)
		return
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		l.truncated.Add(1)
	} else if response.StatusCode != http.StatusOK {
		l.rejected.Add(1)
	}
	_ = response.Body.Close() // all of it was read
	time.Sleep(5 * time.Millisecond)
}

// stop stops the clients and waits for their last responses.
func (l *clientLoad) stop() {
	l.cancel()
	l.running.Wait()
}

func (l *clientLoad) String() string {
	return fmt.Sprintf("%d requests: %d truncated, %d rejected, %d without a connection",
		l.sent.Load(), l.truncated.Load(), l.rejected.Load(), l.failedToConnect.Load())
}

// checkAllServed checks that every request that reached a node was served, and that at least fewest requests were sent.
func (l *clientLoad) checkAllServed(t *testing.T, fewest int64) {
	t.Helper()
	if l.truncated.Load() > 0 || l.rejected.Load() > 0 || l.sent.Load() < fewest {
		t.Error(l)
	}
}
