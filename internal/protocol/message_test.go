package protocol

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// parsed is the part of a parsed message that the tests compare.
type parsed struct {
	StartLine, Body, Rest string
	Fields                int
	KeepAlive             bool
}

// readInPieces parses input with next while it arrives in pieces of the given size, as from a connection. It returns
// the parsed message and whether it is complete.
func readInPieces(input string, pieceSize int, next func(*Message, []byte) (int, bool, error)) (parsed, bool, error) {
	var m Message
	var buf []byte
	for len(input) > 0 {
		k := min(pieceSize, len(input))
		buf = append(buf, input[:k]...)
		input = input[k:]
		n, complete, err := next(&m, buf)
		if err != nil {
			return parsed{}, false, err
		}
		if buf = buf[:n]; complete {
			startLine := string(m.Method) + " " + string(m.Target)
			if m.Status > 0 {
				startLine = reasonPhrase(m.Status)
			}
			return parsed{startLine, string(m.Body(buf)), string(m.Rest(buf)) + input, len(m.Fields), m.KeepAlive}, true, nil
		}
	}
	return parsed{}, false, nil
}

type messageCase struct {
	name, input string
	want        parsed
	complete    bool
	err         error
}

func checkMessages(t *testing.T, cases []messageCase, next func(*Message, []byte) (int, bool, error)) {
	t.Helper()
	for _, c := range cases {
		for _, pieceSize := range []int{1, 3, 1 << 20} { // the result must not depend on where the input is split
			got, complete, err := readInPieces(c.input, pieceSize, next)
			if diff := cmp.Diff(c.want, got); diff != "" || complete != c.complete || !errors.Is(err, c.err) {
				t.Errorf("%s, %d bytes at a time: complete %v, %v, want %v, %v\n%s", c.name, pieceSize, complete, err, c.complete, c.err, diff)
			}
		}
	}
}

