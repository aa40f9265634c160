package scripts_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	namedTest    = regexp.MustCompile("`((?:Test|Fuzz)[A-Za-z0-9]+)`")
	declaredTest = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z0-9]+)\(`)
)

// TestProofsNameTestsThatExist checks that each test named in docs/PROOFS.md is
// declared in a test file.
func TestProofsNameTestsThatExist(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	page, err := os.ReadFile("../docs/PROOFS.md")
	is.NoErr(err)
	declared := make(map[string]bool)
	err = filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range declaredTest.FindAllSubmatch(source, -1) {
			declared[string(match[1])] = true
		}
		return nil
	})
	is.NoErr(err)
	named := namedTest.FindAllSubmatch(page, -1)
	is.True(len(named) > 40)
	for _, match := range named {
		if !declared[string(match[1])] {
			t.Errorf("docs/PROOFS.md names %s, which no test file declares", match[1])
		}
	}
}
