package agent

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// peerQueueSize is the maximum number of messages that wait to be sent to one other member.
const peerQueueSize = 256

// Headers of the messages between members: the group and the address of the sender.
const (
	groupHeader   = "X-Group"
	addressHeader = "X-Address"
)

// outboundMessage is an encoded message to another member.
type outboundMessage struct {
	to         uint64
	raw        []byte
	isSnapshot bool
}

// queueMessage queues a message to another member. It runs on the member's goroutine and never blocks: if the queue is
// full, the message is dropped, since raft repeats lost messages.
func (a *Agent) queueMessage(address string, msg *pb.Message) {
	raw, err := proto.Marshal(msg)
	if err != nil {
		a.log.Error("raft message not encoded", "err", err)
		return
	}
	outbound := outboundMessage{to: msg.GetTo(), raw: raw, isSnapshot: msg.GetType() == pb.MsgSnap}
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := a.peers[address]
	if queue == nil {
		queue = make(chan outboundMessage, peerQueueSize)
		a.peers[address] = queue
		a.background.Go(func() { a.sendQueuedMessages(address, queue) })
	}
	select {
	case queue <- outbound:
	default:
		if outbound.isSnapshot {
			a.enqueueTask(func() { a.member.ReportSnapshot(outbound.to, false) })
		}
	}
}

// sendQueuedMessages sends the queued messages to one address, in order. It returns when the member's goroutine has
// ended, or when no message was queued for idleTimeout.
func (a *Agent) sendQueuedMessages(address string, queue chan outboundMessage) {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		idle.Reset(idleTimeout)
		select {
		case <-a.stopped:
			return
		case <-idle.C:
			if a.removeQueueIfEmpty(address, queue) {
				return
			}
		case outbound := <-queue:
			err := a.sendMessage(address, outbound.raw)
			switch {
			case outbound.isSnapshot:
				a.enqueueTask(func() { a.member.ReportSnapshot(outbound.to, err == nil) })
			case err != nil:
				a.enqueueTask(func() { a.member.ReportUnreachable(outbound.to) })
			}
		}
	}
}

// removeQueueIfEmpty removes a queue, unless a message has just been added to it. It reports whether it did.
func (a *Agent) removeQueueIfEmpty(address string, queue chan outboundMessage) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(a.peers, address)
	return true
}

// sendMessage sends one message, and returns nil once the other member has accepted it.
func (a *Agent) sendMessage(address string, raw []byte) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/raft", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	request.Header.Set(groupHeader, a.identity.Group)
	request.Header.Set(addressHeader, a.identity.Address)
	response, err := a.httpClient.Do(request)
	if err != nil {
		return err
	}
	defer closeBody(response)
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes)); err != nil {
		return err
	}
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// closeBody closes the body of a response. Errors are ignored, since they do not affect the data that was read.
func closeBody(response *http.Response) { _ = response.Body.Close() }

// handleRaftMessage accepts a raft message of another member. The HTTP answer only confirms that the message was
// queued; the reply of this member is a message of its own.
func (a *Agent) handleRaftMessage(w http.ResponseWriter, r *http.Request) {
	if got := r.Header.Get(groupHeader); got != a.identity.Group {
		http.Error(w, "not of this group", http.StatusForbidden)
		return
	}
	var msg pb.Message
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	if err == nil {
		err = proto.Unmarshal(raw, &msg)
	}
	if err != nil || msg.GetTo() != a.identity.ID {
		http.Error(w, "not a message for this member", http.StatusBadRequest)
		return
	}
	from := r.Header.Get(addressHeader)
	step := func() {
		if err := a.member.Step(from, &msg); err != nil {
			a.log.Warn("raft message rejected", "from", msg.GetFrom(), "err", err)
		}
	}
	if CheckAddress(from) != nil || !a.enqueueTask(step) {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
