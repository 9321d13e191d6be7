package protocol

import (
	"strings"
	"testing"
)

// A message can move to a larger buffer at any byte of it: what has been parsed then refers to the new buffer, and the
// rest is parsed there.
func TestMessageMovesToLargerBuffer(t *testing.T) {
	const input = "POST /once?obj=1 HTTP/1.1\r\nHost: h\r\nX-Empty:\r\nX-Trace-Id: 7f\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"5\r\nhello\r\n6;n=1\r\n world\r\n0\r\nT: 1\r\n\r\n"
	for at := 1; at < len(input); at++ {
		var m Message
		small := make([]byte, at)
		copy(small, input)
		size, complete, err := m.ParseRequest(small)
		if complete || err != nil {
			t.Fatalf("%d bytes: complete %v, %v", at, complete, err)
		}
		large := make([]byte, 2*len(input))
		copy(large, small[:size])
		m.Rebase(small, large)
		copy(small, strings.Repeat("!", len(small))) // the old buffer has another owner by now
		size += copy(large[size:], input[at:])
		size, complete, err = m.ParseRequest(large[:size])
		if !complete || err != nil {
			t.Fatalf("moved after %d bytes: complete %v, %v", at, complete, err)
		}
		text := string(m.Method) + " " + string(m.Target) + " " + string(m.Get("x-trace-id")) + " " + string(m.Body(large[:size]))
		if text != "POST /once?obj=1 7f hello world" || m.FirstDuplicate("host") != "" || string(m.Get("host")) != "h" {
			t.Errorf("moved after %d bytes: %q", at, text)
		}
	}
}
