package protocol

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// AffinityKey is a hash of the object that a request concerns: the value of obj in its target's query, not decoded. It is
// 0 where there is none.
func AffinityKey(target []byte) uint64 {
	_, query, _ := bytes.Cut(target, []byte("?"))
	for part := range bytes.SplitSeq(query, []byte("&")) {
		if obj, ok := bytes.CutPrefix(part, []byte("obj=")); ok && len(obj) > 0 {
			return xxhash.Sum64(obj)
		}
	}
	return 0
}
