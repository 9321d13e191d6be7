package hotrestart

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Predecessor is implemented by the process that a hot restart replaces. An Offer calls its methods from the Offer's
// own goroutine.
type Predecessor interface {
	// ExportHandoff returns the body of the handoff and a duplicate of the listening socket's file descriptor, which
	// the Offer closes. The descriptor is not wrapped in an os.File, because os.File.Fd sets the socket to blocking
	// mode for all processes that share it. After this call two processes share the resource limits of one node.
	ExportHandoff() (body []byte, listener int, err error)
	// SuccessorServing is called when the successor has reported that it accepts clients.
	SuccessorServing()
	// SuccessorExited is called when the connection to the successor has ended after ExportHandoff, because the
	// successor has exited or the handoff has failed. It is called whether or not the successor has accepted clients.
	SuccessorExited()
}

// Offer listens for successors and sends the handoff to each of them, until it is closed.
type Offer struct {
	listener    *net.UnixListener
	predecessor Predecessor
	accepting   sync.WaitGroup

	mutex  sync.Mutex
	conn   *net.UnixConn // the connection to the latest successor
	closed bool
}

// NewOffer starts to listen for successors on a Unix socket at path. It removes the socket file of an earlier process.
func NewOffer(path string, predecessor Predecessor) (*Offer, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // by then the successor may have created its own socket at this path
	if err := os.Chmod(path, 0o600); err != nil {
		_ = listener.Close() // the error of Chmod is returned
		return nil, err
	}
	o := &Offer{listener: listener, predecessor: predecessor}
	o.accepting.Go(o.acceptSuccessors)
	return o, nil
}

// Close stops listening, closes the connection to a successor, and waits until the Offer's goroutine has returned.
func (o *Offer) Close() error {
	err := o.listener.Close()
	o.mutex.Lock()
	o.closed = true
	if o.conn != nil {
		_ = o.conn.Close() // no more reports are needed from the successor
	}
	o.mutex.Unlock()
	o.accepting.Wait()
	return err
}

// acceptSuccessors serves one successor after another, until the listener is closed. There is never more than one
// successor at a time.
func (o *Offer) acceptSuccessors() {
	for {
		conn, err := o.listener.AcceptUnix()
		if err != nil {
			return // the listener is closed
		}
		o.serveSuccessor(conn)
	}
}

// serveSuccessor sends the handoff to one successor and keeps the connection open until the successor has exited.
func (o *Offer) serveSuccessor(conn *net.UnixConn) {
	defer func() { _ = conn.Close() }() // the successor has exited, or the handoff has failed
	if !o.setConn(conn) {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(HandoffTimeout)) // cannot fail on an open connection
	received := make([]byte, len(greeting))
	if _, err := io.ReadFull(conn, received); err != nil || string(received) != greeting {
		return
	}
	body, listener, err := o.predecessor.ExportHandoff()
	if err != nil {
		return // without a state to send, the successor starts on its own
	}
	defer o.predecessor.SuccessorExited()
	if err := sendHandoff(conn, body, listener); err != nil {
		return
	}
	_ = conn.SetDeadline(time.Time{})
	o.forwardReports(conn)
}

// setConn records conn as the connection that Close closes. It returns false if the offer has already been closed.
func (o *Offer) setConn(conn *net.UnixConn) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.conn = conn
	return !o.closed
}

// sendHandoff sends the header, which carries the file descriptor listener, and the body. It closes the descriptor.
func sendHandoff(conn *net.UnixConn, body []byte, listener int) error {
	_, _, err := conn.WriteMsgUnix(encodeHeader(body), unix.UnixRights(listener), nil)
	_ = unix.Close(listener) // the kernel has duplicated the descriptor for the successor
	if err != nil {
		return err
	}
	_, err = conn.Write(body)
	return err
}

// forwardReports passes the reports of the successor on to the Predecessor, until the connection ends.
func (o *Offer) forwardReports(conn *net.UnixConn) {
	report := make([]byte, 1)
	for {
		if _, err := conn.Read(report); err != nil {
			return
		}
		if report[0] == servingReport {
			o.predecessor.SuccessorServing()
		}
	}
}
