package starter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/operating/starter"
	"gentianstep.example/gentianstep/internal/standin/keeper"
	"gentianstep.example/gentianstep/internal/testing/launcher"
)

const (
	// bundleApplyTime is the time within which a published bundle is in force.
	bundleApplyTime = 18 * time.Second
	// bundleReportTime is the time until a controller has polled the head and read a bundle.
	bundleReportTime = 20 * time.Second
	// restoredLoadTime is how long requests are sent to a system whose store was restored.
	restoredLoadTime = 2 * time.Second
	restoredCallers  = 4
)

// restoredDeployment is a deployment whose store is restored from a copy without the
// bundle in force.
type restoredDeployment struct {
	*launcher.Deployment
	t *testing.T
}

// control sends a request to a control endpoint of the stand-in of the store.
func (d restoredDeployment) control(path string) {
	d.t.Helper()
	request, err := http.NewRequestWithContext(d.t.Context(), http.MethodPost, "http://"+d.PlatformAddress.String()+path, http.NoBody)
	is.New(d.t).NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.New(d.t).NoErr(err)
	_ = response.Body.Close()
	is.New(d.t).Equal(response.StatusCode, http.StatusOK)
}

// publish publishes the bundle with a version and a number of tokens.
func (d restoredDeployment) publish(version uint64, maxTokens int) {
	d.t.Helper()
	d.Bundle.Version, d.Bundle.Models[0].MaxTokens = version, maxTokens
	d.Publish()
}

// versions returns the version in force on each router, 0 if it does not respond.
func (d restoredDeployment) versions(ctx context.Context) []uint64 {
	list := make([]uint64, 0, len(d.VMs))
	for _, vm := range d.VMs {
		var status starter.Status
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Settings.Router.OperatorAddress.String()+"/status", http.NoBody)
		if err == nil {
			var response *http.Response
			if response, err = http.DefaultClient.Do(request); err == nil {
				err = json.NewDecoder(response.Body).Decode(&status)
				_ = response.Body.Close()
			}
		}
		if err != nil {
			status.BundleVersion = 0
		}
		list = append(list, status.BundleVersion)
	}
	return list
}

// waitFor waits until a version is in force on all routers.
func (d restoredDeployment) waitFor(version uint64) {
	d.t.Helper()
	launcher.Until(d.t, bundleApplyTime, fmt.Sprintf("version %d on all routers", version), func() bool {
		for _, v := range d.versions(d.t.Context()) {
			if v != version {
				return false
			}
		}
		return true
	})
}

// conflicts reports whether a controller has logged that the store has another bundle.
func (d restoredDeployment) conflicts() bool {
	for _, vm := range d.VMs {
		if strings.Contains(vm.Controller.Output(), string(classifier.BundleConflict)) {
			return true
		}
	}
	return false
}

// TestBundleInForceOutlastsRestoreOfStore restores the store from a copy without the
// bundle in force, under requests. The number of that bundle is then assigned to another.
func TestBundleInForceOutlastsRestoreOfStore(t *testing.T) {
	t.Parallel()
	acquireLoadLock(t)
	is := is.New(t)
	change := func(b *checker.Bundle) { b.Models[0].MaxTokens = 1000 }
	d := restoredDeployment{launcher.Deploy(t, launcher.Shape{VMs: 2, Engines: 2, Services: 1, Change: change}), t}
	d.control(keeper.PathCopy)
	d.publish(2, 2000)
	d.waitFor(2)

	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	var sent, failed, receded atomic.Int64
	for n := range restoredCallers {
		callers.Go(func() {
			client := newClient()
			for ctx.Err() == nil {
				sent.Add(1)
				if err := sendCompletion(t.Context(), client, d.URL(n%len(d.VMs), ""), 5); err != nil {
					failed.Add(1)
					t.Log(err)
				}
				if d.versions(t.Context())[n%len(d.VMs)] < 2 {
					receded.Add(1)
				}
			}
		})
	}
	d.control(keeper.PathRestore)
	time.Sleep(restoredLoadTime)
	d.publish(2, 3000)
	launcher.Until(t, bundleReportTime, "report of the other bundle", d.conflicts)
	d.publish(3, 3000)
	d.waitFor(3)
	stop()
	callers.Wait()
	is.True(sent.Load() > 0)
	is.Equal(failed.Load(), int64(0))  // no request was lost
	is.Equal(receded.Load(), int64(0)) // no router went back to the older bundle
}
