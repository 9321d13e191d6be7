package node

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// newEarlyBackend is a backend that answers each request as soon as it has its head, keeps the connection, and then
// reads the body.
func newEarlyBackend(t *testing.T) *manualBackend {
	t.Helper()
	backend := newManualBackend(t, 0)
	go func() {
		for {
			conn, err := backend.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					writeOK(conn, "early")
					_, _ = io.Copy(io.Discard, request.Body)
				}
			}()
		}
	}()
	return backend
}

// Every descriptor that the node holds belongs to a client, or to a connection that the next request can use. The
// connection of a large upload that was answered before its end belonged to nobody: the event loop had completed its
// attempt, and at the end of the upload looked for an attempt to complete. It stayed open and unused until the backend
// closed it, one descriptor for each such upload. All ends of an upload are played here.
func TestUploadsLeaveNoConnectionBehind(t *testing.T) {
	const size, firstPart = 1 << 20, 256 << 10
	body := randomBody(1, size)
	for name, finish := range map[string]func(*testClient){
		"sent to its end": func(client *testClient) {
			_, _ = client.Write(body[firstPart:])
			client.readAnswer()
		},
		"answered first, then sent to its end": func(client *testClient) {
			client.readAnswer()
			_, _ = client.Write(body[firstPart:])
		},
		"answered first, then abandoned": func(client *testClient) {
			client.readAnswer()
			_ = client.Close()
		},
		"abandoned": func(client *testClient) { _ = client.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			n, addr := startNode(t, newEarlyBackend(t).targets(), nil)
			for range 10 {
				client := dialNode(t, addr)
				_, _ = io.WriteString(client, postRequest("Content-Length: "+strconv.Itoa(size)))
				_, _ = client.Write(body[:firstPart])
				finish(client)
			}
			var descriptors, clients, idle int
			for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				runOnLoop(n, func() { descriptors, clients, idle = n.openDescriptors, len(n.clients), n.idleBackends.Len() })
				if descriptors == clients+idle {
					return
				}
			}
			t.Errorf("%d descriptors for %d clients and %d idle connections", descriptors, clients, idle)
		})
	}
}
