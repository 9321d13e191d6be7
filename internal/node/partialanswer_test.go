package node

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"tulipglade/internal/protocol"
)

// maxPartialAnswerHold is how long a node may hold back what has arrived of an answer (less room: holding the rest back
// for 2 s loses the request).
const maxPartialAnswerHold = 2 * time.Second

// unknownLengthFramings are the framings of an answer that state no length. first and rest frame its two parts.
var unknownLengthFramings = []struct {
	name, field string
	first, rest func(part string) string
}{
	{"chunks", "Transfer-Encoding: chunked", chunkText, func(part string) string { return chunkText(part) + lastChunkText }},
	{"until close", "Connection: close", identityText, identityText},
}

const lastChunkText = "0\r\n\r\n"

func chunkText(part string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(part), part) }

func identityText(part string) string { return part }

// What has arrived of an answer without a stated length is forwarded in time, however little it is, and the rest later.
// Guards against a failure in which 64 KiB or less were held until the request was failed, although it had run and its
// backend gave the rest of a long answer.
func TestPartialAnswerOfUnknownLengthIsForwarded(t *testing.T) {
	const firstSize = 32 << 10
	body := string(randomBody(1, 300_000))
	for _, objective := range []time.Duration{400 * time.Millisecond, 9 * time.Second} {
		for _, framing := range unknownLengthFramings {
			t.Run(fmt.Sprint(framing.name, ", objective ", objective), func(t *testing.T) {
				backend := newManualBackend(t, 0)
				n, addr := startNode(t, backend.targets(), func(s *Settings) {
					s.Balancer.Classes[1].LatencyObjective = objective.Microseconds()
				})
				client := dialNode(t, addr)
				_, _ = io.WriteString(client, requestText("once", 9000))
				conn, _ := backend.acceptRequest()
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", framing.field, framing.first(body[:firstSize]))
				writtenAt := time.Now()
				answer, err := http.ReadResponse(client.reader, nil)
				if err != nil || answer.StatusCode != http.StatusOK {
					t.Fatal(answer, err)
				}
				defer func() { _ = answer.Body.Close() }() // read to its end
				first := make([]byte, firstSize)
				if _, err := io.ReadFull(answer.Body, first); err != nil || time.Since(writtenAt) >= maxPartialAnswerHold {
					t.Fatalf("the first part after %v: %v", time.Since(writtenAt), err)
				}
				_, _ = io.WriteString(conn, framing.rest(body[firstSize:]))
				_ = conn.Close()
				if rest, err := io.ReadAll(answer.Body); err != nil || string(first)+string(rest) != body {
					t.Errorf("%d bytes of %d, %v", len(first)+len(rest), len(body), err)
				}
				waitUntil(n, func() bool { return len(n.requests) == 0 && n.activeForwarders == 0 })
			})
		}
	}
}

// An answer without a stated length that never ends is ended by the node within half a second after the deadline of its
// request, in a way that shows that it is incomplete. Guards against clients that are kept waiting by a spoilt answer.
func TestPartialAnswerWithoutEndIsCutOffAfterDeadline(t *testing.T) {
	const timeout = 700 * time.Millisecond
	for _, framing := range unknownLengthFramings {
		t.Run(framing.name, func(t *testing.T) {
			backend := newManualBackend(t, 0)
			n, addr := startNode(t, backend.targets(), nil)
			client := dialNode(t, addr)
			sentAt := time.Now()
			_, _ = io.WriteString(client, requestText("once", int(timeout.Milliseconds())))
			conn, _ := backend.acceptRequest()
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", framing.field, framing.first("part"))
			answer, err := http.ReadResponse(client.reader, nil)
			if err != nil || answer.StatusCode != http.StatusOK {
				t.Fatal(answer, err)
			}
			_, err = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			if took := time.Since(sentAt); err == nil || took < timeout || took > timeout+500*time.Millisecond {
				t.Errorf("the answer ended after %v, error %v", took, err)
			}
			waitUntil(n, func() bool { return len(n.requests) == 0 && n.activeForwarders == 0 })
		})
	}
}

// A long answer that has sent little before the deadline of its request is cut off only if it is no long one by then.
func TestLongAnswerOfUnknownLengthOutlastsDeadline(t *testing.T) {
	body := string(randomBody(1, 4*protocol.MaxBody))
	for _, framing := range unknownLengthFramings {
		t.Run(framing.name, func(t *testing.T) {
			backend := newManualBackend(t, 0)
			_, addr := startNode(t, backend.targets(), nil)
			client := dialNode(t, addr)
			_, _ = io.WriteString(client, requestText("once", 500))
			conn, _ := backend.acceptRequest()
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", framing.field, framing.first(body[:100]))
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(conn, framing.first(body[100:2*protocol.MaxBody]))
			time.Sleep(time.Second) // to after the deadline
			_, _ = io.WriteString(conn, framing.rest(body[2*protocol.MaxBody:]))
			_ = conn.Close()
			if code, got, _ := client.readAnswer(); code != http.StatusOK || got != body {
				t.Errorf("status %d, %d bytes of %d", code, len(got), len(body))
			}
		})
	}
}

// A request is retried if the held part of its answer breaks off.
func TestHeldPartialAnswerThatBreaksIsRetried(t *testing.T) {
	handler, count := handleFirst(resetAfterReceipt("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkText("part")))
	spare := newTestBackend(t, handler)
	backend := newTestBackend(t, handler)
	_, addr := startNode(t, []protocol.Target{targetOf("a", backend), targetOf("b", spare)}, nil)
	if code, body, _ := dialNode(t, addr).exchange(requestText("read", 9000)); code != 200 || body != "body of /read" || count.Load() != 2 {
		t.Errorf("status %d, %q, %d attempts", code, body, count.Load())
	}
}
