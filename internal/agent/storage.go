package agent

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"tulipglade/internal/consensus"
)

// Identity says who a member is. It is written once, when its folder is created.
type Identity struct {
	Version int    `json:"form"` // of the storage
	Group   string `json:"group"`
	ID      uint64 `json:"id"`
	Address string `json:"address"` // where the other members reach it
}

const (
	storageVersion  = 1
	storageFileName = "group.db"
	// lockTimeout is for how long opening waits for another process that has the file open.
	lockTimeout = time.Second
)

// Names of the buckets and keys of the file.
var (
	metaBucket   = []byte("meta")
	logBucket    = []byte("log")
	identityKey  = []byte("identity")
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snapshot")
)

var (
	errNoStorage      = errors.New("no member lives here: make one by init or join")
	errStorageExists  = errors.New("a member lives here already; one that has lost its disk can only come as a new one")
	errNotStorage     = errors.New("not a member's file")
	errEntryMisplaced = errors.New("not in its place")
)

// marshalOptions make equal messages equal bytes.
var marshalOptions = proto.MarshalOptions{Deterministic: true}

var _ consensus.Storage = (*Storage)(nil)

// Storage is a member's folder with a bbolt file. Each Save is one transaction, which is durable when it returns.
type Storage struct {
	db       *bbolt.DB
	Identity Identity
}

// CreateStorage creates a member's folder with its initial state.
func CreateStorage(dir string, identity Identity, durable consensus.DurableState) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	path := filepath.Join(dir, storageFileName)
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("%s: %w", dir, errStorageExists)
	}
	db, err := openFile(path)
	if err != nil {
		return err
	}
	s := &Storage{db: db}
	identity.Version = storageVersion
	err = s.createBuckets(identity)
	if err == nil {
		err = s.Save(consensus.StorageUpdate{HardState: durable.HardState, Snapshot: durable.Snapshot})
	}
	return errors.Join(err, db.Close())
}

// OpenStorage opens a member's folder, which no other process may have open, and returns its state.
func OpenStorage(dir string) (*Storage, consensus.DurableState, error) {
	path := filepath.Join(dir, storageFileName)
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, consensus.DurableState{}, fmt.Errorf("%s: %w", dir, errNoStorage)
	}
	db, err := openFile(path)
	if err != nil {
		return nil, consensus.DurableState{}, err
	}
	s := &Storage{db: db}
	durable, err := s.load()
	if err != nil {
		return nil, consensus.DurableState{}, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return s, durable, nil
}

func openFile(path string) (*bbolt.DB, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return db, nil
}

// createBuckets writes the buckets and the identity of a new file.
func (s *Storage) createBuckets(identity Identity) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{metaBucket, logBucket} {
			if _, err := tx.CreateBucket(name); err != nil {
				return err
			}
		}
		raw, err := json.Marshal(identity)
		if err != nil {
			return err
		}
		return tx.Bucket(metaBucket).Put(identityKey, raw)
	})
}

// load reads the whole file.
func (s *Storage) load() (durable consensus.DurableState, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if meta == nil || log == nil {
			return errNotStorage
		}
		if err := s.loadIdentity(meta); err != nil {
			return err
		}
		durable.HardState = &pb.HardState{}
		if err := proto.Unmarshal(meta.Get(hardStateKey), durable.HardState); err != nil {
			return fmt.Errorf("hard state: %w", err)
		}
		if raw := meta.Get(snapshotKey); raw != nil {
			durable.Snapshot = &pb.Snapshot{}
			if err := proto.Unmarshal(raw, durable.Snapshot); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
		}
		entries, err := loadEntries(log)
		durable.Entries = entries
		return err
	})
	return durable, err
}

func (s *Storage) loadIdentity(meta *bbolt.Bucket) error {
	if err := json.Unmarshal(meta.Get(identityKey), &s.Identity); err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	if s.Identity.Version != storageVersion {
		return fmt.Errorf("form %d, this program reads %d", s.Identity.Version, storageVersion)
	}
	return nil
}

// loadEntries reads the log, and checks that its indexes are consecutive and agree with their keys.
func loadEntries(log *bbolt.Bucket) ([]*pb.Entry, error) {
	var entries []*pb.Entry
	nextIndex := uint64(0) // 0: any
	err := log.ForEach(func(key, value []byte) error {
		entry := &pb.Entry{}
		if err := proto.Unmarshal(value, entry); err != nil {
			return fmt.Errorf("entry: %w", err)
		}
		index := entry.GetIndex()
		if len(key) != 8 || binary.BigEndian.Uint64(key) != index || nextIndex != 0 && index != nextIndex {
			return fmt.Errorf("entry %d: %w", index, errEntryMisplaced)
		}
		nextIndex = index + 1
		entries = append(entries, entry)
		return nil
	})
	return entries, err
}

// Save applies an update in one transaction.
func (s *Storage) Save(update consensus.StorageUpdate) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := saveMeta(tx.Bucket(metaBucket), update); err != nil {
			return err
		}
		return saveEntries(tx.Bucket(logBucket), update)
	})
}

func saveMeta(meta *bbolt.Bucket, update consensus.StorageUpdate) error {
	if update.HardState != nil {
		if err := putMessage(meta, hardStateKey, update.HardState); err != nil {
			return err
		}
	}
	if update.Snapshot != nil {
		return putMessage(meta, snapshotKey, update.Snapshot)
	}
	return nil
}

func saveEntries(log *bbolt.Bucket, update consensus.StorageUpdate) error {
	lastDeleted := update.CompactIndex
	if update.ReplaceLog {
		lastDeleted = math.MaxUint64
	}
	if err := deleteEntries(log, 0, lastDeleted); err != nil {
		return err
	}
	if len(update.Entries) == 0 {
		return nil
	}
	if err := deleteEntries(log, update.Entries[0].GetIndex(), math.MaxUint64); err != nil {
		return err
	}
	for _, entry := range update.Entries {
		if err := putMessage(log, entryKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

func putMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	raw, err := marshalOptions.Marshal(message)
	if err != nil {
		return err
	}
	return bucket.Put(key, raw)
}

// entryKey returns the key of an entry: keys sort as their indexes do.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// deleteEntries deletes the entries with these indexes, both included.
func deleteEntries(log *bbolt.Bucket, first, last uint64) error {
	cursor := log.Cursor()
	start := entryKey(first)
	for key, _ := cursor.Seek(start); key != nil && binary.BigEndian.Uint64(key) <= last; key, _ = cursor.Seek(start) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the folder.
func (s *Storage) Close() error { return s.db.Close() }
