package tier_test

import (
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/tier"
	"github.com/jujubethread/jujubethread/pkg/budget"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const entrySettings = "name h1\ndomain d\nip 127.0.0.1\nfront 127.0.0.1:1\nready 127.0.0.1:2\n"

// FuzzSettings guards against settings that are taken, at the start or on SIGHUP, and end
// the process later: at its first request, or when it first writes them.
func FuzzSettings(f *testing.F) {
	f.Add(entrySettings)
	for _, line := range []string{
		"extra-window 0s", "extra-window 1ns", "extra-window -1s", "extra-window 2562047h",
		"extra-ratio NaN", "extra-ratio +Inf", "extra-ratio -1", "extra-ratio 1e308",
		"extra-slack NaN", "extra-slack -Inf", "extra-slack 1e308",
		"ports 0,1", "ports 99999,1", "ports -1", "ports 7380", "ports x",
		"grace -1s", "lost -1", "memory", "memory {{Limits.MemoryMb}}", "memory -1", "memory NaN", "memory 1", "memory 1e300", "descriptors 3", "descriptors", "name a\tb", "domain a\x00b", "name \xff", "ip [::1", "seeds ,a,:,b:1", "log-level loud",
	} {
		f.Add(entrySettings + line + "\n")
	}
	f.Fuzz(func(t *testing.T, text string) {
		file := filepath.Join(t.TempDir(), "settings")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		for _, command := range []string{"entry", "control"} {
			o, err := tier.Parse(command, []string{"-config", file}, io.Discard)
			if err != nil {
				continue
			}
			w := budget.NewWindow(o.Extra)
			now := ident.Instant(time.Hour)
			for range 100 {
				w.CountRequest(now)
			}
			if r := w.Remaining(now, 1); math.IsNaN(r) || math.IsInf(r, 0) || r < 0 {
				t.Errorf("%s: %v extra calls under %+v", command, r, o.Extra)
			}
			if o.LinkPort < 1 || o.LinkPort > 65535 || o.Grace < 0 || o.MaxDiskFailures < 0 {
				t.Errorf("%s: port %d, grace %s, %d disks", command, o.LinkPort, o.Grace, o.MaxDiskFailures)
			}
			if o.Memory < 0 || o.Descriptors < 0 || guard.Bounds(o.Memory, o.Descriptors).Bytes <= 0 {
				t.Errorf("%s: %d MB, %d descriptors", command, o.Memory, o.Descriptors)
			}
			if text := string(o.Name) + string(o.Domain); !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl) {
				t.Errorf("%s: host %q in %q", command, o.Name, o.Domain)
			}
		}
	})
}
