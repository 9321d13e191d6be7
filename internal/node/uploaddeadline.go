package node

import (
	"os"
	"time"

	"golang.org/x/sys/unix"

	"tulipglade/internal/balancer"
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
		if waiting == 0 && !u.earlyInput.hasSuffix(endOfChunkedBody) {
			u.lastByteTime.earliest = now
		}
		return
	}
	received := bufferedBody + waiting + u.earlyInput.length()
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

// uploadCheckInterval is the time between two checks of whether the deadline of a request that is being uploaded may
// have passed, in microseconds.
const uploadCheckInterval = 100_000

// maxClientSendBuffer is how much of a request a client may have sent that the node's kernel has no space for, in
// bytes: by default, kernels buffer at most this much of what a process sends (tcp_wmem).
const maxClientSendBuffer = 4 << 20

// checkUploadDeadline ends the attempt of a request that is being uploaded if the deadline may have passed while its
// backend did not read: the client may have sent the last byte long before the node can read it. The check is repeated
// until the upload ends. While the node waits for the client, the last byte has not been sent.
func (n *Node) checkUploadDeadline(conn *backendConn, att *attempt, fwd *forwarder) {
	req := att.request
	if att.isCompleted() || req.upload.forwarderEnded {
		return
	}
	now, progress := n.now(), fwd.currentProgress()
	if req.exceedsClientSendBuffer(progress) {
		req.upload.lastByteTime.earliest = now
	}
	earliestDeadline := n.lastByteNotSentBefore(req.upload, progress) + req.uploadTimeout
	if progress.isWriting && now >= n.answerDeadline(now, earliestDeadline) {
		n.abandonUpload(conn, att, fwd)
		return
	}
	n.scheduleAt(now+uploadCheckInterval, func() { n.checkUploadDeadline(conn, att, fwd) })
}

// exceedsClientSendBuffer reports whether so much of a request with a stated length is missing that its client can't
// have sent all of it. progress is that of the forwarder that reads the request.
func (r *request) exceedsClientSendBuffer(progress forwarderProgress) bool {
	waiting, ok := unreadBytes(r.clientConn.descriptor)
	if !ok {
		return false
	}
	received := len(r.message.Body(r.buffer.bytes())) + max(r.upload.earlyBytes, int(progress.receivedBytes)) + waiting
	return r.message.ContentLength()-received > maxClientSendBuffer
}

// lastByteNotSentBefore returns a time before which the last byte of a request was not sent. progress is that of the
// forwarder that reads the request.
func (n *Node) lastByteNotSentBefore(up *upload, progress forwarderProgress) int64 {
	if progress.lastWaitEndedAt.IsZero() {
		return up.lastByteTime.earliest
	}
	return max(up.lastByteTime.earliest, n.nodeTime(progress.lastWaitEndedAt))
}

// abandonUpload ends an attempt whose backend does not read its request. The backend has not run a request whose last
// byte was not written. If the forwarder has read that byte, its report tells whether it was written.
func (n *Node) abandonUpload(conn *backendConn, att *attempt, fwd *forwarder) {
	n.warnLimited("backend does not read a large request", "endpoint", conn.endpoint.address)
	n.closeBackendConn(conn, closeUploadTimedOut)
	if !fwd.fullyRead.Load() {
		n.completeAttempt(att, balancer.OutcomeConnectFailed, nil)
	}
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
