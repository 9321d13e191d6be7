package fake

import (
	"fmt"
	"io"
	"testing"
)

func TestBackendsAnswerAndCountExecutions(t *testing.T) {
	cl := startCluster(t, Options{})
	conn := dialBackend(t, cl.backendAddr(0, 0))
	for i := range 3 {
		conn.sendRequest("/read?obj=7", fmt.Sprint("r", i), "")
		conn.wantStatus(200)
	}
	conn.sendRequest("/start", "s", "")
	conn.wantStatus(200)
	if n := cl.Executions("s"); n != 1 {
		t.Errorf("ran %d times", n)
	}
	conn.sendRequest("/start", "s", "") // a non-idempotent request that the node wrongly retries
	conn.wantStatus(200)
	report := cl.Report()
	if n := cl.Executions("s"); n != 2 || report.DuplicateRuns != 1 || report.Executions != 5 || report.Arrived != 5 ||
		report.Backends[0].Ran != 5 || report.Connections != 1 {
		t.Errorf("ran %d times, %+v", n, report)
	}
	// Backends of one rack share idempotency keys: the second request is answered from the execution of the first.
	first, second := dialBackend(t, cl.backendAddr(0, 0)), dialBackend(t, cl.backendAddr(2, 0))
	first.sendRequest("/settle", "k1", "Idempotency-Key: one\r\n")
	second.sendRequest("/settle", "k2", "Idempotency-Key: one\r\n")
	first.wantStatus(200)
	second.wantStatus(200)
	if report := cl.Report(); report.Executions != 6 {
		t.Errorf("%d executions, want one for both", report.Executions-5)
	}
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	cl := startCluster(t, Options{})
	for text, status := range map[string]int{
		"nonsense\r\n\r\n":                                           400,
		"GET /read HTTP/1.1\r\nHost: x\r\n\r\n":                      404, // no trace ID
		"GET /other HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\n\r\n":    400,
		"GET /read?%zz HTTP/1.1\r\nHost: x\r\nX-Trace-Id:\r\n\r\n":   404,
		"GET read HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\nA\r\n\r\n": 400,
	} {
		conn := dialBackend(t, cl.backendAddr(0, 0))
		if _, err := io.WriteString(conn.conn, text); err != nil {
			t.Fatal(err)
		}
		conn.wantStatus(status)
		if _, err := conn.reader.ReadByte(); err == nil {
			t.Errorf("%q: the connection stays open", text)
		}
	}
	if report := cl.Report(); report.Arrived != 0 || report.Unreadable != 5 {
		t.Errorf("%+v", report)
	}
}
