package starter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/testing/launcher"
	"gentianstep.example/gentianstep/internal/testing/scripter"
)

const (
	// startTarget is the longest time from the start of a process to its
	// first answer to a caller.
	startTarget  = time.Second
	firstTimeout = 20 * time.Second
)

// restart is a set of processes that end at once and start again.
type restart struct {
	Name string `json:"name"`
	VMs  int    `json:"vms"`
	// Routers and Controllers are the numbers of the VMs whose process ends.
	Routers     []int `json:"routers"`
	Controllers []int `json:"controllers"`
	// Away are the numbers of the VMs whose controller ends and stays away.
	Away []int `json:"away"`
	// Frozen are the numbers of the VMs whose controller is paused.
	Frozen    []int `json:"frozen"`
	StoreDown bool  `json:"store_down"`
}

func TestRestartedRoutersServeAtOnce(t *testing.T) {
	t.Parallel()
	var rows []restart
	scripter.Read(t, "testdata/restarts.json", &rows)
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			row.play(t)
		})
	}
}

func (r restart) play(t *testing.T) {
	t.Helper()
	is := is.New(t)
	quiet.RLock()
	d := launcher.Deploy(t, launcher.Shape{VMs: r.VMs, Engines: 2, Services: 1})
	quiet.RUnlock()
	quiet.Lock()
	defer quiet.Unlock()
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
	ctx, cancel := contextWithin(t, firstTimeout)
	defer cancel()
	for _, i := range r.Routers {
		took, err := firstAnswer(ctx, d.URL(i, ""), begin)
		is.NoErr(err) // the router serves again
		t.Logf("router %d of %d: first answer after %d ms", i, r.VMs, took.Milliseconds())
		is.True(took < startTarget)
	}
}
