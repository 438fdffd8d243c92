// Package persister stores a control replica's durable state in one file in its
// data folder. Every save is synced to disk before it returns.
package persister

import (
	"encoding/binary"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	bolt "go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/replicator"
)

const (
	fileName    = "replica.db"
	fileMode    = 0o600
	folderMode  = 0o700
	lockTimeout = 2 * time.Second
	uint64Bytes = 8
)

var (
	metaBucket  = []byte("meta")
	logBucket   = []byte("log")
	diskKey     = []byte("disk-id")
	termKey     = []byte("term")
	voteKey     = []byte("vote")
	snapshotKey = []byte("snapshot")
	allBuckets  = [][]byte{metaBucket, logBucket}
	probeKey    = []byte("probe")
	errNoDiskID = errors.New("persister: the file has no disk id")
)

// ErrUnchanged marks an error of Save or Probe after which the file still holds
// the state that it held before, so that the process may go on.
var ErrUnchanged = errors.New("the stored state is unchanged")

// A Persister stores one replica's term, vote, log and snapshot.
type Persister interface {
	// Disk returns the disk's id, which was assigned when the file was
	// created.
	Disk() string
	// Load returns the saved state. It fails if the state cannot be decoded
	// or the entries have a gap.
	Load() (replicator.DurableState, error)
	// Save writes and syncs. After an error that is not marked with ErrUnchanged
	// the process must end, as it is not known what the file holds.
	Save(save replicator.Save) error
	// Probe writes and syncs a number of bytes and deletes them again, to find out
	// whether a Save of that size would succeed. Its errors are those of Save.
	Probe(size int) error
	// Backup writes a consistent copy to a new file at path.
	Backup(path string) error
	// Close closes the file.
	Close() error
}

type persister struct {
	db   *bolt.DB
	disk string
}

// New returns a new Persister on the file in the data folder. It creates the
// folder and the file if needed. It fails if the file stays open elsewhere for
// lockTimeout.
func New(folder string) (Persister, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Wrap(err, "persister: create the data folder")
	}
	path := filepath.Join(folder, fileName)
	db, err := bolt.Open(path, fileMode, &bolt.Options{
		Timeout: lockTimeout,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "persister: open %s", path)
	}
	p := &persister{db: db}
	if err := p.initialize(); err != nil {
		return nil, errors.CombineErrors(err, db.Close())
	}
	return p, nil
}

// initialize reads the disk id. It creates the buckets and the disk id first if
// the file is new. An existing file is not written, so that a replica whose disk
// is full can start.
func (p *persister) initialize() error {
	if err := p.readDiskID(); err == nil {
		return nil
	}
	err := p.db.Update(func(tx *bolt.Tx) error {
		for _, name := range allBuckets {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return errors.Wrap(err, "create a bucket")
			}
		}
		meta := tx.Bucket(metaBucket)
		if meta.Get(diskKey) == nil {
			return errors.Wrap(meta.Put(diskKey, []byte(uuid.NewString())), "write the disk id")
		}
		return nil
	})
	if err != nil {
		return errors.Wrap(err, "persister: initialize the file")
	}
	return p.readDiskID()
}

// readDiskID reads the disk id. It returns errNoDiskID if a part of the file is
// missing.
func (p *persister) readDiskID() error {
	return p.db.View(func(tx *bolt.Tx) error {
		for _, name := range allBuckets {
			if tx.Bucket(name) == nil {
				return errNoDiskID
			}
		}
		p.disk = string(tx.Bucket(metaBucket).Get(diskKey))
		if p.disk == "" {
			return errNoDiskID
		}
		return nil
	})
}

// Disk implements Persister.
func (p *persister) Disk() string {
	return p.disk
}

// Load implements Persister.
func (p *persister) Load() (replicator.DurableState, error) {
	durable := replicator.DurableState{}
	err := p.db.View(func(tx *bolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		durable.Term = decodeUint64(meta.Get(termKey))
		durable.Vote = string(meta.Get(voteKey))
		if data := meta.Get(snapshotKey); data != nil {
			durable.Snapshot = &messenger.Snapshot{}
			if err := proto.Unmarshal(data, durable.Snapshot); err != nil {
				return errors.Wrap(err, "read the snapshot")
			}
		}
		return tx.Bucket(logBucket).ForEach(func(_, data []byte) error {
			entry := &messenger.Entry{}
			if err := proto.Unmarshal(data, entry); err != nil {
				return errors.Wrap(err, "read an entry")
			}
			durable.Entries = append(durable.Entries, entry)
			return nil
		})
	})
	if err != nil {
		return replicator.DurableState{}, errors.Wrap(err, "persister: load")
	}
	return durable, checkOrder(durable)
}

