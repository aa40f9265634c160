package launcher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/launcher"
)

func TestRouterSurvivesSuspensionAndStopsGracefully(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := launcher.Deploy(t, launcher.Shape{VMs: 1, Engines: 1, Services: 1})
	router := d.VMs[0].Router
	ready := "http://" + d.VMs[0].Settings.Router.OperatorAddress.String() + "/ready"
	is.True(launcher.Answers(t.Context(), ready))
	router.Freeze()
	router.Thaw()
	is.True(launcher.Answers(t.Context(), ready)) // the router serves requests after it was suspended and resumed
	router.Terminate()
	launcher.Until(t, 10*time.Second, "exit of the router", func() bool {
		select {
		case <-router.Ended():
			return true
		default:
			return false
		}
	})
	is.NoErr(router.Err()) // the router exits with status 0 after SIGTERM
}
