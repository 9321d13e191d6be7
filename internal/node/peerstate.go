package node

import (
	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// peerState is how the other side of a connection stands.
type peerState uint8

const (
	peerOpen     peerState = iota
	peerFinished           // it has closed its side in order
	peerBroken             // it was reset, or there is no telling
)

// peerStateOf reads that off the events of poll(2): a reset ends both directions, and says so for as long as the descriptor lives, while
// the end of the other side leaves ours open. The state in TCP_INFO is no proof: beneath a system call layer that is not the
// kernel's own it has been seen to say CLOSE_WAIT for both.
func peerStateOf(revents int16) peerState {
	switch {
	case revents&(unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0:
		return peerBroken
	case revents&unix.POLLRDHUP != 0:
		return peerFinished
	}
	return peerOpen
}

// queryPeerState asks the kernel. Whoever asks must hold the descriptor open.
func queryPeerState(conn netpoll.Connection) peerState {
	c, ok := conn.(interface{ Fd() int })
	if !ok {
		return peerBroken
	}
	descriptors := []unix.PollFd{{Fd: int32(c.Fd()), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(descriptors, 0)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			return peerBroken
		}
		return peerStateOf(descriptors[0].Revents)
	}
}