// checkOrder returns an error unless the entries follow the snapshot without a
// gap.
func checkOrder(durable replicator.DurableState) error {
	next := durable.Snapshot.GetIndex() + 1
	for _, e := range durable.Entries {
		if e.GetIndex() != next {
			return errors.Newf("persister: load: found entry %d where entry %d is expected", e.GetIndex(), next)
		}
		next++
	}
	return nil
}

// update runs a transaction. If it fails and the file's last transaction is still
// the one before, the error is marked with ErrUnchanged: pages that a failed
// transaction wrote are not referenced. Otherwise the error came after the file
// began to refer to the new pages, and it is not known which of them are on disk.
func (p *persister) update(write func(tx *bolt.Tx) error) error {
	before, err := p.lastTransaction()
	if err != nil {
		return err
	}
	err = p.db.Update(write)
	if err == nil {
		return nil
	}
	after, readErr := p.lastTransaction()
	if readErr == nil && after == before {
		err = errors.Mark(err, ErrUnchanged)
	}
	return err
}

// lastTransaction returns the id of the file's last transaction.
func (p *persister) lastTransaction() (int, error) {
	id := 0
	err := p.db.View(func(tx *bolt.Tx) error {
		id = tx.ID()
		return nil
	})
	return id, errors.Wrap(err, "read the transaction id")
}

// Probe implements Persister.
func (p *persister) Probe(size int) error {
	err := p.update(func(tx *bolt.Tx) error {
		return tx.Bucket(metaBucket).Put(probeKey, make([]byte, size))
	})
	if err == nil {
		err = p.update(func(tx *bolt.Tx) error {
			return tx.Bucket(metaBucket).Delete(probeKey)
		})
	}
	return errors.Wrap(err, "persister: probe")
}

// Save implements Persister.
func (p *persister) Save(save replicator.Save) error {
	err := p.update(func(tx *bolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if err := meta.Put(termKey, encodeUint64(save.Term)); err != nil {
			return errors.Wrap(err, "write the term")
		}
		if err := meta.Put(voteKey, []byte(save.Vote)); err != nil {
			return errors.Wrap(err, "write the vote")
		}
		if err := saveSnapshot(tx, save); err != nil {
			return err
		}
		return saveEntries(tx.Bucket(logBucket), save)
	})
	return errors.Wrap(err, "persister: save")
}

func saveSnapshot(tx *bolt.Tx, save replicator.Save) error {
	if save.Snapshot == nil {
		return nil
	}
	data, err := proto.Marshal(save.Snapshot)
	if err != nil {
		return errors.Wrap(err, "encode the snapshot")
	}
	if err := tx.Bucket(metaBucket).Put(snapshotKey, data); err != nil {
		return errors.Wrap(err, "write the snapshot")
	}
	last := save.Snapshot.GetIndex()
	if save.Reset {
		last = math.MaxUint64
	}
	return deleteEntries(tx.Bucket(logBucket), 0, last)
}

// deleteEntries deletes all entries from first to last, both included.
func deleteEntries(log *bolt.Bucket, first, last uint64) error {
	var keys [][]byte
	c := log.Cursor()
	for k, _ := c.Seek(encodeUint64(first)); k != nil && decodeUint64(k) <= last; k, _ = c.Next() {
		keys = append(keys, slices.Clone(k))
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return errors.Wrap(err, "delete an entry")
		}
	}
	return nil
}

func saveEntries(log *bolt.Bucket, save replicator.Save) error {
	if save.From == 0 {
		return nil
	}
	if err := deleteEntries(log, save.From, math.MaxUint64); err != nil {
		return err
	}
	for _, e := range save.Entries {
		data, err := proto.Marshal(e)
		if err != nil {
			return errors.Wrap(err, "encode an entry")
		}
		if err := log.Put(encodeUint64(e.GetIndex()), data); err != nil {
			return errors.Wrap(err, "write an entry")
		}
	}
	return nil
}

// Backup implements Persister.
func (p *persister) Backup(path string) error {
	err := p.db.View(func(tx *bolt.Tx) error {
		return errors.Wrap(tx.CopyFile(path, fileMode), "copy")
	})
	return errors.Wrapf(err, "persister: back up to %s", path)
}

// Close implements Persister.
func (p *persister) Close() error {
	return errors.Wrap(p.db.Close(), "persister: close")
}

func encodeUint64(n uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, n)
}

func decodeUint64(data []byte) uint64 {
	if len(data) != uint64Bytes {
		return 0
	}
	return binary.BigEndian.Uint64(data)
}
