package node

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// testClient is a client with one connection to a node.
type testClient struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

// dialNode connects a client to the node at an address. The connection is closed when the test ends.
func dialNode(t *testing.T, addr string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second)) // longer than any test waits
	return &testClient{t, conn, bufio.NewReader(conn)}
}

// lastTraceID numbers the trace IDs, so that each request has one of its own.
var lastTraceID atomic.Int64

// requestText returns a small request of a class, with a timeout in milliseconds.
func requestText(class string, timeoutMillis int) string {
	body, key := "", ""
	method := "GET"
	if class != "read" {
		method, body = "POST", "Content-Length: 2\r\n\r\nhi"
	}
	if class == "keyed" {
		key = "Idempotency-Key: k1\r\n"
	}
	return fmt.Sprintf("%s /%s?obj=1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: id%d\r\nX-Qos: %s\r\nX-Customer: t\r\nX-Expires-In-Ms: %d\r\n%s%s",
		method, class, lastTraceID.Add(1), class, timeoutMillis, key, map[bool]string{true: "\r\n", false: body}[body == ""])
}

// readAnswer reads one answer. closing reports whether the answer announces the close of the connection.
func (c *testClient) readAnswer() (code int, body string, closing bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = resp.Body.Close() // read to its end
	return resp.StatusCode, string(content), resp.Close
}

// exchange sends a request and reads its answer, as readAnswer does.
func (c *testClient) exchange(request string) (int, string, bool) {
	c.t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		c.t.Fatal(err)
	}
	return c.readAnswer()
}

// readyRequest asks the node whether it is ready, which no backend is needed for.
const readyRequest = "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"

// dialWithSmallBuffer connects a client with a small receive buffer, so that answers are accepted only as it reads.
func dialWithSmallBuffer(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn.(*net.TCPConn)
}

// postRequest returns the head of a request with a body, with the given framing field and other fields, each of which
// ends with a line break. The class of the request is not idempotent.
func postRequest(framingField string, otherFields ...string) string {
	return fmt.Sprintf("POST /once HTTP/1.1\r\nHost: h\r\nX-Trace-Id: id%d\r\nX-Customer: t\r\nX-Expires-In-Ms: 9000\r\n%s\r\n%s\r\n",
		lastTraceID.Add(1), framingField, strings.Join(otherFields, ""))
}

// chunkedBody returns a body in chunked framing, in chunks of a size. Each chunk has an extension, and a trailer
// follows.
func chunkedBody(body []byte, size int) []byte {
	var out []byte
	for len(body) > 0 {
		length := min(size, len(body))
		out = append(append(fmt.Appendf(out, "%x;n=1\r\n", length), body[:length]...), "\r\n"...)
		body = body[length:]
	}
	return append(out, "0\r\nT: 1\r\n\r\n"...)
}

// randomBody returns a pseudo-random body of a length, which is the same for the same seed.
func randomBody(seed uint64, length int) []byte {
	body := make([]byte, length)
	source := rand.New(rand.NewPCG(seed, 1))
	for i := 0; i+8 <= length; i += 8 {
		v := source.Uint64()
		for k := range 8 {
			body[i+k] = byte(v >> (8 * k))
		}
	}
	return body
}
