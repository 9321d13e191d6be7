package node

import "github.com/cespare/xxhash/v2"

// maxTombstones bounds the removed endpoints that are remembered by tombstones.
const maxTombstones = 4096

// tombstones remember endpoints that have been deleted from the registry, so that an outdated list can't restore them
// however late it comes. The oldest are dropped first.
type tombstones struct {
	bootMillis     map[uint64]int64 // start of the endpoint's last process, by the hash of its UID
	insertionOrder []uint64
}

// add remembers a deleted endpoint.
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

// contains reports whether an endpoint is known to have been removed and not restarted since.
func (t *tombstones) contains(uid string, bootMillis int64) bool {
	last, known := t.bootMillis[xxhash.Sum64String(uid)]
	return known && bootMillis <= last
}
