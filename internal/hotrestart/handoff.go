// Package hotrestart hands a node's listening socket and state over from one process to its successor on the same
// machine, through a Unix socket on which the predecessor listens.
//
// The successor connects and sends a greeting. The predecessor answers with a header (magic, length, checksum), which
// carries the file descriptor of the listening socket, and a body. The successor then reports that it accepts clients.
// The connection stays open until one of the processes exits, so that each detects the exit of the other. If any step
// fails, the successor starts without a handoff, and the predecessor continues to serve.
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

// HandoffTimeout bounds the whole handoff on the successor's side, from connecting to the last byte of the body. The
// predecessor sets the same limit for its side of the exchange.
const HandoffTimeout = 500 * time.Millisecond

// Constants of the wire format. A successor that uses another version of it sends another greeting, and the predecessor
// closes the connection without an answer.
const (
	greeting      = "tulipglade hand-over 1\n"
	magic         = "TGH1"
	lengthSize    = 4
	checksumSize  = 8
	headerSize    = len(magic) + lengthSize + checksumSize
	maxBodySize   = 8 << 20
	servingReport = 'S'
)

// maxPathLength bounds the path of the Unix socket. The operating system accepts 107 bytes.
const maxPathLength = 100

// noDescriptor is the value of Handoff.ListenerFD before the descriptor has been received.
const noDescriptor = -1

var (
	errNoDirectory      = errors.New("no directory for the handoff socket: $TMPDIR is not set")
	errVersionMismatch  = errors.New("handoff has an unknown format or version")
	errChecksumMismatch = errors.New("handoff corrupted: checksum mismatch")
	errNoDescriptor     = errors.New("handoff carries no file descriptor")
)

// SocketPath returns the path of the Unix socket on which a node offers its handoff. It is derived from the name and
// the listen address of the node, as several nodes may share the directory.
func SocketPath(dir, name, listen string) (string, error) {
	if dir == "" {
		return "", errNoDirectory
	}
	id := strconv.FormatUint(xxhash.Sum64String(name+"|"+listen), 16)
	path := filepath.Join(dir, "tulipglade-"+id+".sock")
	if len(path) > maxPathLength {
		return "", fmt.Errorf("%s: the socket path is longer than %d bytes", path, maxPathLength)
	}
	return path, nil
}

// encodeHeader returns the header that is sent before body.
func encodeHeader(body []byte) []byte {
	header := make([]byte, 0, headerSize)
	header = append(header, magic...)
	header = binary.BigEndian.AppendUint32(header, uint32(len(body)))
	return binary.BigEndian.AppendUint64(header, xxhash.Sum64(body))
}

// decodeHeader returns the length and the checksum of the body that follows header.
func decodeHeader(header []byte) (length int, checksum uint64, err error) {
	size := binary.BigEndian.Uint32(header[len(magic):])
	if string(header[:len(magic)]) != magic || size > maxBodySize {
		return 0, 0, errVersionMismatch
	}
	return int(size), binary.BigEndian.Uint64(header[len(magic)+lengthSize:]), nil
}
