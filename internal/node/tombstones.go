package node

import (
	"github.com/cespare/xxhash/v2"
)

// maxTombstones bounds the hosts that are remembered only as gone.
const maxTombstones = 4096

// tombstones are hosts that have been gone for so long that nothing else is kept of them: a list that is older than the last must not bring them
// back, however late it comes. The oldest are dropped first.
type tombstones struct {
	bootMillis map[uint64]int64 // when the host's last process started, by the hash of its id
	order      []uint64
}

func (t *tombstones) add(uid string, bootMillis int64) {
	if t.bootMillis == nil {
		t.bootMillis = map[uint64]int64{}
	}
	key := xxhash.Sum64String(uid)
	if _, known := t.bootMillis[key]; !known {
		t.order = append(t.order, key)
	}
	t.bootMillis[key] = bootMillis
	if len(t.order) > maxTombstones {
		delete(t.bootMillis, t.order[0])
		t.order = t.order[1:]
	}
}

// has tells whether a host is known to have gone, and has not started again since.
func (t *tombstones) has(uid string, bootMillis int64) bool {
	last, known := t.bootMillis[xxhash.Sum64String(uid)]
	return known && bootMillis <= last
}
