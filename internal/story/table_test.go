package story_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// message matches a log call and captures its message.
var message = regexp.MustCompile(`[lL]og\.(?:Debug|Info|Warn|Error)\("([^"]+)"`)

// Guards against a log message that docs/OPERATIONS.md does not explain, and
// against one that it explains but no daemon writes.
func TestOperationsPageListsEachMessage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	written := make(map[string]bool)
	for _, folder := range []string{"front", "core", "tier", "guard"} {
		files, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
		is.NoErr(err)
		for _, file := range files {
			source, err := os.ReadFile(file)
			is.NoErr(err)
			for _, m := range message.FindAllStringSubmatch(string(source), -1) {
				written[m[1]] = true
			}
		}
	}
	listed := make(map[string]bool)
	_, table, _ := strings.Cut(string(page), "| message | fields")
	table, _, _ = strings.Cut(table, "In `Detail`")
	for line := range strings.Lines(table) {
		if rest, ok := strings.CutPrefix(line, "| `"); ok {
			name, _, _ := strings.Cut(rest, "`")
			listed[name] = true
		}
	}
	for name := range written {
		if !listed[name] {
			t.Errorf("message %q is not in the table of docs/OPERATIONS.md", name)
		}
	}
	for name := range listed {
		if !written[name] {
			t.Errorf("message %q of docs/OPERATIONS.md is not logged by any daemon", name)
		}
	}
}

// Guards against a rule whose test or day no longer exists.
func TestPagesNameTestsAndDaysThatExist(t *testing.T) {
	is := is.New(t)
	const root = "../.."
	exists := make(map[string]bool)
	declared := regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9]+)\(`)
	is.NoErr(filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, m := range declared.FindAllStringSubmatch(string(source), -1) {
			exists[m[1]] = true
		}
		return err
	}))
	named := regexp.MustCompile("`(Test[A-Za-z0-9]+)`")
	for _, page := range []string{"README.md", "docs/platform.md"} {
		text, err := os.ReadFile(filepath.Join(root, page))
		is.NoErr(err)
		for _, m := range named.FindAllStringSubmatch(string(text), -1) {
			if !exists[m[1]] {
				t.Errorf("%s names %s, which does not exist", page, m[1])
			}
		}
	}
	page, err := os.ReadFile(filepath.Join(root, "docs/platform.md"))
	is.NoErr(err)
	days, err := filepath.Glob(filepath.Join(root, "deploy/days/*.toml"))
	is.NoErr(err)
	for _, day := range days {
		if name := strings.TrimSuffix(filepath.Base(day), ".toml"); !strings.Contains(string(page), name) {
			t.Errorf("day %s is not in the table of docs/platform.md", name)
		}
	}
}
