package consensus

import (
	"fmt"
	"strconv"
	"strings"

	"go.etcd.io/raft/v3"

	"tulipglade/internal/lease"
)

// pendingRead is a read that may be answered once the entry at index has been applied.
type pendingRead struct{ sequence, index uint64 }

// ReadIndex performs a linearizable read. It calls reply with nil once Status includes everything that the group agreed
// on before this call, or with an error if this member can't establish that.
func (m *Member) ReadIndex(reply func(error)) {
	sequence, err := m.register(request{readReply: reply})
	if err != nil {
		reply(err)
		return
	}
	m.node.ReadIndex(fmt.Appendf(nil, "%d-%d", m.incarnation, sequence))
}

// addReadStates adds the reads of this process that raft has confirmed, each with its index, to the pending ones.
func (m *Member) addReadStates(states []raft.ReadState) {
	for _, state := range states {
		incarnation, number, _ := strings.Cut(string(state.RequestCtx), "-")
		sequence, err := strconv.ParseUint(number, 10, 64)
		if err == nil && incarnation == strconv.FormatUint(m.incarnation, 10) {
			m.pendingReads = append(m.pendingReads, pendingRead{sequence, state.Index})
		}
	}
}

// answerReads answers the pending reads whose index has been applied. They are sorted by index, because raft confirms
// reads in that order.
func (m *Member) answerReads() {
	for len(m.pendingReads) > 0 && m.appliedIndex >= m.pendingReads[0].index {
		sequence := m.pendingReads[0].sequence
		m.pendingReads = m.pendingReads[1:]
		m.answer(sequence, lease.Grant{}, nil)
	}
}
