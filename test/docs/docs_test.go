package docs

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const root = "../.."

// pages returns the text of every page by its path.
func pages(t *testing.T) map[string]string {
	t.Helper()
	texts := map[string]string{}
	read(t, "docs", isPage, texts)
	read(t, "README.md", isPage, texts)
	return texts
}

// code returns the text of all Go files, or of all their tests.
func code(t *testing.T, which func(path string) bool) string {
	t.Helper()
	texts := map[string]string{}
	for _, dir := range []string{"internal", "cmd", "platform", "test", "examples"} {
		read(t, dir, which, texts)
	}
	return strings.Join(slices.Collect(maps.Values(texts)), "\n")
}

func isPage(path string) bool { return strings.HasSuffix(path, ".md") }

func isTest(path string) bool { return strings.HasSuffix(path, "_test.go") }

func isSource(path string) bool { return strings.HasSuffix(path, ".go") && !isTest(path) }

// read adds the files below a path from the root to texts.
func read(t *testing.T, below string, which func(path string) bool, texts map[string]string) {
	t.Helper()
	err := filepath.WalkDir(filepath.Join(root, below), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !which(path) {
			return err
		}
		text, err := os.ReadFile(path)
		texts[path] = string(text)
		return err
	})
	qt.Assert(t, err, qt.IsNil)
}

// formatted are names that the source puts together from parts.
var formatted = regexp.MustCompile(`^nettlewalk_pool_(queue_length|connections|idle_connections)$`)

// Each metric and each linked file that a page names exists.
func TestPagesNameOnlyWhatExists(t *testing.T) {
	source := code(t, isSource)
	metric := regexp.MustCompile(`nettlewalk_[a-z_]*[a-z]`)
	link := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	for path, text := range pages(t) {
		for _, name := range metric.FindAllString(text, -1) {
			known := strings.Contains(source, name) || formatted.MatchString(name)
			qt.Check(t, known, qt.IsTrue, qt.Commentf("%s names %s", path, name))
		}
		for _, m := range link.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), m[1]))
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s links %s", path, m[1]))
		}
	}
}

// Each test that a page names exists.
func TestPagesNameOnlyTestsThatExist(t *testing.T) {
	tests := code(t, isTest)
	name := regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]*)`")
	for path, text := range pages(t) {
		for _, m := range name.FindAllStringSubmatch(text, -1) {
			known := strings.Contains(tests, "func "+m[1]+"(")
			qt.Check(t, known, qt.IsTrue, qt.Commentf("%s names %s", path, m[1]))
		}
	}
}
