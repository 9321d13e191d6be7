package node

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// newEarlyBackend starts a backend that answers each request as soon as it has received its head, keeps the connection
// open, and then reads the body.
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

// Every descriptor that the node holds must belong to a client connection or to an idle backend connection. The test
// guards against a leak: if a large upload was answered before its end, the event loop had already completed its
// attempt, and at the end of the upload found no attempt to complete. The backend connection then stayed open and
// unused until the backend closed it, one descriptor for each such upload. The test covers all ways in which an upload
// can end.
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