func TestRequestParsing(t *testing.T) {
	const post = "POST /a?b=c HTTP/1.1\r\nHost: x\r\n"
	checkMessages(t, []messageCase{
		{"no body", "GET /a?obj=1 HTTP/1.1\r\nHost: x\r\n\r\n", parsed{"GET /a?obj=1", "", "", 1, true}, true, nil},
		{"empty lines before", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", parsed{"GET /", "", "", 0, true}, true, nil},
		{"body", post + "Content-Length: 3\r\n\r\nabc", parsed{"POST /a?b=c", "abc", "", 2, true}, true, nil},
		{"the next behind it", post + "Content-Length: 1\r\n\r\naGET", parsed{"POST /a?b=c", "a", "GET", 2, true}, true, nil},
		{"the same length twice", post + "Content-Length: 1\r\ncontent-length: 1\r\n\r\na", parsed{"POST /a?b=c", "a", "", 3, true}, true, nil},
		{"chunks", post + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0A\r\n0123456789\r\n0\r\nT: 1\r\n\r\nrest",
			parsed{"POST /a?b=c", "ab0123456789", "rest", 2, true}, true, nil},
		{"close", "GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n", parsed{"GET /", "", "", 1, false}, true, nil},
		{"version 1.0", "GET / HTTP/1.0\r\n\r\n", parsed{"GET /", "", "", 0, false}, true, nil},
		{"version 1.0 kept", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", parsed{"GET /", "", "", 1, true}, true, nil},
		{"not all there", post + "Content-Length: 3\r\n\r\nab", parsed{}, false, nil},
		{"no target", "GET HTTP/1.1\r\n\r\n", parsed{}, false, ErrMalformed},
		{"relative target", "GET a HTTP/1.1\r\n\r\n", parsed{}, false, ErrMalformed},
		{"other version", "GET / HTTP/2.0\r\n\r\n", parsed{}, false, ErrMalformed},
		{"bad method", "G@T / HTTP/1.1\r\n\r\n", parsed{}, false, ErrMalformed},
		{"folded line", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", parsed{}, false, ErrMalformed},
		{"space before colon", "GET / HTTP/1.1\r\nA : b\r\n\r\n", parsed{}, false, ErrMalformed},
		{"bare line feeds", "GET / HTTP/1.1\nHost: x\n\n", parsed{}, false, ErrMalformed},
		{"bare CR in value", "GET / HTTP/1.1\r\nA: b\rC: d\r\n\r\n", parsed{}, false, ErrMalformed},
		{"line feed in value", "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", parsed{}, false, ErrMalformed},
		{"two lengths", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", parsed{}, false, ErrMalformed},
		{"length and chunks", post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", parsed{}, false, ErrMalformed},
		{"signed length", post + "Content-Length: +1\r\n\r\na", parsed{}, false, ErrMalformed},
		{"negative length", post + "Content-Length: -1\r\n\r\na", parsed{}, false, ErrMalformed},
		{"empty length", post + "Content-Length:\r\n\r\na", parsed{}, false, ErrMalformed},
		{"other encoding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n", parsed{}, false, ErrUnsupported},
		{"other expectation", post + "Expect: tea\r\n\r\n", parsed{}, false, ErrUnsupported},
		{"bad chunk size", post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", parsed{}, false, ErrMalformed},
		{"chunk longer than said", post + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", parsed{}, false, ErrMalformed},
		{"large chunk", post + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", parsed{}, false, ErrBodyTooLarge},
		{"endless chunk line", post + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 300), parsed{}, false, ErrMalformed},
		{"large body", post + "Content-Length: 50331649\r\n\r\n", parsed{}, false, ErrBodyTooLarge},
		{"large head", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", MaxHead), parsed{}, false, ErrHeadTooLarge},
		{"many fields", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", maxFields+1) + "\r\n", parsed{}, false, ErrHeadTooLarge},
	}, (*Message).ParseRequest)
}

func TestResponseParsing(t *testing.T) {
	checkMessages(t, []messageCase{
		{"body", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", parsed{"OK", "ab", "", 1, true}, true, nil},
		{"no reason", "HTTP/1.1 503\r\nContent-Length: 0\r\n\r\n", parsed{"Service Unavailable", "", "", 1, true}, true, nil},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", parsed{"OK", "a", "", 1, true}, true, nil},
		{"continue before",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", parsed{"OK", "a", "", 1, true}, true, nil},
		{"never a body", "HTTP/1.1 204 No Content\r\n\r\nrest", parsed{"Answer", "", "rest", 0, true}, true, nil},
		{"until the end", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab", parsed{}, false, nil},
		{"eight heads before", strings.Repeat("HTTP/1.1 102 P\r\n\r\n", maxInterimResponses) + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
			parsed{"OK", "a", "", 1, true}, true, nil},
		{"endless heads before", strings.Repeat("HTTP/1.1 100 C\r\n\r\n", maxInterimResponses+1), parsed{}, false, ErrMalformed},
		{"control characters without an end", "\x00\x01\x02", parsed{}, false, ErrMalformed},
		{"first line that is none", "what?\r\n", parsed{}, false, ErrMalformed},
		{"field that is none, and no end", "HTTP/1.1 200 OK\r\nwhat?\r\n", parsed{}, false, ErrMalformed},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", parsed{}, false, ErrMalformed},
		{"length of 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n", parsed{}, false, ErrMalformed},
		{"cut short", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", parsed{}, false, nil},
		{"upgrade", "HTTP/1.1 101 Switching\r\n\r\n", parsed{}, false, ErrUnsupported},
		{"bad status", "HTTP/1.1 2000 OK\r\n\r\n", parsed{}, false, ErrMalformed},
		{"not HTTP", "SSH-2.0-x\r\n\r\n", parsed{}, false, ErrMalformed},
		{"large body", "HTTP/1.1 200 OK\r\nContent-Length: 50331649\r\n\r\n", parsed{}, false, ErrBodyTooLarge},
	}, (*Message).ParseResponse)
}

func TestAppendedHeads(t *testing.T) {
	var m Message
	in := "POST /ride-start?obj=7 HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: 9b1f\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n" +
		"X-Expires-In-Ms: 900\r\nIdempotency-Key: 5c\r\nContent-Length: 2\r\n\r\nhi"
	if _, complete, err := m.ParseRequest([]byte(in)); !complete || err != nil {
		t.Fatal(complete, err)
	}
	for _, c := range []struct{ name, got, want string }{
		{"request", string(AppendRequest(nil, &m.Head, 2, 480)), "POST /ride-start?obj=7 HTTP/1.1\r\nHost: app.svc\r\n" +
			"X-Trace-Id: 9b1f\r\nIdempotency-Key: 5c\r\nX-Expires-In-Ms: 480\r\nContent-Length: 2\r\n\r\n"},
		{"answer", string(AppendResponse(nil, 200, []Field{{[]byte("Content-Type"), []byte("a/b")}, {[]byte("Endpoint-Load-Metrics"), nil}},
			3, true, 0)), "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 3\r\n\r\n"},
		{"rejection", string(AppendResponse(nil, 503, nil, 0, false, 250000)),
			"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.250\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
	} {
		if diff := cmp.Diff(c.want, c.got); diff != "" {
			t.Errorf("%s:\n%s", c.name, diff)
		}
	}
}

// No input may crash the parser, and the result must not depend on the sizes of the pieces in which the input arrives.
func FuzzMessages(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"), 3)
	f.Add([]byte("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"), 1)
	f.Fuzz(func(t *testing.T, in []byte, pieceSize int) {
		for _, next := range []func(*Message, []byte) (int, bool, error){(*Message).ParseRequest, (*Message).ParseResponse} {
			atOnce, inPieces := 0, 0
			if got, ok, _ := readInPieces(string(in), len(in)+1, next); ok {
				atOnce = len(got.Body) + 1
			}
			if got, ok, _ := readInPieces(string(in), max(1, pieceSize%64), next); ok {
				inPieces = len(got.Body) + 1
			}
			if atOnce != inPieces {
				t.Fatalf("at once %d, in pieces %d", atOnce, inPieces)
			}
		}
	})
}

// A message of any framing must have the same body whether it is read whole, or in pieces of any size through a buffer
// far smaller than the message, from which the body is consumed piece by piece.
func TestMessageInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "body")
		wire := []byte("HTTP/1.1 200 OK\r\nA: b\r\n")
		framing := rapid.IntRange(0, 2).Draw(t, "framing")
		switch framing {
		case 0:
			wire = append(fmt.Appendf(wire, "Content-Length: %d\r\n\r\n", len(body)), body...)
		case 1:
			wire = append(wire, "Transfer-Encoding: chunked\r\n\r\n"...)
			for rest := body; len(rest) > 0; {
				k := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
				wire = fmt.Appendf(wire, "%0*x%s\r\n", rapid.IntRange(1, 12).Draw(t, "digits"), k,
					rapid.SampledFrom([]string{"", ";a=b", " ;x"}).Draw(t, "extension"))
				wire = append(append(wire, rest[:k]...), "\r\n"...)
				rest = rest[k:]
			}
			wire = append(wire, rapid.SampledFrom([]string{"0\r\n\r\n", "00;z\r\nT: 1\r\nU: 2\r\n\r\n"}).Draw(t, "end")...)
		case 2:
			wire = append(append(wire, "\r\n"...), body...)
		}
		behind := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "behind")
		if framing == 2 {
			behind = nil
		}
		in := append(wire, behind...)
		var (
			m    Message
			buf  = make([]byte, 0, 600) // large enough for the longest line of the framing
			got  []byte
			next = m.ParseResponse
		)
		for len(in) > 0 {
			k := min(rapid.IntRange(1, 200).Draw(t, "piece"), cap(buf)-len(buf), len(in))
			buf = append(buf, in[:k]...)
			in = in[k:]
			n, complete, err := next(buf)
			if err != nil {
				t.Fatal(err)
			}
			if buf = buf[:n]; !m.InBody() && !complete {
				continue
			}
			next = m.ParseBody
			got = append(got, m.Body(buf)...)
			buf = buf[:m.ConsumeBody(buf)]
			if complete {
				if rest := string(buf) + string(in); rest != string(behind) {
					t.Fatalf("behind the message: %q, want %q", rest, behind)
				}
				in = nil
			}
		}
		if m.EndsWithConnection() {
			m.Finish()
		}
		if string(got) != string(body) || m.InBody() {
			t.Fatalf("%d bytes of %d, complete %v", len(got), len(body), !m.InBody())
		}
	})
}

// A body that never ends must be rejected at the limit across pieces, with chunked framing as well as without a length.
// Also checked: a target in absolute form, and a response to HEAD, whose length announces no body.
func TestBodyLimitHoldsAcrossPieces(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"} {
		m := Message{MaxBody: 1000}
		buf := []byte(head)
		next := m.ParseResponse
		var err error
		for round := 0; err == nil; round++ {
			var n int
			n, _, err = next(append(buf, "64\r\n"+strings.Repeat("x", 100)+"\r\n"...))
			if round > 12 {
				t.Fatal("no error after more than 12 pieces, want ErrBodyTooLarge")
			}
			if err == nil {
				next = m.ParseBody
				full := make([]byte, n)
				buf = full[:m.ConsumeBody(full)]
			}
		}
		if !errors.Is(err, ErrBodyTooLarge) {
			t.Error(err)
		}
	}
	var m Message
	_, complete, err := m.ParseRequest([]byte("GET http://h:80/a?b HTTP/1.1\r\n\r\n"))
	if !complete || err != nil || string(m.Target) != "/a?b" || string(m.Path()) != "/a" {
		t.Error(complete, err, string(m.Target))
	}
	m = Message{NoBody: true}
	if _, complete, err := m.ParseResponse([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")); !complete || err != nil || m.ContentLength() != 9 {
		t.Error(complete, err, m.ContentLength())
	}
}
