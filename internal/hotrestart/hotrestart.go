// Package hotrestart passes a node's listening socket, and what it knows, from one process to the next on the same
// machine, over a Unix socket that the older one offers.
//
// The newer process sends a greeting; the older answers with a head (magic, length, checksum), with which the descriptor
// of the listening socket goes, and a body. The newer then says that it serves. The connection stays until one of them
// ends, so that each hears of that. Whatever fails, the newer process starts on its own, and the older serves on.
package hotrestart

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

// The form of what is said. Another version has another greeting, and gets nothing.
const (
	greeting = "tulipglade hand-over 1\n"
	magic    = "TGH1"
	headLen  = len(magic) + 4 + 8
	maxBody  = 8 << 20
	serving  = 'S'
	maxPath  = 100 // the system takes 107
)

// Timeout bounds what the newer process waits for in all.
const Timeout = 500 * time.Millisecond

// Path is where a node offers itself, by its name and address: other nodes may share the folder.
func Path(dir, name, listen string) (string, error) {
	if dir == "" {
		return "", errors.New("no folder: $TMPDIR is not set")
	}
	p := filepath.Join(dir, "tulipglade-"+strconv.FormatUint(xxhash.Sum64String(name+"|"+listen), 16)+".sock")
	if len(p) > maxPath {
		return "", fmt.Errorf("%s: longer than %d bytes", p, maxPath)
	}
	return p, nil
}

// Predecessor is the older process. Its methods are called from goroutines of an Offer's.
type Predecessor interface {
	// State returns what is handed over, and a descriptor of the listening socket, which the Offer closes. It is a bare one:
	// os.File's Fd sets a socket to blocking, for all processes that have it. From here on two processes share what one had.
	State() (body []byte, listener int, err error)
	// SuccessorServing tells that the newer process accepts connections.
	SuccessorServing()
	// SuccessorExited tells that the newer process has ended, or has never come to serve.
	SuccessorExited()
}

// Offer waits for a newer process until it is closed.
type Offer struct {
	ln   *net.UnixListener
	to   Predecessor
	wait sync.WaitGroup

	mu     sync.Mutex
	conn   *net.UnixConn
	closed bool
}

// NewOffer begins to wait at path. A file that an earlier process has left there goes.
func NewOffer(path string, to Predecessor) (*Offer, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the path may be the newer process's
	if err := os.Chmod(path, 0o600); err != nil {
		_ = ln.Close()
		return nil, err
	}
	o := &Offer{ln: ln, to: to}
	o.wait.Add(1)
	go func() {
		defer o.wait.Done()
		for {
			conn, err := ln.AcceptUnix()
			if err != nil {
				return
			}
			o.give(conn)
		}
	}()
	return o, nil
}

// Close ends the offer, and with it the connection to a newer process.
func (o *Offer) Close() error {
	err := o.ln.Close()
	o.mu.Lock()
	o.closed = true
	if o.conn != nil {
		_ = o.conn.Close()
	}
	o.mu.Unlock()
	o.wait.Wait()
	return err
}

// give hands over to one process, and stays with it until it ends: there is one newer process at a time.
func (o *Offer) give(conn *net.UnixConn) {
	defer conn.Close()
	o.mu.Lock()
	o.conn = conn
	closed := o.closed
	o.mu.Unlock()
	if closed {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(Timeout))
	hello := make([]byte, len(greeting))
	if _, err := io.ReadFull(conn, hello); err != nil || string(hello) != greeting {
		return
	}
	body, listener, err := o.to.State()
	if err != nil {
		return
	}
	defer o.to.SuccessorExited()
	head := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32([]byte(magic), uint32(len(body))), xxhash.Sum64(body))
	_, _, err = conn.WriteMsgUnix(head, unix.UnixRights(listener), nil)
	_ = unix.Close(listener)
	if err == nil {
		_, err = conn.Write(body)
	}
	if err != nil {
		return
	}
	_ = conn.SetDeadline(time.Time{})
	word := make([]byte, 1)
	for {
		if _, err := conn.Read(word); err != nil {
			return
		}
		if word[0] == serving {
			o.to.SuccessorServing()
		}
	}
}

// Handoff is what the newer process has been handed.
type Handoff struct {
	Body     []byte
	Listener int // a descriptor
	conn     *net.UnixConn
}

// Receive asks the process that offers itself at path. It returns within Within.
func Receive(path string) (*Handoff, error) { return take(path, Timeout) }

func take(path string, within time.Duration) (t *Handoff, err error) {
	end := time.Now().Add(within)
	raw, err := net.DialTimeout("unix", path, within)
	if err != nil {
		return nil, err
	}
	conn := raw.(*net.UnixConn)
	listener := -1
	defer func() {
		if err != nil {
			_ = conn.Close()
			if listener >= 0 {
				_ = unix.Close(listener)
			}
		}
	}()
	_ = conn.SetDeadline(end)
	if _, err := io.WriteString(conn, greeting); err != nil {
		return nil, err
	}
	head, oob := make([]byte, headLen), make([]byte, unix.CmsgSpace(4))
	n, oobn, _, _, err := conn.ReadMsgUnix(head, oob)
	if err != nil {
		return nil, err
	}
	if listener, err = descriptor(oob[:oobn]); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(conn, head[n:]); err != nil {
		return nil, err
	}
	length, sum := binary.BigEndian.Uint32(head[len(magic):]), binary.BigEndian.Uint64(head[len(magic)+4:])
	if string(head[:len(magic)]) != magic || length > maxBody {
		return nil, errors.New("not a hand-over of this version")
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(conn, body); err != nil {
		return nil, err
	}
	if xxhash.Sum64(body) != sum {
		return nil, errors.New("damaged on its way")
	}
	_ = conn.SetDeadline(time.Time{})
	return &Handoff{Body: body, Listener: listener, conn: conn}, nil
}

func descriptor(oob []byte) (int, error) {
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return -1, err
	}
	for _, m := range messages {
		if fds, err := unix.ParseUnixRights(&m); err == nil && len(fds) == 1 {
			unix.CloseOnExec(fds[0])
			return fds[0], nil
		}
	}
	return -1, errors.New("no descriptor came")
}

// ReportServing tells the older process that this one accepts connections, and calls gone when that has ended.
func (t *Handoff) ReportServing(gone func()) {
	_, _ = t.conn.Write([]byte{serving})
	go func() {
		_, _ = io.Copy(io.Discard, t.conn)
		_ = t.conn.Close()
		gone()
	}()
}

// Close ends the connection to the older process.
func (t *Handoff) Close() error { return t.conn.Close() }
