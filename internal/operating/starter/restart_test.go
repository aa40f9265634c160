package starter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/launcher"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const (
	// startTarget limits the time from the start of a process to its first response
	// to a caller.
	startTarget          = time.Second
	firstResponseTimeout = 20 * time.Second
)

// restartCase is a set of processes that are killed and restarted at the same
// time.
type restartCase struct {
	Name string `json:"name"`
	VMs  int    `json:"vms"`
	// Routers and Controllers are the indexes of the VMs whose router or controller
	// is restarted.
	Routers     []int `json:"routers"`
	Controllers []int `json:"controllers"`
	// Away are the indexes of the VMs whose controller is killed and not restarted.
	Away []int `json:"away"`
	// Frozen are the indexes of the VMs whose controller is suspended.
	Frozen []int `json:"frozen"`
	// StoreDown is true if the platform's store is killed first.
	StoreDown bool `json:"store_down"`
}

func TestRestartedRoutersServeWithinTarget(t *testing.T) {
	t.Parallel()
	var rows []restartCase
	scripter.Read(t, "testdata/restarts.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			row.run(t)
		})
	}
}

func (r restartCase) run(t *testing.T) {
	t.Helper()
	is := is.New(t)
	loadLock.RLock()
	d := launcher.Deploy(t, launcher.Shape{VMs: r.VMs, Engines: 2, Services: 1})
	loadLock.RUnlock()
	loadLock.Lock()
	defer loadLock.Unlock()
	if r.StoreDown {
		d.Platform.Kill()
	}
	for _, i := range r.Away {
		d.VMs[i].Controller.Kill()
	}
	for _, i := range r.Frozen {
		d.VMs[i].Controller.Freeze()
	}
	for _, i := range r.Controllers {
		d.VMs[i].Controller.Kill()
	}
	for _, i := range r.Routers {
		d.VMs[i].Router.Kill()
	}
	begin := time.Now()
	for _, i := range r.Controllers {
		d.StartController(i)
	}
	for _, i := range r.Routers {
		d.StartRouter(i)
	}
	ctx, cancel := contextWithTimeout(t, firstResponseTimeout)
	defer cancel()
	for _, i := range r.Routers {
		elapsed, err := timeToFirstResponse(ctx, d.URL(i, ""), begin)
		is.NoErr(err) // the router serves requests again
		t.Logf("router %d of %d VMs: first response after %d ms", i, r.VMs, elapsed.Milliseconds())
		is.True(elapsed < startTarget)
	}
}
