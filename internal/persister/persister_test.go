package persister

import (
	"os"
	"path/filepath"
	"testing"

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
