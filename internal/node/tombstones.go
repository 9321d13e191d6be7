package node

import "github.com/cespare/xxhash/v2"

// maxTombstones bounds the number of endpoints that the tombstones remember.
const maxTombstones = 4096

// tombstones remembers endpoints that have been deleted from the registry, so that an outdated list can't restore
// them, however late it arrives. The oldest ones are dropped first.
type tombstones struct {
	bootMillis     map[uint64]int64 // start of the endpoint's last process in Unix milliseconds, by the hash of its UID
	insertionOrder []uint64         // keys of bootMillis, the oldest first
}

// add remembers an endpoint that has been deleted, and drops the oldest one beyond maxTombstones.
func (t *tombstones) add(uid string, bootMillis int64) {
	if t.bootMillis == nil {
		t.bootMillis = map[uint64]int64{}
	}
	key := xxhash.Sum64String(uid)
	if _, known := t.bootMillis[key]; !known {
		t.insertionOrder = append(t.insertionOrder, key)
	}
	t.bootMillis[key] = bootMillis
	if len(t.insertionOrder) > maxTombstones {
		delete(t.bootMillis, t.insertionOrder[0])
		t.insertionOrder = t.insertionOrder[1:]
	}
}

// contains reports whether an endpoint is known to have been removed, and to have no newer process than the one that
// was removed.
func (t *tombstones) contains(uid string, bootMillis int64) bool {
	last, known := t.bootMillis[xxhash.Sum64String(uid)]
	return known && bootMillis <= last
}
