package consensus

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"tulipglade/internal/lease"
)

// Log entries and a snapshot, byte for byte as commit f2517d9 wrote them. Groups hold data in this form, and members of
// older builds read it.
const (
	storedAcquire       = `{"by":1,"life":15205841957720470382,"seq":4,"kind":1,"name":"rollout","who":"a","ask":463172840997,"ticks":308}`
	storedRenew         = `{"by":1,"life":15205841957720470382,"seq":4,"kind":2,"name":"rollout","token":2,"ticks":9}`
	storedSetMaxHolders = `{"by":1,"life":15205841957720470382,"seq":4,"kind":4,"name":"rollout","most":2}`
	storedNote          = `{"by":1,"life":15205841957720470382,"seq":4,"kind":5,"name":"rollout","token":2,"text":"a note"}`
	storedTick          = `{"by":1,"life":15205841957720470382,"seq":0,"kind":0}`
	storedChange        = `{"by":1,"life":15205841957720470382,"seq":4,"add":{"4":"127.0.0.1:17104","5":"127.0.0.1:17105"},"leave":[1,2]}`
	storedLaterStep     = `{"by":0,"life":0,"seq":0}` // a later step of a change of members has no request

	storedSnapshot = `{"version":1,"terms":{"Interval":200000000,"Drift":0.01},` +
		`"members":{"1":"127.0.0.1:17101","2":"127.0.0.1:17102","3":"127.0.0.1:17103"},"highest":3,"leaving":[1,2],` +
		`"leases":{"version":1,"tick":1,"token":2,"leases":{"rollout":{"most":2,"held":[` +
		`{"name":"rollout","seat":0,"who":"a","ask":7,"token":1,"till":308},` +
		`{"name":"rollout","seat":1,"who":"b","ask":8,"token":2,"till":30}],"note":"a note"}}}}`
)

// checkEncoding checks that stored bytes decode to a value, and that the value encodes to the same bytes.
func checkEncoding[T any](t *testing.T, stored string, want T) {
	t.Helper()
	var decoded T
	if err := json.Unmarshal([]byte(stored), &decoded); err != nil {
		t.Fatalf("%s: %v", stored, err)
	}
	if !reflect.DeepEqual(decoded, want) {
		t.Errorf("%s: decoded as %+v, want %+v", stored, decoded, want)
	}
	encoded, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	if string(encoded) != stored {
		t.Errorf("encoded as %s, want %s", encoded, stored)
	}
}

func TestStoredProposalsKeepTheirEncoding(t *testing.T) {
	key := requestKey{Member: 1, Incarnation: 15205841957720470382, Sequence: 4}
	tickKey := requestKey{Member: 1, Incarnation: 15205841957720470382}
	acquire := lease.Command{Kind: lease.Acquire, Name: "rollout", Holder: "a", RequestID: 463172840997, Ticks: 308}
	checkEncoding(t, storedAcquire, proposal{key, acquire})
	checkEncoding(t, storedRenew, proposal{key, lease.Command{Kind: lease.Renew, Name: "rollout", Token: 2, Ticks: 9}})
	checkEncoding(t, storedSetMaxHolders, proposal{key, lease.Command{Kind: lease.SetMaxHolders, Name: "rollout", MaxHolders: 2}})
	checkEncoding(t, storedNote, proposal{key, lease.Command{Kind: lease.SetNote, Name: "rollout", Token: 2, NoteText: "a note"}})
	checkEncoding(t, storedTick, proposal{tickKey, lease.Command{Kind: lease.Tick}})
}

func TestStoredMembershipChangesKeepTheirEncoding(t *testing.T) {
	checkEncoding(t, storedChange, membershipChange{
		requestKey: requestKey{Member: 1, Incarnation: 15205841957720470382, Sequence: 4},
		Add:        map[uint64]string{4: "127.0.0.1:17104", 5: "127.0.0.1:17105"},
		Remove:     []uint64{1, 2},
	})
	checkEncoding(t, storedLaterStep, membershipChange{})
}

// A member that starts from a stored snapshot writes the same bytes when it creates its own snapshot.
func TestStoredSnapshotKeepsItsEncoding(t *testing.T) {
	index := proto.Uint64(7)
	// A new snapshot needs a later index than the stored one, so an empty entry, as a new leader appends it, follows.
	// It changes nothing.
	entry := &pb.Entry{Index: proto.Uint64(8), Term: proto.Uint64(1), Type: pb.EntryNormal.Enum()}
	storage := &memoryStorage{DurableState: DurableState{
		HardState: &pb.HardState{Term: proto.Uint64(1), Commit: index},
		Snapshot: &pb.Snapshot{
			Data:     []byte(storedSnapshot),
			Metadata: &pb.SnapshotMetadata{Index: index, Term: proto.Uint64(1), ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}}},
		},
		Entries: []*pb.Entry{entry},
	}}
	member, err := New(Options{
		ID:            1,
		Clock:         func() time.Duration { return 0 },
		Rand:          rand.New(rand.NewPCG(1, 1)),
		Storage:       storage,
		ElectionTicks: 10,
	}, storage.DurableState)
	if err != nil {
		t.Fatal(err)
	}
	status := member.Status()
	wantMembers := map[uint64]string{1: "127.0.0.1:17101", 2: "127.0.0.1:17102", 3: "127.0.0.1:17103"}
	if !maps.Equal(status.Members, wantMembers) || status.Tick != 1 || status.Terms.Interval != 200*time.Millisecond {
		t.Errorf("restored as %+v", status)
	}
	if member.highestID != 3 || !reflect.DeepEqual(member.pendingRemovals, []uint64{1, 2}) {
		t.Errorf("highest ID %d, pending removals %v", member.highestID, member.pendingRemovals)
	}
	if len(status.Leases) != 1 || status.Leases[0].Note != "a note" || len(status.Leases[0].Grants) != 2 {
		t.Fatalf("restored leases %+v", status.Leases)
	}
	wantGrant := lease.Grant{Name: "rollout", Slot: 1, Holder: "b", RequestID: 8, Token: 2, ExpiresAt: 30}
	if got := status.Leases[0].Grants[1]; got != wantGrant {
		t.Errorf("restored grant %+v, want %+v", got, wantGrant)
	}
	if err := member.apply(entry); err != nil {
		t.Fatal(err)
	}
	storage.Snapshot = nil
	if err := member.compact(); err != nil {
		t.Fatal(err)
	}
	if got := string(storage.Snapshot.GetData()); got != storedSnapshot {
		t.Errorf("saved as %s, want %s", got, storedSnapshot)
	}
}
