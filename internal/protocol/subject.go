package protocol

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// AffinityKey is a hash of what a request is about, as its target's query names it in obj, taken as it stands; 0 where it
// does not.
func AffinityKey(target []byte) uint64 {
	_, query, _ := bytes.Cut(target, []byte("?"))
	for part := range bytes.SplitSeq(query, []byte("&")) {
		if obj, ok := bytes.CutPrefix(part, []byte("obj=")); ok && len(obj) > 0 {
			return xxhash.Sum64(obj)
		}
	}
	return 0
}
