package node

import (
	"bytes"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// The time of a request counts from its last byte, and a client has sent it once its own kernel has it. A node sees only
// what has come: of a large request it knows until when the last byte had certainly not been sent, and by when it had.

// lastByteTime bounds when the last byte of a large request was sent, in microseconds of the node's clock.
type lastByteTime struct {
	earliest int64 // not before this
	latest   int64 // not after this; 0: it may still be to come
}

// updateLastByteTime looks at how much of the request has come. The event loop calls it while no forwarder reads the connection.
func (u *upload) updateLastByteTime(now int64, descriptor *os.File, length, bufferedBody int) {
	if u.lastByteTime.latest > 0 {
		return
	}
	waiting, ok := unreadBytes(descriptor)
	if !ok {
		return
	}
	if length < 0 { // the end of a chunked body may be anywhere in what waits
		if waiting == 0 && !bytes.HasSuffix(bytes.Join(u.earlyInput, nil), endOfChunkedBody) {
			u.lastByteTime.earliest = now
		}
		return
	}
	received := bufferedBody + waiting
	for _, piece := range u.earlyInput {
		received += len(piece)
	}
	switch {
	case received >= length:
		u.lastByteTime.latest = now
	case waiting < maxUnreadWithOpenWindow:
		u.lastByteTime.earliest = now
	}
}

// endOfChunkedBody is how a chunked body ends, with or without a trailer.
var endOfChunkedBody = []byte("\r\n\r\n")

// maxUnreadWithOpenWindow is how much unread input, in bytes, certainly leaves the peer free to send more. Beyond it, what is
// still to come may have been sent and wait in the peer's kernel: then the time counts from when it may have been.
const maxUnreadWithOpenWindow = receiveBufferSize / 2

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

// minRemainingUploadTime is what the client of a large request has left at least, in microseconds.
func (n *Node) minRemainingUploadTime(req *request) int64 {
	now := n.now()
	body := req.message.Body(req.buffer.bytes())
	req.upload.updateLastByteTime(now, req.clientConn.descriptor, req.message.ContentLength(), len(body))
	if req.upload.lastByteTime.earliest >= now {
		return req.uploadTimeout
	}
	return req.upload.lastByteTime.earliest + req.uploadTimeout - now
}

// latestDeadline is the latest moment at which the client of a large request may still wait; noDeadline while its last
// byte may be to come.
func (u *upload) latestDeadline(timeout int64) int64 {
	if u.lastByteTime.latest == 0 {
		return noDeadline
	}
	return u.lastByteTime.latest + timeout
}

// minEmptyReadWait is how long a read must have waited to show that its sender had nothing more to send before: longer than
// the kernels take to pass on what was sent.
const minEmptyReadWait = time.Millisecond
