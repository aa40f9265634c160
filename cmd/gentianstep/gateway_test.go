package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/platform/platformtest"
)

// hubQuiet is how long the hub is watched after its lease, several of its
// reports, and hubRequests how many requests take that long.
const (
	hubQuiet    = 2 * time.Second
	hubRequests = 20
)

func TestGatewayServesOnThePlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newPlatform(t)
	vms := []*gatewayVM{p.start("vm1"), p.start("vm2")}
	for _, vm := range vms {
		eventually(t, "ready", func() bool { return p.status(vm.ready) == http.StatusOK })
	}
	for _, vm := range vms {
		for _, route := range []string{"look", "order", "match", "ask"} {
			status, body := p.ask(vm, route, route+vm.client, "k1")
			is.Equal(status, http.StatusOK)
			is.True(body != "")
		}
	}
	status, _ := p.ask(vms[0], "nothing", "x", "k1")
	is.Equal(status, http.StatusNotFound)
	checkHeadLimit(t, vms[0])

	t.Log("a key is taken away")
	p.configure(2, "k1")
	for _, vm := range vms {
		eventually(t, "key refused", func() bool {
			status, _ := p.ask(vm, "look", "revoked", "k2")
			return status == http.StatusUnauthorized
		})
	}

	t.Log("new weights are named")
	p.store.Put("op/version/m", map[string]any{"model": "m", "version": 2})
	eventually(t, "new weights", func() bool { return p.engine.Version("m") == 2 })

	t.Log("the store falls silent")
	p.door.Set(platformtest.Silent)
	for n := range 20 {
		status, _ := p.ask(vms[n%2], "order", fmt.Sprint("silent", n), "k1")
		is.Equal(status, http.StatusOK)
	}
	eventually(t, "loss noticed", func() bool { return vms[0].logs("store_lost") })
	p.door.Set(platformtest.Sound)
	eventually(t, "return noticed", func() bool { return vms[0].logs("store_regained") })

	t.Log("settings are reloaded")
	is.NoErr(syscall.Kill(vms[0].process.PID(), syscall.SIGHUP))
	eventually(t, "reload", func() bool { return vms[0].logs("reloaded") })
	is.Equal(p.status(vms[0].metrics), http.StatusOK)

	stopInOrder(t, p, vms[0])
	status, _ = p.ask(vms[1], "order", "after", "k1")
	is.Equal(status, http.StatusOK)
}

// TestHubOutlivesItsLease silences the store until the lease for roll-outs, whose
// holder is the hub, has ended.
func TestHubOutlivesItsLease(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newPlatform(t)
	vms := []*gatewayVM{p.start("vm1"), p.start("vm2")}
	for _, vm := range vms {
		eventually(t, "hub", func() bool { return vm.logs("hub_found") })
	}
	lost := vms[0].count("hub_lost") + vms[1].count("hub_lost")
	p.door.Set(platformtest.Silent)
	eventually(t, "lease ended", func() bool { return vms[0].logs("lease_ended") || vms[1].logs("lease_ended") })
	p.desk.SetWork(hubQuiet / hubRequests)
	for n := range hubRequests { // all VMs serve meanwhile
		status, _ := p.ask(vms[n%2], "order", fmt.Sprint("without the store", n), "k1")
		is.Equal(status, http.StatusOK)
	}
	is.Equal(vms[0].count("hub_lost")+vms[1].count("hub_lost"), lost)
	p.door.Set(platformtest.Sound)
	eventually(t, "lease taken again", func() bool {
		return vms[0].count("lease_taken")+vms[1].count("lease_taken") > 1
	})
}

// stopInOrder asks a VM to stop while it serves a request.
func stopInOrder(t *testing.T, p *platformUnderTest, vm *gatewayVM) {
	t.Helper()
	is := is.New(t)
	t.Log("a VM is stopped")
	p.desk.SetWork(1500 * time.Millisecond)
	answered := make(chan int, 1)
	go func() {
		status, _ := p.ask(vm, "order", "during the stop", "k1")
		answered <- status
	}()
	eventually(t, "request under way", func() bool {
		for _, run := range p.desk.Runs() {
			if run.ID == "during the stop" {
				return true
			}
		}
		return false
	})
	vm.process.Terminate()
	eventually(t, "not ready", func() bool { return p.status(vm.ready) == http.StatusServiceUnavailable })
	p.desk.SetWork(0)
	status, _ := p.ask(vm, "look", "late", "k1")
	is.Equal(status, http.StatusOK) // what still comes is served
	is.Equal(<-answered, http.StatusOK)
	select {
	case <-vm.process.Ended():
		is.NoErr(vm.process.Err())
	case <-time.After(10 * time.Second):
		t.Fatal("the VM did not stop")
	}
	for _, event := range []string{"started", "configuration_in_force", "upstream_joined", "weights_wanted", "store_lost", "store_regained", "stopping", "stopped"} {
		is.True(vm.logs(event))
	}
}

func checkHeadLimit(t *testing.T, vm *gatewayVM) {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", vm.client) //nolint:noctx // The test has a timeout.
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	go func() {
		_, _ = io.WriteString(conn, "GET /look/x HTTP/1.1\r\nHost: a.example\r\nX-Long: "+strings.Repeat("x", 60_000)+"\r\n\r\n")
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}
