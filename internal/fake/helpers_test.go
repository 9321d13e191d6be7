package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/simulation/scenario"
)

// smallScenario is a scenario of four backends at two sites.
const smallScenario = `
seconds = 60.0
[fleet]
boxes = 4
sites = ["east", "west"]
[fleet.affinity]
gain = 0.0
[nodes]
count = 2
front_notices_ms = 100.0
[discovery]
notice_ms = [0.0, 0.0]
calls_per_s = 10000.0
[[fleet.kind]]
name = "fast"
share = 1.0
cores = 4
speed = [1.0, 1.0]
slots_per_core = 2.0
queue_per_core = 4.0
cold_from = [0.5, 0.5]
cold_ms = [100, 100]
drop_keyed = true
[[class]]
name = "read"
share = 1.0
work_ms = 1.0
dist = "constant"
aim_ms = 500.0
deadline_ms = 2000.0
worth = 1.0
effect = "repeatable"
[[class]]
name = "start"
share = 1.0
work_ms = 1.0
dist = "constant"
aim_ms = 500.0
deadline_ms = 2000.0
worth = 1.0
effect = "once"
[[class]]
name = "settle"
share = 1.0
work_ms = 20.0
dist = "constant"
aim_ms = 500.0
deadline_ms = 2000.0
worth = 1.0
effect = "by_key"
scope = "rack"
window_ms = 5000.0
`

func parseSmallScenario(t *testing.T) *scenario.Scenario {
	t.Helper()
	config, err := scenario.Parse("small", []byte(smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// startCluster runs the small scenario until the end of the test, and checks that closing it leaves no goroutine
// behind.
func startCluster(t *testing.T, opts Options) *Cluster {
	t.Helper()
	ignoreEarlier := goleak.IgnoreCurrent()
	cl, err := Start(t.Context(), parseSmallScenario(t), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := cl.Close(); err != nil {
			t.Error(err)
		}
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t, ignoreEarlier)
	})
	return cl
}

func (cl *Cluster) backendAddr(addressIndex, node int) string {
	return cl.backends[addressIndex][node].addr
}

// client is one connection to a backend.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dialBackend(t *testing.T, addr string) *client {
	t.Helper()
	conn, err := net.DialTimeout("tcp4", addr, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(conn) })
	return &client{t, conn, bufio.NewReader(conn)}
}

func (c *client) sendRequest(path, id, headers string) {
	c.t.Helper()
	_, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\n%s\r\n", path, id, headers)
	if err != nil {
		c.t.Fatal(err)
	}
}

// response holds the status and header of a response whose body has been read.
type response struct {
	status int
	header http.Header
}

func (c *client) readResponse(within time.Duration) (response, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(within)) // the read reports a closed connection
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{}, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close() // the body has been read to its end
	return response{r.StatusCode, r.Header}, err
}

func (c *client) wantStatus(status int) response {
	c.t.Helper()
	r, err := c.readResponse(10 * time.Second)
	if err != nil {
		c.t.Fatal(err)
	}
	if r.status != status {
		c.t.Fatalf("status %d, want %d", r.status, status)
	}
	return r
}

func injectFault(t *testing.T, cl *Cluster, fault faultinject.Fault) int {
	t.Helper()
	id, _, err := cl.Inject(fault)
	if err != nil {
		t.Fatal(err)
	}
	return id
}
