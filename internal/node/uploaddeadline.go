package node

import (
	"bytes"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// The time of a request counts from its last byte, and a client has sent it once its own kernel has it. A node sees only
// what has come: of a large request it knows until when the last byte had certainly not been sent, and by when it had.

// lastByte bounds when the last byte of a large request was sent, in microseconds of the node's clock.
type lastByte struct {
	after int64 // not before this
	by    int64 // not after this; 0: it may still be to come
}

// observe looks at how much of the request has come. The event loop calls it while no forwarder reads the connection.
func (u *upload) observe(now int64, descriptor *os.File, length, bufferedBody int) {
	if u.lastByte.by > 0 {
		return
	}
	waiting, ok := unreadBytes(descriptor)
	if !ok {
		return
	}
	if length < 0 { // the end of a chunked body may be anywhere in what waits
		if waiting == 0 && !bytes.HasSuffix(bytes.Join(u.earlyInput, nil), endOfChunkedBody) {
			u.lastByte.after = now
		}
		return
	}
	received := bufferedBody + waiting
	for _, piece := range u.earlyInput {
		received += len(piece)
	}
	switch {
	case received >= length:
		u.lastByte.by = now
	case waiting < openReceiveWindow:
		u.lastByte.after = now
	}
}

// endOfChunkedBody is how a chunked body ends, with or without a trailer.
var endOfChunkedBody = []byte("\r\n\r\n")

// openReceiveWindow is how much unread input, in bytes, certainly leaves the peer free to send more. Beyond it, what is
// still to come may have been sent and wait in the peer's kernel: then the time counts from when it may have been.
const openReceiveWindow = receiveBufferSize / 2

// unreadBytes returns how many bytes the kernel holds for the reader of a descriptor.
func unreadBytes(descriptor *os.File) (count int, ok bool) {
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return 0, false
	}
	if e := raw.Control(func(fd uintptr) { count, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); e != nil {
		err = e
	}
	return count, err == nil
}

// remainingUploadTime is what the client of a large request has left at least, in microseconds.
func (n *Node) remainingUploadTime(req *request) int64 {
	now := n.now()
	body := req.message.Body(req.buffer.bytes())
	req.upload.observe(now, req.clientConn.descriptor, req.message.Length(), len(body))
	if req.upload.lastByte.after >= now {
		return req.uploadTimeout
	}
	return req.upload.lastByte.after + req.uploadTimeout - now
}

// latestDeadline is the latest moment at which the client of a large request may still wait; noDeadline while its last
// byte may be to come.
func (u *upload) latestDeadline(timeout int64) int64 {
	if u.lastByte.by == 0 {
		return noDeadline
	}
	return u.lastByte.by + timeout
}

// emptyReadWait is how long a read must have waited to show that its sender had nothing more to send before: longer than
// the kernels take to pass on what was sent.
const emptyReadWait = time.Millisecond
