package classifier

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestEveryKindIsDocumented(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	is.NoErr(err)
	for _, kind := range Kinds() {
		if !strings.Contains(string(page), "\n| `"+string(kind)+"` |") {
			t.Errorf("docs/OPERATIONS.md has no table row for kind %s", kind)
		}
	}
}
