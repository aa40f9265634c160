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

// hubObservation is how long the test checks that the hub does not change after
// its lease has expired. It spans several reports of the hub. The test fills it
// with hubRequests requests of equal duration.
const (
	hubObservation = 2 * time.Second
	hubRequests    = 20
)

func TestGatewayServesOnThePlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newPlatform(t)
	vms := []*gatewayVM{p.start("vm1"), p.start("vm2")}
	for _, vm := range vms {
		eventually(t, "VM is ready", func() bool { return p.status(vm.ready) == http.StatusOK })
	}
	for _, vm := range vms {
		for _, route := range []string{"look", "order", "match", "ask"} {
			status, body := p.sendRequest(vm, route, route+vm.client, "k1")
			is.Equal(status, http.StatusOK)
			is.True(body != "")
		}
	}
	status, _ := p.sendRequest(vms[0], "nothing", "x", "k1")
	is.Equal(status, http.StatusNotFound)
	checkHeaderLimit(t, vms[0])

	t.Log("revoke an API key")
	p.configure(2, "k1")
	for _, vm := range vms {
		eventually(t, "revoked key is rejected", func() bool {
			status, _ := p.sendRequest(vm, "look", "revoked", "k2")
			return status == http.StatusUnauthorized
		})
	}

	t.Log("publish a new weights version")
	p.nameWeights("m", 2)
	eventually(t, "engine loads the new weights version", func() bool { return p.engineWorker.Version("m") == 2 })

	t.Log("the store stops responding")
	p.door.SetFault(platformtest.Unresponsive)
	for n := range 20 {
		status, _ := p.sendRequest(vms[n%2], "order", fmt.Sprint("silent", n), "k1")
		is.Equal(status, http.StatusOK)
	}
	eventually(t, "VM logs the loss of the store", func() bool { return vms[0].logged("store_lost") })
	p.door.SetFault(platformtest.StoreHealthy)
	eventually(t, "VM logs the recovery of the store", func() bool { return vms[0].logged("store_regained") })

	t.Log("reload the settings")
	is.NoErr(syscall.Kill(vms[0].process.PID(), syscall.SIGHUP))
	eventually(t, "VM logs the reload", func() bool { return vms[0].logged("reloaded") })
	is.Equal(p.status(vms[0].metrics), http.StatusOK)

	checkGracefulShutdown(t, p, vms[0])
	status, _ = p.sendRequest(vms[1], "order", "after", "k1")
	is.Equal(status, http.StatusOK)
}

// TestHubRemainsAfterLeaseExpires guards against a change of hub when the store
// stops responding. The hub holds the lease for roll-outs, and the store stays
// unresponsive until that lease has expired.
func TestHubRemainsAfterLeaseExpires(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newPlatform(t)
	vms := []*gatewayVM{p.start("vm1"), p.start("vm2")}
	for _, vm := range vms {
		eventually(t, "all VMs find the hub", func() bool { return vm.logged("hub_found") })
	}
	lost := vms[0].countLogged("hub_lost") + vms[1].countLogged("hub_lost")
	p.door.SetFault(platformtest.Unresponsive)
	eventually(t, "VM logs the end of the lease", func() bool { return vms[0].logged("lease_ended") || vms[1].logged("lease_ended") })
	p.appWorker.SetResponseDelay(hubObservation / hubRequests)
	for n := range hubRequests { // the VMs serve requests without the store
		status, _ := p.sendRequest(vms[n%2], "order", fmt.Sprint("without the store", n), "k1")
		is.Equal(status, http.StatusOK)
	}
	is.Equal(vms[0].countLogged("hub_lost")+vms[1].countLogged("hub_lost"), lost)
	p.door.SetFault(platformtest.StoreHealthy)
	eventually(t, "VM acquires the lease again", func() bool {
		return vms[0].countLogged("lease_taken")+vms[1].countLogged("lease_taken") > 1
	})
}

// checkGracefulShutdown terminates a VM while it serves a request. The VM must
// finish that request and serve new ones until it exits without an error.
func checkGracefulShutdown(t *testing.T, p *platformFixture, vm *gatewayVM) {
	t.Helper()
	is := is.New(t)
	t.Log("terminate a VM")
	p.appWorker.SetResponseDelay(1500 * time.Millisecond)
	answered := make(chan int, 1)
	go func() {
		status, _ := p.sendRequest(vm, "order", "during the stop", "k1")
		answered <- status
	}()
	eventually(t, "request is running", func() bool {
		for _, run := range p.appWorker.Runs() {
			if run.ID == "during the stop" {
				return true
			}
		}
		return false
	})
	vm.process.Terminate()
	eventually(t, "VM is no longer ready", func() bool { return p.status(vm.ready) == http.StatusServiceUnavailable })
	p.appWorker.SetResponseDelay(0)
	status, _ := p.sendRequest(vm, "look", "late", "k1")
	is.Equal(status, http.StatusOK) // new requests are served during the shutdown
	is.Equal(<-answered, http.StatusOK)
	select {
	case <-vm.process.Ended():
		is.NoErr(vm.process.Err())
	case <-time.After(10 * time.Second):
		t.Fatal("the VM did not exit within 10 s")
	}
	for _, event := range []string{"started", "configuration_in_force", "upstream_joined", "weights_wanted", "store_lost", "store_regained", "stopping", "stopped"} {
		is.True(vm.logged(event))
	}
}

func checkHeaderLimit(t *testing.T, vm *gatewayVM) {
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
