package node

import (
	"fmt"
	"testing"

	"tulipglade/internal/protocol"
)

// A valid size hint is passed to the balancer. A request with an invalid one is served as if it had none.
func TestSizeHint(t *testing.T) {
	backend := newTestBackend(t, serve)
	n, addr := startNode(t, []protocol.Target{targetOf("a", backend)}, nil)
	module := recordModule(n)
	conn := dialNode(t, addr)
	for text, want := range map[string]int64{"X-Size-Hint: 48211\r\n": 48211, "": 0, "X-Size-Hint: 0\r\n": 0, "X-Size-Hint: -5\r\n": 0,
		"X-Size-Hint: much\r\n": 0, "X-Size-Hint: 1e9\r\n": 0, "X-Size-Hint: 99999999999999999999\r\n": 0} {
		code, _, _ := conn.exchange(requestWithField(text))
		if got := receiveNext(t, module.requests); code != 200 || got.CostHint != want {
			t.Errorf("%q: answer %d, hint %d, want %d", text, code, got.CostHint, want)
		}
	}
}

// hintedRequestCount numbers the trace IDs of requestWithField.
var hintedRequestCount int

// requestWithField returns a request of class read with one more header field.
func requestWithField(field string) string {
	hintedRequestCount++
	return fmt.Sprintf("GET /read HTTP/1.1\r\nHost: x\r\nX-Trace-Id: hint%d\r\nX-Customer: t\r\n%s\r\n", hintedRequestCount, field)
}
