// Package docs_test checks the documentation against the source tree.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// readFiles returns the concatenated contents of all files below root whose names end in
// suffix.
func readFiles(t *testing.T, root, suffix string) string {
	t.Helper()
	var contents strings.Builder
	assert.NilError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, suffix) {
			return err
		}
		data, err := os.ReadFile(path)
		contents.Write(data)
		return err
	}))
	return contents.String()
}

// TestDocsCiteExistingTests guards against documentation that cites a test which has
// been renamed or removed. A citation is the name of a test, fuzz test or benchmark in
// backquotes; it must exist in a test file of internal, coord or platform.
func TestDocsCiteExistingTests(t *testing.T) {
	testSources := readFiles(t, "../internal", "_test.go") + readFiles(t, "../coord", "_test.go") + readFiles(t, "../platform", "_test.go")
	citations := regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z]*)`").FindAllStringSubmatch(readFiles(t, ".", ".md"), -1)
	assert.Assert(t, len(citations) > 0)
	for _, name := range citations {
		assert.Assert(t, strings.Contains(testSources, "func "+name[1]+"("), "no test %s", name[1])
	}
}
