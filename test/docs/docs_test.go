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

const repositoryRoot = "../.."

// readPages returns the text of every documentation page, by path.
func readPages(t *testing.T) map[string]string {
	t.Helper()
	texts := map[string]string{}
	readFiles(t, "docs", isPage, texts)
	readFiles(t, "README.md", isPage, texts)
	return texts
}

// readCode returns the concatenated text of the files in the source directories
// for whose path include returns true.
func readCode(t *testing.T, include func(path string) bool) string {
	t.Helper()
	texts := map[string]string{}
	for _, dir := range []string{"internal", "cmd", "platform", "test", "examples"} {
		readFiles(t, dir, include, texts)
	}
	return strings.Join(slices.Collect(maps.Values(texts)), "\n")
}

func isPage(path string) bool { return strings.HasSuffix(path, ".md") }

func isTest(path string) bool { return strings.HasSuffix(path, "_test.go") }

func isSource(path string) bool { return strings.HasSuffix(path, ".go") && !isTest(path) }

// readFiles adds files in dir to texts: those for whose path include returns true.
// The directory is relative to the repository root.
func readFiles(t *testing.T, dir string, include func(path string) bool, texts map[string]string) {
	t.Helper()
	err := filepath.WalkDir(filepath.Join(repositoryRoot, dir), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !include(path) {
			return err
		}
		text, err := os.ReadFile(path)
		texts[path] = string(text)
		return err
	})
	qt.Assert(t, err, qt.IsNil)
}

// composedMetric matches metric names that the source composes at run time, so that
// they don't appear there in full.
var composedMetric = regexp.MustCompile(`^nettlewalk_pool_(queue_length|connections|idle_connections)$`)

// Every metric and every relative link target in a page must exist.
func TestPagesReferToExistingMetricsAndFiles(t *testing.T) {
	source := readCode(t, isSource)
	metricName := regexp.MustCompile(`nettlewalk_[a-z_]*[a-z]`)
	link := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	for path, text := range readPages(t) {
		for _, name := range metricName.FindAllString(text, -1) {
			known := strings.Contains(source, name) || composedMetric.MatchString(name)
			qt.Check(t, known, qt.IsTrue, qt.Commentf("%s names metric %s, which does not exist", path, name))
		}
		for _, m := range link.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), m[1]))
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s links to %s, which does not exist", path, m[1]))
		}
	}
}

// Every test that a page names in backquotes must exist.
func TestPagesReferToExistingTests(t *testing.T) {
	tests := readCode(t, isTest)
	testName := regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]*)`")
	for path, text := range readPages(t) {
		for _, m := range testName.FindAllStringSubmatch(text, -1) {
			known := strings.Contains(tests, "func "+m[1]+"(")
			qt.Check(t, known, qt.IsTrue, qt.Commentf("%s names test %s, which does not exist", path, m[1]))
		}
	}
}
