package protocol

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// AffinityKey returns a hash of the object that a request concerns: the value of the query parameter obj in the request
// target, without percent-decoding. It returns 0 if the target has no such parameter or the value is empty.
func AffinityKey(target []byte) uint64 {
	_, query, _ := bytes.Cut(target, []byte("?"))
	for part := range bytes.SplitSeq(query, []byte("&")) {
		if obj, ok := bytes.CutPrefix(part, []byte("obj=")); ok && len(obj) > 0 {
			return xxhash.Sum64(obj)
		}
	}
	return 0
}
