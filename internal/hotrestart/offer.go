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

// Predecessor is the process that is replaced. Its methods are called from goroutines of an Offer.
type Predecessor interface {
	// ExportHandoff returns the body of the handoff, and a descriptor of the listening socket, which the Offer closes. It is a bare
	// descriptor: os.File's Fd sets a socket to blocking, for all processes that have it. From here on two processes
	// share the limits of one.
	ExportHandoff() (body []byte, listener int, err error)
	// SuccessorServing is called when the successor accepts connections.
	SuccessorServing()
	// SuccessorExited is called when the successor has ended, whether or not it has served.
	SuccessorExited()
}

// Offer waits for successors until it is closed.
type Offer struct {
	listener    *net.UnixListener
	predecessor Predecessor
	accepting   sync.WaitGroup

	mutex  sync.Mutex
	conn   *net.UnixConn
	closed bool
}

// NewOffer starts to wait at path. A file that an earlier process has left there is removed.
func NewOffer(path string, predecessor Predecessor) (*Offer, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // by then the path may be the successor's
	if err := os.Chmod(path, 0o600); err != nil {
		_ = listener.Close() // the error above is the one that counts
		return nil, err
	}
	o := &Offer{listener: listener, predecessor: predecessor}
	o.accepting.Go(o.acceptSuccessors)
	return o, nil
}

// Close ends the offer, and with it the connection to a successor.
func (o *Offer) Close() error {
	err := o.listener.Close()
	o.mutex.Lock()
	o.closed = true
	if o.conn != nil {
		_ = o.conn.Close() // the handoff is over
	}
	o.mutex.Unlock()
	o.accepting.Wait()
	return err
}

// acceptSuccessors serves one successor after the other: there is one at a time.
func (o *Offer) acceptSuccessors() {
	for {
		conn, err := o.listener.AcceptUnix()
		if err != nil {
			return // closed
		}
		o.serveSuccessor(conn)
	}
}

// serveSuccessor sends the handoff to one successor, and keeps the connection until that has ended.
func (o *Offer) serveSuccessor(conn *net.UnixConn) {
	defer func() { _ = conn.Close() }() // the successor has ended, or failed
	if !o.setConn(conn) {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(HandoffTimeout)) // an open connection takes any deadline
	received := make([]byte, len(greeting))
	if _, err := io.ReadFull(conn, received); err != nil || string(received) != greeting {
		return
	}
	body, listener, err := o.predecessor.ExportHandoff()
	if err != nil {
		return // the predecessor has logged it
	}
	defer o.predecessor.SuccessorExited()
	if err := sendHandoff(conn, body, listener); err != nil {
		return
	}
	_ = conn.SetDeadline(time.Time{})
	o.forwardReports(conn)
}

// setConn makes conn the connection that Close closes. It returns false where the offer has been closed.
func (o *Offer) setConn(conn *net.UnixConn) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.conn = conn
	return !o.closed
}

// sendHandoff sends the head, which carries the listener, and the body. It closes the descriptor of the listener.
func sendHandoff(conn *net.UnixConn, body []byte, listener int) error {
	_, _, err := conn.WriteMsgUnix(encodeHeader(body), unix.UnixRights(listener), nil)
	_ = unix.Close(listener) // the successor has a descriptor of its own
	if err != nil {
		return err
	}
	_, err = conn.Write(body)
	return err
}

// forwardReports passes on what the successor reports, until the connection ends.
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
