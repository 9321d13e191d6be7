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

// Whatever is written, in whatever order, what is read after a restart is what group.Kept says.
func TestDiskKeepsWhatWasSaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "disk")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		want, err := consensus.Bootstrap(map[uint64]string{1: "127.0.0.1:1"}, lease.Terms{})
		if err != nil {
			t.Fatal(err)
		}
		who := Identity{Version: form, Group: "g", ID: 1, Address: "127.0.0.1:1"}
		if err := Create(dir, who, want); err != nil {
			t.Fatal(err)
		}
		last, before := uint64(1), uint64(1)
		for range rapid.IntRange(0, 3).Draw(t, "lives") {
			d, got, err := Open(dir)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got, protocmp.Transform(), cmpopts.EquateEmpty()); diff != "" || d.Identity != who {
				t.Fatal(diff, d.Identity)
			}
			for range rapid.IntRange(1, 8).Draw(t, "writes") {
				var w consensus.StorageUpdate
				switch rapid.IntRange(0, 3).Draw(t, "kind") {
				case 0:
					w.HardState = &pb.HardState{Term: proto.Uint64(rapid.Uint64().Draw(t, "term")), Commit: proto.Uint64(before)}
				case 1: // a snapshot of its own
					before = rapid.Uint64Range(before, last).Draw(t, "before")
					w.CompactBefore, w.Snapshot = before, snap(last)
				case 2: // one of another's
					last += rapid.Uint64Range(1, 300).Draw(t, "ahead")
					before, w.ReplaceLog, w.Snapshot = last, true, snap(last)
				}
				if n := rapid.IntRange(0, 5).Draw(t, "entries"); n > 0 {
					first := rapid.Uint64Range(before+1, last+1).Draw(t, "first")
					for i := range uint64(n) {
						w.Entries = append(w.Entries, &pb.Entry{Index: proto.Uint64(first + i), Term: proto.Uint64(2), Type: pb.EntryNormal.Enum(),
							Data: []byte(rapid.String().Draw(t, "data"))})
					}
					last = first + uint64(n) - 1
				}
				if err := d.Save(w); err != nil {
					t.Fatal(err)
				}
				want = want.EntriesAfter(w)
			}
			if err := d.Close(); err != nil {
				t.Fatal(err)
			}
		}
		d, got, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		defer d.Close()
		if diff := cmp.Diff(want, got, protocmp.Transform(), cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

func snap(index uint64) *pb.Snapshot {
	return &pb.Snapshot{Data: []byte("x"), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(index), Term: proto.Uint64(1)}}
}

// A folder is one member's, and is not made anew over one that is there; what can't be read is said in one line.
func TestFolders(t *testing.T) {
	dir := t.TempDir()
	if _, _, err := Open(dir); !errors.Is(err, errNoFile) {
		t.Error("an empty folder:", err)
	}
	if err := Create(dir, Identity{ID: 1}, consensus.EmptyState()); err != nil {
		t.Fatal(err)
	}
	if err := Create(dir, Identity{ID: 1}, consensus.EmptyState()); !errors.Is(err, errThere) {
		t.Error("made twice:", err)
	}
	d, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	if _, _, err := Open(dir); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Error("open twice:", err)
	}
	other := t.TempDir()
	if err := os.WriteFile(filepath.Join(other, fileName), []byte(strings.Repeat("no file of ours", 1000)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(other); err == nil || strings.Contains(err.Error(), "\n") {
		t.Error("another's file:", err)
	}
}
