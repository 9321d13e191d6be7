package daemon

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"tulipglade/internal/node"
)

// listeningInode returns the inode of the socket that listens at an IPv4 address.
func listeningInode(t *testing.T, address string) string {
	t.Helper()
	_, port, _ := strings.Cut(address, ":")
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	const localAddress, state, inode, listening = 1, 3, 9, "0A" // fields of a line, and a value of state
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if strings.HasSuffix(fields[localAddress], fmt.Sprintf(":%04X", number)) && fields[state] == listening {
			return fields[inode]
		}
	}
	t.Fatalf("no socket listens at %s", address)
	return ""
}

// epollEntries returns how many entries for the socket with an inode the epoll instances of this process have.
func epollEntries(t *testing.T, inode string) (entries int) {
	t.Helper()
	infos, err := filepath.Glob("/proc/self/fdinfo/*")
	if err != nil {
		t.Fatal(err)
	}
	number, err := strconv.ParseInt(inode, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range infos {
		info, _ := os.ReadFile(path) // the descriptor may have been closed meanwhile
		for line := range strings.Lines(string(info)) {
			if strings.HasPrefix(line, "tfd:") && strings.Contains(line, fmt.Sprintf(" ino:%x ", number)) {
				entries++
			}
		}
	}
	return entries
}

// TestStoppedPredecessorLeavesPoller guards against a poller that goes on to report the events of a closed listener,
// because the successor shares its socket: what it then does with the number concerns another descriptor.
func TestStoppedPredecessorLeavesPoller(t *testing.T) {
	text := hotRestartConfig(t)
	process, address, _ := startTestProcess(t, text)
	inode := listeningInode(t, address)
	successor, _, _ := startTestProcess(t, text)
	process.log.await(t, "successor serving")
	process.stop(t)
	if entries := epollEntries(t, inode); entries != 1 {
		t.Errorf("%d entries of the poller for the listening socket, want that of the successor only", entries)
	}
	successor.stop(t)
}

// TestFailedExportIsLogged guards against a hot restart that fails without a trace in the predecessor's log.
func TestFailedExportIsLogged(t *testing.T) {
	t.Parallel()
	log := make(logLines, 10)
	stuck, err := node.New(parseConfig(t, validConfig).Node, nil, log.logger()) // its event loop does not run
	if err != nil {
		t.Fatal(err)
	}
	role := &predecessorRole{node: stuck, log: log.logger()}
	if _, _, err := role.ExportHandoff(); !errors.Is(err, errExportTimeout) {
		t.Error(err)
	}
	log.await(t, "handoff failed")
}
