package keys_test

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/keys"
)

var now = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func issue(t *testing.T, a *keys.Authority, dir, host string) keys.Files {
	t.Helper()
	f, err := a.Issue(dir, keys.Spec{
		Host:      host,
		Role:      "entry",
		Addresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		Life:      24 * time.Hour,
		Now:       now,
	})
	is.New(t).NoErr(err)
	return f
}

// Guards against faulty certificates that load or that fail without a typed
// error, and against key files that other users can read.
func TestLoadNamesTheFault(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	_, err := keys.MakeAuthority(filepath.Join(dir, "ca"), 48*time.Hour, now)
	is.NoErr(err)
	_, err = keys.MakeAuthority(filepath.Join(dir, "ca"), time.Hour, now)
	is.True(err != nil) // an authority is never replaced
	a, err := keys.OpenAuthority(filepath.Join(dir, "ca"), now)
	is.NoErr(err)
	good := issue(t, a, dir, "h1")
	_, err = keys.Load(good, now)
	is.NoErr(err)
	info, err := os.Stat(good.Key)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))

	foreign, err := keys.MakeAuthority(filepath.Join(dir, "other"), 48*time.Hour, now)
	is.NoErr(err)
	other := issue(t, foreign, filepath.Join(dir, "other"), "h1")
	text := filepath.Join(dir, "text")
	is.NoErr(os.WriteFile(text, []byte("no PEM"), 0o600))
	for _, row := range []struct {
		files keys.Files
		now   time.Time
		kind  keys.Kind
	}{
		{keys.Files{Cert: good.Cert}, now, keys.Missing},
		{keys.Files{Cert: filepath.Join(dir, "none"), Key: good.Key, CA: good.CA}, now, keys.Missing},
		{keys.Files{Cert: good.Cert, Key: other.Key, CA: good.CA}, now, keys.Wrong},
		{keys.Files{Cert: good.Cert, Key: good.Key, CA: other.CA}, now, keys.Wrong},
		{keys.Files{Cert: good.Cert, Key: good.Key, CA: good.Cert}, now, keys.Wrong},
		{keys.Files{Cert: good.Cert, Key: good.Key, CA: text}, now, keys.Wrong},
		{keys.Files{Cert: text, Key: good.Key, CA: good.CA}, now, keys.Wrong},
		{good, now.Add(25 * time.Hour), keys.Expired},
		{good, now.Add(-time.Hour), keys.Expired},
		{good, now.Add(49 * time.Hour), keys.Expired},
	} {
		_, err := keys.Load(row.files, row.now)
		var typed *keys.Error
		is.True(errors.As(err, &typed))
		is.Equal(typed.Kind, row.kind)
		is.True(typed.Remedy != "")
	}
}
