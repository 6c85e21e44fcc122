package store_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/internal/store"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// faulty is a Disk that returns the set errors.
type faulty struct {
	store.Disk
	write  error // returned after half of the data is written
	sync   error
	create error
}

type faultyFile struct {
	store.File
	fs *faulty
}

func (f *faulty) Create(name string) (store.File, error) {
	if f.create != nil {
		return nil, f.create
	}
	file, err := f.Disk.Create(name)
	return &faultyFile{file, f}, err
}

func (f *faulty) OpenTruncated(name string, size int64) (store.File, error) {
	file, err := f.Disk.OpenTruncated(name, size)
	return &faultyFile{file, f}, err
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if f.fs.write != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, f.fs.write
	}
	return f.File.Write(p)
}

func (f *faultyFile) Sync() error {
	if f.fs.sync != nil {
		return f.fs.sync
	}
	return f.File.Sync()
}

func entry(i quorum.Index, t quorum.Term, data string) quorum.Entry {
	return quorum.Entry{
		Index: i,
		Term:  t,
		Kind:  quorum.Command,
		Data:  []byte(data),
	}
}

func open(t *testing.T, cfg store.Config) *store.Store {
	t.Helper()
	s, err := store.Open(cfg)
	is.New(t).NoErr(err)
	return s
}

func kindOf(err error) store.Kind {
	var f *store.Error
	if errors.As(err, &f) && f.Remedy() != "" {
		return f.Kind
	}
	return ""
}

func lastSegment(t *testing.T, folder string) string {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(folder, "*.log"))
	is.New(t).NoErr(err)
	return found[len(found)-1]
}

// Guards against a partly written last record, as a crash leaves it, that
// prevents the store from opening or is read as data.
func TestTornTailIsCut(t *testing.T) {
	is := is.New(t)
	cfg := store.Config{Folder: t.TempDir()}
	s := open(t, cfg)
	id := s.ID()
	is.True(s.Report().Created)
	is.NoErr(s.Append(quorum.HardState{Term: 1, Vote: "x"}, []quorum.Entry{entry(1, 1, "one")}))
	complete, err := os.ReadFile(lastSegment(t, cfg.Folder))
	is.NoErr(err)
	is.NoErr(s.Append(quorum.HardState{Term: 2}, []quorum.Entry{entry(2, 2, "two")}))
	is.NoErr(s.Close())
	torn, err := os.ReadFile(lastSegment(t, cfg.Folder))
	is.NoErr(err)
	for cut := len(complete) + 1; cut < len(torn); cut++ {
		is.NoErr(os.WriteFile(lastSegment(t, cfg.Folder), torn[:cut], 0o600))
		s = open(t, cfg)
		is.Equal(s.ID(), id)
		is.Equal(s.Report().CutBytes, int64(cut-len(complete)))
		is.Equal(s.Stored().Hard, quorum.HardState{Term: 1, Vote: "x"})
		is.Equal(s.Stored().Entries, []quorum.Entry{entry(1, 1, "one")})
		is.NoErr(s.Close())
	}
	s = open(t, cfg)
	is.Equal(s.Report().CutBytes, int64(0)) // the truncation is durable
	is.NoErr(s.Close())
}

// Guards against truncating the log at a corrupt record in its middle, which
// would drop the confirmed records after it.
func TestCorruptionInTheMiddleIsRefused(t *testing.T) {
	is := is.New(t)
	cfg := store.Config{Folder: t.TempDir()}
	s := open(t, cfg)
	for i := range quorum.Index(3) {
		is.NoErr(s.Append(quorum.HardState{Term: 1}, []quorum.Entry{entry(i+1, 1, "data")}))
	}
	is.NoErr(s.Close())
	path := lastSegment(t, cfg.Folder)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	for _, at := range []int{0, 5, len(data) / 3, len(data) / 2} {
		bad := append([]byte(nil), data...)
		bad[at] ^= 0x10
		is.NoErr(os.WriteFile(path, bad, 0o600))
		_, err = store.Open(cfg)
		is.Equal(kindOf(err), store.Corrupt)
	}
	is.NoErr(os.Remove(filepath.Join(cfg.Folder, "identity.json")))
	_, err = store.Open(cfg)
	is.Equal(kindOf(err), store.Corrupt) // data without an identity
}

// Guards against confirming writes after a failed one: a later sync may succeed
// although the file system dropped the earlier data.
func TestFaultsAreTypedAndStopWrites(t *testing.T) {
	for kind, inject := range map[store.Kind]func(*faulty){
		store.Full:     func(f *faulty) { f.write = syscall.ENOSPC },
		store.ReadOnly: func(f *faulty) { f.write = syscall.EROFS },
		store.Failed:   func(f *faulty) { f.sync = syscall.EIO },
	} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			fs := &faulty{}
			cfg := store.Config{
				Folder: t.TempDir(),
				FS:     fs,
			}
			s := open(t, cfg)
			is.NoErr(s.Append(quorum.HardState{Term: 1}, []quorum.Entry{entry(1, 1, "kept")}))
			inject(fs)
			err := s.Append(quorum.HardState{Term: 1}, []quorum.Entry{entry(2, 1, "lost")})
			is.Equal(kindOf(err), kind)
			fs.write, fs.sync = nil, nil
			is.Equal(kindOf(s.Append(quorum.HardState{Term: 1}, nil)), store.Broken)
			is.Equal(kindOf(s.SaveSnapshot(quorum.Snapshot{Meta: quorum.Meta{Index: 1, Term: 1}})), store.Broken)
			is.NoErr(s.Close())
			s = open(t, cfg)
			is.Equal(s.Stored().Entries, []quorum.Entry{entry(1, 1, "kept")})
			is.NoErr(s.Append(quorum.HardState{Term: 1}, []quorum.Entry{entry(2, 1, "again")}))
			is.NoErr(s.Close())
		})
	}
}

