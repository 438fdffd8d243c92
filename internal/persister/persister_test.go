package persister

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/replicator"
)

func entries(term uint64, from, to uint64) []*messenger.Entry {
	var list []*messenger.Entry
	for i := from; i <= to; i++ {
		list = append(list, &messenger.Entry{
			Index: i,
			Term:  term,
		})
	}
	return list
}

// TestSaveAndLoad writes, replaces and compacts entries, and loads them again
// after the file was closed. A backup must have the same disk id.
func TestSaveAndLoad(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	p, err := New(folder)
	is.NoErr(err)
	disk := p.Disk()
	for _, save := range []replicator.Save{
		{Term: 1, Vote: "a", From: 1, Entries: entries(1, 1, 300)},
		{Term: 2, From: 250, Entries: entries(2, 250, 260)},
		{Term: 2, Snapshot: &messenger.Snapshot{Index: 255, Term: 2}},
	} {
		is.NoErr(p.Save(save))
	}
	backup := filepath.Join(folder, "backup.db")
	is.NoErr(p.Backup(backup))
	is.NoErr(p.Close())
	p, err = New(folder)
	is.NoErr(err)
	is.Equal(p.Disk(), disk) // the disk id is unchanged
	durable, err := p.Load()
	is.NoErr(err)
	is.Equal(durable.Term, uint64(2))
	is.Equal(durable.Vote, "")
	is.Equal(durable.Snapshot.GetIndex(), uint64(255))
	is.Equal(len(durable.Entries), 5)
	is.Equal(durable.Entries[4].GetIndex(), uint64(260))
	is.NoErr(p.Save(replicator.Save{Term: 3, Snapshot: &messenger.Snapshot{Index: 400}, Reset: true}))
	durable, err = p.Load()
	is.NoErr(err)
	is.Equal(len(durable.Entries), 0)
	is.NoErr(p.Close())
	is.True(p.Save(replicator.Save{Term: 4}) != nil) // a failed save returns an error
	restored := t.TempDir()
	is.NoErr(os.Rename(backup, filepath.Join(restored, fileName)))
	p, err = New(restored)
	is.NoErr(err)
	is.Equal(p.Disk(), disk)
	is.NoErr(p.Close())
}

// TestNewDisk checks that every new folder gets another disk id, and that New
// fails on a file that is no database or is already open.
func TestNewDisk(t *testing.T) {
	is := is.New(t)
	first, err := New(t.TempDir())
	is.NoErr(err)
	folder := t.TempDir()
	second, err := New(folder)
	is.NoErr(err)
	is.True(first.Disk() != second.Disk())
	_, err = New(folder)
	is.True(err != nil) // the file is already open
	is.NoErr(second.Close())
	is.NoErr(first.Close())
	corrupt := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(corrupt, fileName), []byte("half a page"), fileMode))
	_, err = New(corrupt)
	is.True(err != nil)
}

// TestFullDisk limits the size of the file. A write that does not fit must fail
// without changing what is stored, and writes must succeed again once there is
// room.
func TestFullDisk(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	opened, err := New(folder)
	is.NoErr(err)
	p := opened.(*persister)
	is.NoErr(p.Save(replicator.Save{Term: 1, Vote: "a", From: 1, Entries: entries(1, 1, 10)}))
	info, err := os.Stat(filepath.Join(folder, fileName))
	is.NoErr(err)
	p.db.MaxSize = int(info.Size())
	big := replicator.Save{Term: 2, From: 11, Entries: []*messenger.Entry{
		{Index: 11, Term: 2, Data: make([]byte, 1<<20)},
	}}
	err = p.Save(big)
	is.True(errors.Is(err, ErrUnchanged))
	is.True(errors.Is(p.Probe(1<<20), ErrUnchanged))
	durable, err := p.Load()
	is.NoErr(err)
	is.Equal(durable.Term, uint64(1))
	is.Equal(len(durable.Entries), 10)
	is.NoErr(p.Close())
	opened, err = New(folder) // an existing file opens without a write
	is.NoErr(err)
	p = opened.(*persister)
	is.NoErr(p.Probe(1 << 20))
	is.NoErr(p.Save(big))
	durable, err = p.Load()
	is.NoErr(err)
	is.Equal(len(durable.Entries), 11)
	is.NoErr(p.Close())
}

// TestStartWithoutWrite opens an existing file, which must not be written: the
// disk may be full.
func TestStartWithoutWrite(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	p, err := New(folder)
	is.NoErr(err)
	is.NoErr(p.Close())
	before, err := os.ReadFile(filepath.Join(folder, fileName))
	is.NoErr(err)
	p, err = New(folder)
	is.NoErr(err)
	is.NoErr(p.Close())
	after, err := os.ReadFile(filepath.Join(folder, fileName))
	is.NoErr(err)
	is.Equal(string(after), string(before))
}
