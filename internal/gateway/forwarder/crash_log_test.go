package forwarder_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCrashesAreLogged checks that the log shows that an upstream has ended and which
// requests it had not begun to answer.
func TestCrashesAreLogged(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 2)
		f.setCrash([]string{"deadly"}, nil)
		r := f.request(t, "stream", "r1")
		r.URL.Host = f.vms[0].address
		r.Header.Set("Prompt-Prefix", "shared:10,deadly:20,own:30")
		is.Equal(f.do(r).status, http.StatusBadGateway)
		time.Sleep(time.Second)
		is.Equal(strings.Count(f.log.String(), `"event":"upstream_crashed"`), 1)
		is.True(strings.Contains(f.log.String(), `"parts":["shared","deadly","own"]`))
		f.restarts.Wait()
	})
}
