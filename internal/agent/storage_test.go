package agent

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"tulipglade/internal/consensus"
	"tulipglade/internal/lease"
)

// After any updates, what is read after a restart is what DurableState.EntriesAfter gives.
func TestStorageReturnsWhatWasSaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "storage")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(dir) }() // in the system's folder for temporary files
		want, err := consensus.Bootstrap(map[uint64]string{1: "127.0.0.1:1"}, lease.Terms{})
		if err != nil {
			t.Fatal(err)
		}
		identity := Identity{Version: storageVersion, Group: "g", ID: 1, Address: "127.0.0.1:1"}
		if err := CreateStorage(dir, identity, want); err != nil {
			t.Fatal(err)
		}
		log := drawnLog{compacted: 1, last: 1}
		for range rapid.IntRange(0, 3).Draw(t, "restarts") {
			storage, got, err := OpenStorage(dir)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got, protocmp.Transform(), cmpopts.EquateEmpty()); diff != "" || storage.Identity != identity {
				t.Fatal(diff, storage.Identity)
			}
			for range rapid.IntRange(1, 8).Draw(t, "writes") {
				update := log.drawUpdate(t)
				if err := storage.Save(update); err != nil {
					t.Fatal(err)
				}
				want = want.Apply(update)
			}
			if err := storage.Close(); err != nil {
				t.Fatal(err)
			}
		}
		storage, got, err := OpenStorage(dir)
		if err != nil {
			t.Fatal(err)
		}
		defer closeStorage(t, storage)
		if diff := cmp.Diff(want, got, protocmp.Transform(), cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// drawnLog are the indexes of a log that drawn updates make.
type drawnLog struct {
	compacted uint64 // up to this index entries may be gone
	last      uint64
}

// drawUpdate draws an update that a member could save next.
func (l *drawnLog) drawUpdate(t *rapid.T) consensus.StorageUpdate {
	var update consensus.StorageUpdate
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		term := rapid.Uint64().Draw(t, "term")
		update.HardState = &pb.HardState{Term: proto.Uint64(term), Commit: proto.Uint64(l.compacted)}
	case 1: // a snapshot of this member
		l.compacted = rapid.Uint64Range(l.compacted, l.last).Draw(t, "before")
		update.CompactIndex = l.compacted
		update.Snapshot = testSnapshot(l.last)
	case 2: // a snapshot of another member
		l.last += rapid.Uint64Range(1, 300).Draw(t, "ahead")
		l.compacted = l.last
		update.ReplaceLog = true
		update.Snapshot = testSnapshot(l.last)
	}
	count := rapid.IntRange(0, 5).Draw(t, "entries")
	if count == 0 {
		return update
	}
	first := rapid.Uint64Range(l.compacted+1, l.last+1).Draw(t, "first")
	for i := range uint64(count) {
		update.Entries = append(update.Entries, &pb.Entry{
			Index: proto.Uint64(first + i),
			Term:  proto.Uint64(2),
			Type:  pb.EntryNormal.Enum(),
			Data:  []byte(rapid.String().Draw(t, "data")),
		})
	}
	l.last = first + uint64(count) - 1
	return update
}

// closeStorage closes a storage, and fails the test if that fails.
func closeStorage(t rapid.TB, storage *Storage) {
	t.Helper()
	if err := storage.Close(); err != nil {
		t.Error(err)
	}
}

func testSnapshot(index uint64) *pb.Snapshot {
	return &pb.Snapshot{Data: []byte("x"), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(index), Term: proto.Uint64(1)}}
}

// A folder is opened by one process at a time and is never overwritten, and an error is one line.
func TestStorageFolderErrors(t *testing.T) {
	dir := t.TempDir()
	if _, _, err := OpenStorage(dir); !errors.Is(err, errNoStorage) {
		t.Error("an empty folder:", err)
	}
	if err := CreateStorage(dir, Identity{ID: 1}, consensus.EmptyState()); err != nil {
		t.Fatal(err)
	}
	if err := CreateStorage(dir, Identity{ID: 1}, consensus.EmptyState()); !errors.Is(err, errStorageExists) {
		t.Error("created twice:", err)
	}
	storage, _, err := OpenStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStorage(t, storage)
	if _, _, err := OpenStorage(dir); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Error("opened twice:", err)
	}
	other := t.TempDir()
	if err := os.WriteFile(filepath.Join(other, storageFileName), []byte(strings.Repeat("no file of ours", 1000)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := OpenStorage(other); err == nil || strings.Contains(err.Error(), "\n") {
		t.Error("a file of another kind:", err)
	}
}
