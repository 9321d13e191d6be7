package hotrestart

import (
	"io"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

// descriptorSize is the size in bytes of one file descriptor in a control message.
const descriptorSize = 4

// Handoff holds what a successor has received, and the connection to its predecessor.
type Handoff struct {
	Body       []byte
	ListenerFD int // file descriptor of the listening socket; the receiver must close it
	conn       *net.UnixConn
}

// Receive requests the handoff from the process that offers it at path. It returns within HandoffTimeout.
func Receive(path string) (*Handoff, error) { return receive(path, HandoffTimeout) }

func receive(path string, timeout time.Duration) (*Handoff, error) {
	deadline := time.Now().Add(timeout)
	dialled, err := net.DialTimeout("unix", path, timeout)
	if err != nil {
		return nil, err
	}
	handoff := &Handoff{ListenerFD: noDescriptor, conn: dialled.(*net.UnixConn)}
	_ = handoff.conn.SetDeadline(deadline) // cannot fail on an open connection
	if err := handoff.readHandoff(); err != nil {
		handoff.discard()
		return nil, err
	}
	_ = handoff.conn.SetDeadline(time.Time{})
	return handoff, nil
}

// discard closes the connection and the descriptor of a handoff that could not be read.
func (h *Handoff) discard() {
	_ = h.conn.Close() // the error of readHandoff is returned
	if h.ListenerFD != noDescriptor {
		_ = unix.Close(h.ListenerFD)
	}
}

// readHandoff sends the greeting, and reads the descriptor of the listening socket and the body.
func (h *Handoff) readHandoff() error {
	if _, err := io.WriteString(h.conn, greeting); err != nil {
		return err
	}
	header := make([]byte, headerSize)
	if err := h.readHeader(header); err != nil {
		return err
	}
	length, checksum, err := decodeHeader(header)
	if err != nil {
		return err
	}
	h.Body = make([]byte, length)
	if _, err := io.ReadFull(h.conn, h.Body); err != nil {
		return err
	}
	if xxhash.Sum64(h.Body) != checksum {
		return errChecksumMismatch
	}
	return nil
}

// readHeader fills header, and receives the descriptor that arrives with the first byte.
func (h *Handoff) readHeader(header []byte) error {
	control := make([]byte, unix.CmsgSpace(descriptorSize))
	n, controlLength, _, _, err := h.conn.ReadMsgUnix(header, control)
	if err != nil {
		return err
	}
	h.ListenerFD, err = parseDescriptor(control[:controlLength])
	if err != nil {
		return err
	}
	_, err = io.ReadFull(h.conn, header[n:])
	return err
}

// parseDescriptor returns the file descriptor in a control message, and marks it as close-on-exec.
func parseDescriptor(control []byte) (int, error) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return noDescriptor, err
	}
	for _, message := range messages {
		descriptors, err := unix.ParseUnixRights(&message)
		if err == nil && len(descriptors) == 1 {
			unix.CloseOnExec(descriptors[0])
			return descriptors[0], nil
		}
	}
	return noDescriptor, errNoDescriptor
}

// ReportServing reports to the predecessor that this process accepts clients, and calls exited once the connection to
// the predecessor has ended.
func (h *Handoff) ReportServing(exited func()) {
	_, _ = h.conn.Write([]byte{servingReport}) // a predecessor that has exited needs no report
	go func() {
		_, _ = io.Copy(io.Discard, h.conn)
		_ = h.conn.Close() // the predecessor has exited
		exited()
	}()
}

// Close ends the connection to the predecessor.
func (h *Handoff) Close() error { return h.conn.Close() }
