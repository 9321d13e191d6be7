package node

import (
	"os"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// peerState is the state of the peer's side of a connection.
type peerState uint8

const (
	peerOpen     peerState = iota
	peerFinished           // closed by the peer without a reset
	peerBroken             // reset, or the state could not be determined
)

// peerStateFromEvents derives the state from the events that poll(2) reports. A reset ends both directions and is
// reported for as long as the descriptor is open, while an orderly end leaves this side's direction open. The state
// in TCP_INFO proves nothing: a system call layer other than the kernel's own has been seen to report CLOSE_WAIT for
// both.
func peerStateFromEvents(revents int16) peerState {
	switch {
	case revents&(unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0:
		return peerBroken
	case revents&unix.POLLRDHUP != 0:
		return peerFinished
	}
	return peerOpen
}

// queryPeerState asks the kernel for the state of a connection's peer. The caller must keep the descriptor open
// meanwhile.
func queryPeerState(conn netpoll.Connection) peerState {
	c, ok := conn.(fdConn)
	if !ok {
		return peerBroken
	}
	return pollPeerState(c.Fd())
}

// queryDetachedPeerState asks the kernel for the state of the peer of a connection that is detached from the poller.
func queryDetachedPeerState(descriptor *os.File) (state peerState) {
	raw, err := descriptor.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { state = pollPeerState(int(fd)) })
	}
	if err != nil {
		return peerBroken
	}
	return state
}

// pollPeerState polls an open descriptor, without waiting, for the state of the peer.
func pollPeerState(fd int) peerState {
	descriptors := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(descriptors, 0)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			return peerBroken
		}
		return peerStateFromEvents(descriptors[0].Revents)
	}
}
