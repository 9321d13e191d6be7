package node

import (
	"bytes"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// The deadline of a request counts from the time at which its client sent the last byte, that is, passed it to the
// client's kernel. The node sees only when input arrives. For a large request it therefore keeps two bounds of that
// time: the last moment at which the byte had certainly not been sent yet, and the first at which it certainly had.

// lastByteTime holds the bounds of the time at which the last byte of a large request was sent, in microseconds of the
// node's clock.
type lastByteTime struct {
	earliest int64 // the byte was not sent before this time
	latest   int64 // the byte was not sent after this time; 0: it may not have been sent yet
}

// updateLastByteTime updates the bounds of the last byte's send time from how much of the request has been received.
// length is that of the body, negative if it is chunked; bufferedBody is how much of the body is in the request's
// buffer. The event loop calls it while no forwarder reads from the connection.
func (u *upload) updateLastByteTime(now int64, descriptor *os.File, length, bufferedBody int) {
	if u.lastByteTime.latest > 0 {
		return
	}
	waiting, ok := unreadBytes(descriptor)
	if !ok {
		return
	}
	if length < 0 { // the end of a chunked body may be anywhere in the unread input
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

// endOfChunkedBody is the byte sequence that ends a chunked body, with or without a trailer.
var endOfChunkedBody = []byte("\r\n\r\n")

// maxUnreadWithOpenWindow is the amount of unread input, in bytes, below which the receive window is certainly open, so
// that data which has not arrived has not been sent either. With more unread input, the rest may have been sent and may
// wait in the peer's kernel. The deadline then counts from the earliest time at which that is possible.
const maxUnreadWithOpenWindow = receiveBufferSize / 2

// unreadBytes returns how many bytes the kernel has received on a descriptor that have not been read. ok is false if
// the kernel can't be asked.
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

// minRemainingUploadTime returns a lower bound of the time until the deadline of a large request, in microseconds.
func (n *Node) minRemainingUploadTime(req *request) int64 {
	now := n.now()
	body := req.message.Body(req.buffer.bytes())
	req.upload.updateLastByteTime(now, req.clientConn.descriptor, req.message.ContentLength(), len(body))
	if req.upload.lastByteTime.earliest >= now {
		return req.uploadTimeout
	}
	return req.upload.lastByteTime.earliest + req.uploadTimeout - now
}

// latestDeadline returns the latest time at which the deadline of a large request may be, or noDeadline while its last
// byte may not have been sent yet.
func (u *upload) latestDeadline(timeout int64) int64 {
	if u.lastByteTime.latest == 0 {
		return noDeadline
	}
	return u.lastByteTime.latest + timeout
}

// minEmptyReadWait is the shortest wait of a read that proves that the data was sent only during the wait. It is longer
// than the kernels take to pass on data that had already been sent.
const minEmptyReadWait = time.Millisecond
