// Package hotrestart passes a node's listening socket and state from one process to its successor on the same
// machine, over a Unix socket that the predecessor offers.
//
// The successor sends a greeting; the predecessor answers with a head (magic, length, checksum), which carries the
// descriptor of the listening socket, and a body. The successor then reports that it serves. The connection stays open
// until one of them ends, so that each notices the other's end. Whatever fails, the successor starts on its own, and the
// predecessor serves on.
package hotrestart

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HandoffTimeout bounds all that the successor waits for.
const HandoffTimeout = 500 * time.Millisecond

// The form of the exchange. A successor of another version sends another greeting, and gets nothing.
const (
	greeting      = "tulipglade hand-over 1\n"
	magic         = "TGH1"
	lengthSize    = 4
	checksumSize  = 8
	headerSize    = len(magic) + lengthSize + checksumSize
	maxBodySize   = 8 << 20
	servingReport = 'S'
)

// maxPathLength bounds the path of the Unix socket; the system accepts 107 bytes.
const maxPathLength = 100

// noDescriptor stands for a listener that has not been received.
const noDescriptor = -1

var (
	errNoDirectory      = errors.New("no folder: $TMPDIR is not set")
	errVersionMismatch  = errors.New("handoff of another version")
	errChecksumMismatch = errors.New("handoff damaged: the checksum differs")
	errNoDescriptor     = errors.New("handoff without a descriptor")
)

// SocketPath is where a node offers its handoff, by its name and address: other nodes may share the directory.
func SocketPath(dir, name, listen string) (string, error) {
	if dir == "" {
		return "", errNoDirectory
	}
	id := strconv.FormatUint(xxhash.Sum64String(name+"|"+listen), 16)
	path := filepath.Join(dir, "tulipglade-"+id+".sock")
	if len(path) > maxPathLength {
		return "", fmt.Errorf("%s: longer than %d bytes", path, maxPathLength)
	}
	return path, nil
}

// encodeHeader returns the head in front of a body.
func encodeHeader(body []byte) []byte {
	header := make([]byte, 0, headerSize)
	header = append(header, magic...)
	header = binary.BigEndian.AppendUint32(header, uint32(len(body)))
	return binary.BigEndian.AppendUint64(header, xxhash.Sum64(body))
}

// decodeHeader returns the length and the checksum of the body behind a head.
func decodeHeader(header []byte) (length int, checksum uint64, err error) {
	size := binary.BigEndian.Uint32(header[len(magic):])
	if string(header[:len(magic)]) != magic || size > maxBodySize {
		return 0, 0, errVersionMismatch
	}
	return int(size), binary.BigEndian.Uint64(header[len(magic)+lengthSize:]), nil
}
