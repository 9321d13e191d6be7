package main

import (
	"io"
	"net"
	"time"
)

// link is a connection as its backend sees it: what either side sends arrives after the delay of the network, in order.
type link struct {
	conn     net.Conn
	delay    time.Duration
	arrived  *io.PipeReader // what the node has sent, once it has arrived
	outgoing chan packet
	closed   chan struct{} // closed once all that was sent before Close has arrived
}

// packet is a piece of data on its way, or the end of the connection if data is nil.
type packet struct {
	data []byte
	due  time.Time
}

// maxPackets bounds the packets that are on their way in one direction.
const maxPackets = 4096

func newLink(conn net.Conn, delay time.Duration) *link {
	reader, writer := io.Pipe()
	l := &link{conn: conn, delay: delay, arrived: reader, outgoing: make(chan packet, maxPackets), closed: make(chan struct{})}
	incoming := make(chan packet, maxPackets)
	go l.receive(incoming)
	go func() {
		for p := range incoming {
			time.Sleep(time.Until(p.due))
			_, _ = writer.Write(p.data) // fails if the backend has closed the connection
		}
		_ = writer.Close()
	}()
	go l.send()
	return l
}

// receive reads what the node sends.
func (l *link) receive(incoming chan<- packet) {
	defer close(incoming)
	for {
		buffer := make([]byte, 16<<10)
		n, err := l.conn.Read(buffer)
		if err != nil {
			return
		}
		incoming <- packet{buffer[:n], time.Now().Add(l.delay)}
	}
}

// send delivers to the node what the backend has written.
func (l *link) send() {
	defer close(l.closed)
	for p := range l.outgoing {
		time.Sleep(time.Until(p.due))
		if p.data == nil {
			_ = l.conn.Close()
			return
		}
		_, _ = l.conn.Write(p.data) // fails if the node has closed the connection
	}
}

// Read implements io.Reader.
func (l *link) Read(data []byte) (int, error) { return l.arrived.Read(data) }

// Write implements io.Writer. It returns at once; the data must not change afterwards.
func (l *link) Write(data []byte) (int, error) {
	select {
	case l.outgoing <- packet{data, time.Now().Add(l.delay)}:
		return len(data), nil
	case <-l.closed:
		return 0, net.ErrClosed
	}
}

// Close closes the connection behind what was written.
func (l *link) Close() error {
	_ = l.arrived.Close() // never fails
	select {
	case l.outgoing <- packet{nil, time.Now().Add(l.delay)}:
	case <-l.closed:
	}
	return nil
}