// Guards against two processes writing to one folder, and against slow syncs
// that are not reported.
func TestFolderInUseAndSlowSync(t *testing.T) {
	is := is.New(t)
	var clock time.Duration
	cfg := store.Config{
		Folder: t.TempDir(),
		Clock: func() time.Duration {
			clock += time.Second
			return clock
		},
	}
	s := open(t, cfg)
	_, err := store.Open(cfg)
	is.Equal(kindOf(err), store.InUse)
	is.NoErr(s.Append(quorum.HardState{Term: 1}, nil))
	is.Equal(kindOf(s.TakeSlowSync()), store.SlowSync)
	is.True(s.TakeSlowSync() == nil)
	is.NoErr(s.Close())
}

// Guards against a partly written snapshot that destroys the previous state.
func TestFailedSnapshotKeepsTheOldState(t *testing.T) {
	is := is.New(t)
	fs := &faulty{}
	cfg := store.Config{
		Folder: t.TempDir(),
		FS:     fs,
	}
	s := open(t, cfg)
	is.NoErr(s.Append(quorum.HardState{Term: 1}, []quorum.Entry{entry(1, 1, "one"), entry(2, 1, "two")}))
	fs.write = syscall.ENOSPC
	err := s.SaveSnapshot(quorum.Snapshot{
		Meta: quorum.Meta{Index: 2, Term: 1},
		Data: []byte("state"),
	})
	is.Equal(kindOf(err), store.Full)
	is.NoErr(s.Close())
	fs.write = nil
	s = open(t, cfg)
	is.Equal(len(s.Stored().Entries), 2)
	is.Equal(s.Stored().Snapshot.Meta.Index, quorum.Index(0))
	temps, err := filepath.Glob(filepath.Join(cfg.Folder, "*.tmp"))
	is.NoErr(err)
	is.Equal(len(temps), 0)
	is.NoErr(s.Close())
}

// Guards against a sequence of appends, truncations, snapshots, installs and
// restarts after which the folder does not contain what was written.
func TestRandomWritesMatchModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "store")
		if err != nil {
			rt.Fatal(err)
		}
		cfg := store.Config{
			Folder:       folder,
			SegmentBytes: 300,
		}
		s, err := store.Open(cfg)
		if err != nil {
			rt.Fatal(err)
		}
		model := quorum.Stored{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			randomWrite(rt, s, &model)
			if rapid.IntRange(0, 3).Draw(rt, "restart") > 0 {
				continue
			}
			_ = s.Close()
			if s, err = store.Open(cfg); err != nil {
				rt.Fatal(err)
			}
			if got := s.Stored(); fmt.Sprint(got) != fmt.Sprint(model) {
				rt.Fatalf("folder contains %v, want %v", got, model)
			}
		}
		_ = s.Close()
	})
}

func randomWrite(rt *rapid.T, s *store.Store, model *quorum.Stored) {
	base := model.Snapshot.Meta.Index
	last := base + quorum.Index(len(model.Entries))
	model.Hard.Term += quorum.Term(rapid.IntRange(0, 1).Draw(rt, "term"))
	term := max(model.Hard.Term, 1)
	model.Hard.Term = term
	var err error
	switch rapid.IntRange(0, 5).Draw(rt, "write") {
	case 0: // snapshot of applied state
		if last > base {
			n := rapid.IntRange(1, len(model.Entries)).Draw(rt, "through")
			e := model.Entries[n-1]
			model.Snapshot = quorum.Snapshot{
				Meta: quorum.Meta{Index: e.Index, Term: e.Term},
				Data: []byte(fmt.Sprint("state ", e.Index)),
			}
			model.Entries = model.Entries[n:]
			err = s.SaveSnapshot(model.Snapshot)
		}
		if err == nil {
			err = s.Append(model.Hard, nil)
		}
	case 1: // snapshot from the leader
		model.Snapshot = quorum.Snapshot{
			Meta: quorum.Meta{Index: last + 5, Term: term},
			Data: []byte("installed"),
		}
		model.Entries = nil
		err = s.InstallSnapshot(model.Hard, model.Snapshot)
	default: // append, sometimes replacing entries
		first := quorum.Index(rapid.IntRange(int(base)+1, int(last)+1).Draw(rt, "first"))
		add := []quorum.Entry{entry(first, term, "a"), entry(first+1, term, "bb")}
		model.Entries = append(model.Entries[:first-base-1:first-base-1], add...)
		err = s.Append(model.Hard, add)
	}
	if err != nil {
		rt.Fatal(err)
	}
}
