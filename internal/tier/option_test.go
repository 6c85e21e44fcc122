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

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/tier"
	"github.com/jujubethread/jujubethread/pkg/allot"
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
		"quota-window 5s\ndomains a,b", "quota-window -1s\ndomains a", "quota-window 1ns\ndomains ,", "quota-window 2562047h\ndomains a",
		"quota-overage NaN", "quota-overage -1", "quota-overage 1e308", "quota-slack +Inf", "quota-slack -1",
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
			if q := o.Quota; q.Check() != nil || q.Validity() <= 0 || q.Domains != len(o.Domains) {
				t.Errorf("%s: limits of accounts under %+v in %v", command, q, o.Domains)
			}
			if o.LinkPort < 1 || o.LinkPort > 65535 || o.Grace < 0 || o.MaxDiskFailures < 0 {
				t.Errorf("%s: port %d, grace %s, %d disks", command, o.LinkPort, o.Grace, o.MaxDiskFailures)
			}
			if o.Memory < 0 || o.Descriptors < 0 || guard.CallerBounds(o.Memory, o.Descriptors).Bytes <= 0 {
				t.Errorf("%s: %d MB, %d descriptors", command, o.Memory, o.Descriptors)
			}
			if text := string(o.Name) + string(o.Domain); !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl) {
				t.Errorf("%s: host %q in %q", command, o.Name, o.Domain)
			}
		}
	})
}

// Guards against a deployment without some of the values for limits of accounts, whose
// settings file then has empty lines and sections, and whose hosts do not start, or start
// with limits that nobody has set.
func TestSettingsOfAccountLimits(t *testing.T) {
	for _, c := range []struct {
		name    string
		lines   string
		enabled bool
		quota   allot.Config
		domains []ident.Domain
	}{
		{
			name:  "nothing",
			lines: "\n\n\ndomains ,\n",
		},
		{
			name:    "domains only",
			lines:   "\n\n\ndomains ,d,e,f\n",
			quota:   allot.Config{Domains: 3},
			domains: []ident.Domain{"d", "e", "f"},
		},
		{
			name:  "no domains",
			lines: "quota-window 5s\nquota-overage 0.1\nquota-slack 20\ndomains ,\n",
			quota: allot.Config{
				Window:  5 * time.Second,
				Overage: 0.1,
				Slack:   20,
			},
		},
		{
			name:    "all",
			lines:   "quota-window 5s\nquota-overage 0.1\nquota-slack 20\ndomains ,f,e\n",
			enabled: true,
			quota: allot.Config{
				Window:  5 * time.Second,
				Overage: 0.1,
				Slack:   20,
				Domains: 3,
			},
			domains: []ident.Domain{"d", "e", "f"}, // its own too
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "settings")
			is.NoErr(os.WriteFile(file, []byte(entrySettings+c.lines), 0o600))
			o, err := tier.Parse("entry", []string{"-config", file}, io.Discard)
			is.NoErr(err)
			is.Equal(o.Quota.Enabled(), c.enabled)
			is.Equal(o.Quota, c.quota)
			is.Equal(o.Domains, c.domains)
		})
	}
}

// Guards against a template whose lines for optional values are not of the form that the
// test above parses.
func TestTemplateOfEntryHosts(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../deploy/entry.conf")
	is.NoErr(err)
	for _, line := range []string{
		"{{#Bounds.QuotaWindowS}}quota-window {{Bounds.QuotaWindowS}}s{{/Bounds.QuotaWindowS}}",
		"{{#Bounds.QuotaOverage}}quota-overage {{Bounds.QuotaOverage}}{{/Bounds.QuotaOverage}}",
		"{{#Bounds.QuotaSlack}}quota-slack {{Bounds.QuotaSlack}}{{/Bounds.QuotaSlack}}",
		"domains ,{{#Zones}}{{@}}{{,}}{{/Zones}}",
	} {
		is.True(strings.Contains(string(raw), line+"\n"))
	}
}
