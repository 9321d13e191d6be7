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

// Identity is who a member is. It is written once, when its folder is made.
type Identity struct {
	Version int    `json:"form"` // of the file
	Group   string `json:"group"`
	ID      uint64 `json:"id"`
	Address string `json:"address"` // where the others reach it
}

const (
	form     = 1
	fileName = "group.db"
)

var (
	meta, entries                              = []byte("meta"), []byte("log")
	keyWho, keyHard, keySnap                   = []byte("identity"), []byte("hard"), []byte("snapshot")
	errNoFile                                  = errors.New("no member lives here: make one by init or join")
	errThere                                   = errors.New("a member lives here already; one that has lost its disk can only come as a new one")
	lockWithin                                 = time.Second
	marshal                                    = proto.MarshalOptions{Deterministic: true}
	_                        consensus.Storage = (*Storage)(nil)
)

// Storage is a member's folder, in bbolt: each Save is one transaction, and on the medium when it returns.
type Storage struct {
	db       *bbolt.DB
	Identity Identity
}

// Create makes a member's folder with what it keeps at first.
func Create(dir string, who Identity, kept consensus.DurableState) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	path := filepath.Join(dir, fileName)
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("%s: %w", dir, errThere)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWithin})
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	d := &Storage{db: db}
	who.Version = form
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{meta, entries} {
			if _, err := tx.CreateBucket(name); err != nil {
				return err
			}
		}
		raw, err := json.Marshal(who)
		if err != nil {
			return err
		}
		return tx.Bucket(meta).Put(keyWho, raw)
	})
	if err == nil {
		err = d.Save(consensus.StorageUpdate{HardState: kept.HardState, Snapshot: kept.Snapshot})
	}
	return errors.Join(err, db.Close())
}

// Open opens a member's folder, which nobody else may have open, and returns what it keeps.
func Open(dir string) (*Storage, consensus.DurableState, error) {
	path := filepath.Join(dir, fileName)
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, consensus.DurableState{}, fmt.Errorf("%s: %w", dir, errNoFile)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWithin})
	if err != nil {
		return nil, consensus.DurableState{}, fmt.Errorf("%s: %w", path, err)
	}
	d := &Storage{db: db}
	kept, err := d.load()
	if err != nil {
		return nil, consensus.DurableState{}, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return d, kept, nil
}

func (d *Storage) load() (kept consensus.DurableState, err error) {
	err = d.db.View(func(tx *bbolt.Tx) error {
		m, log := tx.Bucket(meta), tx.Bucket(entries)
		if m == nil || log == nil {
			return errors.New("not a member's file")
		}
		if err := json.Unmarshal(m.Get(keyWho), &d.Identity); err != nil {
			return fmt.Errorf("identity: %w", err)
		}
		if d.Identity.Version != form {
			return fmt.Errorf("form %d, this program reads %d", d.Identity.Version, form)
		}
		kept.HardState = &pb.HardState{}
		if err := proto.Unmarshal(m.Get(keyHard), kept.HardState); err != nil {
			return fmt.Errorf("hard state: %w", err)
		}
		if raw := m.Get(keySnap); raw != nil {
			kept.Snapshot = &pb.Snapshot{}
			if err := proto.Unmarshal(raw, kept.Snapshot); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
		}
		next := uint64(0)
		return log.ForEach(func(k, v []byte) error {
			e := &pb.Entry{}
			if err := proto.Unmarshal(v, e); err != nil {
				return fmt.Errorf("entry: %w", err)
			}
			if len(k) != 8 || binary.BigEndian.Uint64(k) != e.GetIndex() || next != 0 && e.GetIndex() != next {
				return fmt.Errorf("entry %d: not in its place", e.GetIndex())
			}
			next = e.GetIndex() + 1
			kept.Entries = append(kept.Entries, e)
			return nil
		})
	})
	return kept, err
}

// Save writes in one transaction.
func (d *Storage) Save(w consensus.StorageUpdate) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		m, log := tx.Bucket(meta), tx.Bucket(entries)
		put := func(b *bbolt.Bucket, key []byte, v proto.Message) error {
			raw, err := marshal.Marshal(v)
			if err != nil {
				return err
			}
			return b.Put(key, raw)
		}
		if w.HardState != nil {
			if err := put(m, keyHard, w.HardState); err != nil {
				return err
			}
		}
		if w.Snapshot != nil {
			if err := put(m, keySnap, w.Snapshot); err != nil {
				return err
			}
		}
		last := uint64(math.MaxUint64)
		if !w.ReplaceLog {
			last = w.CompactBefore
		}
		if err := drop(log, 0, last); err != nil {
			return err
		}
		if len(w.Entries) > 0 {
			if err := drop(log, w.Entries[0].GetIndex(), math.MaxUint64); err != nil {
				return err
			}
		}
		for _, e := range w.Entries {
			if err := put(log, key(e.GetIndex()), e); err != nil {
				return err
			}
		}
		return nil
	})
}

func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// drop deletes the entries of these indexes, both included.
func drop(log *bbolt.Bucket, from, to uint64) error {
	c := log.Cursor()
	for k, _ := c.Seek(key(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Seek(key(from)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Close lets the folder go.
func (d *Storage) Close() error { return d.db.Close() }
