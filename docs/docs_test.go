// Package docs_test checks the pages against the tree.
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

// read joins the files below root whose name ends in suffix.
func read(t *testing.T, root, suffix string) string {
	t.Helper()
	var all strings.Builder
	assert.NilError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, suffix) {
			return err
		}
		data, err := os.ReadFile(path)
		all.Write(data)
		return err
	}))
	return all.String()
}

// TestPagesNameExistingTests requires that each test that a page cites exists.
func TestPagesNameExistingTests(t *testing.T) {
	tests := read(t, "../internal", "_test.go") + read(t, "../coord", "_test.go") + read(t, "../platform", "_test.go")
	cited := regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z]*)`").FindAllStringSubmatch(read(t, ".", ".md"), -1)
	assert.Assert(t, len(cited) > 0)
	for _, name := range cited {
		assert.Assert(t, strings.Contains(tests, "func "+name[1]+"("), "no test %s", name[1])
	}
}
