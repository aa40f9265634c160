package launcher

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/operating/configurer"
)

// CallerKey is the API key of the only organisation of a Deployment, sent as a
// bearer token.
const CallerKey = "caller-key"

// startTimeout is the maximum time that a process may take to become ready.
const startTimeout = 20 * time.Second

// Deployment is a complete system in one region, in which each component runs
// as a process of its own.
type Deployment struct {
	Programs Programs
	// Platform is the process of the simulated platform.
	Platform *Process
	// PlatformAddress is the address that the simulated platform listens on.
	PlatformAddress netip.AddrPort
	Engines         []*Upstream
	Services        []*Upstream
	VMs             []*VM
	Bundle          checker.Bundle

	t   testing.TB
	dir string
	key configurer.BundleKey
	// publishes counts the calls of Publish. A version may be published again.
	publishes int
}

// Upstream is the process of a simulated engine or plain service.
type Upstream struct {
	*Process
	Name    string
	Address netip.AddrPort
}

// VM holds the router and the controller of one simulated VM and the settings
// that they share.
type VM struct {
	Router     *Process
	Controller *Process
	Settings   configurer.Settings
	// SettingsPath is the path of the settings file that both processes read.
	SettingsPath string
}

// Shape configures a Deployment: the number of its processes, the options of its
// engines, and changes to its bundle and settings.
type Shape struct {
	VMs      int
	Engines  int
	Services int
	// EngineArgs are appended to the command line of each engine.
	EngineArgs []string
	// Change, if set, modifies the bundle before Deploy signs it.
	Change func(b *checker.Bundle)
	// Settings, if set, modifies the settings of VM i before Deploy writes them
	// to its settings file.
	Settings func(i int, s *configurer.Settings)
}

// Deploy starts a deployment, publishes its bundle and waits until all routers
// are ready.
func Deploy(t testing.TB, shape Shape) *Deployment {
	t.Helper()
	d := &Deployment{t: t, Programs: Build(t), dir: t.TempDir()}
	d.startPlatform()
	d.Bundle = baseBundle()
	for i := range shape.Engines {
		d.startEngine(i, shape.EngineArgs)
	}
	for i := range shape.Services {
		d.startService(i)
	}
	if shape.Services == 0 {
		d.Bundle.Services = nil
	}
	if shape.Change != nil {
		shape.Change(&d.Bundle)
	}
	d.createBundleKey()
	d.writeVMSettings(shape)
	for i := range d.VMs {
		d.StartController(i)
		d.StartRouter(i)
	}
	d.Publish()
	for _, vm := range d.VMs {
		d.WaitReady(vm)
	}
	return d
}

// URL returns the URL of path on the router of VM i.
func (d *Deployment) URL(i int, path string) string {
	return "http://" + d.VMs[i].Settings.Router.CallerAddress.String() + path
}

// StartRouter starts the router of VM i. It can be called again after the
// previous process has exited.
func (d *Deployment) StartRouter(i int) {
	vm := d.VMs[i]
	vm.Router = Start(d.t, fmt.Sprintf("router-%d", i), d.Programs.Gentianstep, "router", "--settings", vm.SettingsPath)
}

// StartController starts the controller of VM i. It can be called again after
// the previous process has exited.
func (d *Deployment) StartController(i int) {
	vm := d.VMs[i]
	vm.Controller = Start(d.t, fmt.Sprintf("controller-%d", i), d.Programs.Gentianstep, "controller", "--settings", vm.SettingsPath)
}

// WaitReady waits until the readiness endpoint of the router of vm returns status
// 200.
func (d *Deployment) WaitReady(vm *VM) {
	d.t.Helper()
	url := "http://" + vm.Settings.Router.OperatorAddress.String() + "/ready"
	Until(d.t, startTimeout, "readiness of the router", func() bool { return Answers(d.t.Context(), url) })
}

// Publish signs the bundle and publishes it to the platform.
func (d *Deployment) Publish() {
	d.t.Helper()
	d.publishes++
	plain, signed := d.publishPath("bundle"), d.publishPath("signed")
	d.writeJSON(plain, d.Bundle)
	d.runCommand("bundle", "sign", "--bundle", plain, "--key", filepath.Join(d.dir, "ops-1.key"), "--out", signed)
	d.runCommand("bundle", "publish", "--bundle", signed, "--settings", d.VMs[0].SettingsPath)
}

func (d *Deployment) startPlatform() {
	d.Platform, d.PlatformAddress = d.startServer("platform", "/v1/vms", "platform")
}

// startServer starts a stand-in on a free address and waits until it answers requests
// for a path. If it exits instead, another address is tried: a process that is being
// started elsewhere in the test may hold the socket with which FreeAddress checked it.
func (d *Deployment) startServer(name, path string, args ...string) (*Process, netip.AddrPort) {
	d.t.Helper()
	deadline := time.Now().Add(startTimeout)
	for {
		address := FreeAddress(d.t)
		p := Start(d.t, name, d.Programs.Standin, append(args, "--address", address.String())...)
		exited := false
		Until(d.t, time.Until(deadline), "start of "+name, func() bool {
			exited = p.HasEnded()
			return exited || Answers(d.t.Context(), "http://"+address.String()+path)
		})
		if !exited {
			return p, address
		}
		d.t.Logf("%s on %s exited at its start: %v: %s", name, address, p.Err(), p.Output())
	}
}

func (d *Deployment) startEngine(i int, args []string) {
	u := &Upstream{Name: fmt.Sprintf("tile-%d", i)}
	args = append([]string{"engine", "--name", u.Name}, args...)
	u.Process, u.Address = d.startServer(u.Name, "/v1/control/status", args...)
	d.Engines = append(d.Engines, u)
	d.Bundle.Upstreams = append(d.Bundle.Upstreams, checker.Upstream{
		Name: u.Name, Kind: checker.Engine, Address: u.Address, Region: region, AvailabilityZone: availabilityZone,
		Models: []string{model}, Slots: 8, ChecksFencing: true,
	})
}

func (d *Deployment) startService(i int) {
	u := &Upstream{Name: fmt.Sprintf("desk-%d", i)}
	u.Process, u.Address = d.startServer(u.Name, "/v1/control/ledger", "service", "--name", u.Name)
	d.Services = append(d.Services, u)
	d.Bundle.Upstreams = append(d.Bundle.Upstreams, checker.Upstream{
		Name: u.Name, Kind: checker.PlainService, Address: u.Address, Region: region, AvailabilityZone: availabilityZone, Slots: 8,
	})
	d.Bundle.Services[0].Upstreams = append(d.Bundle.Services[0].Upstreams, u.Name)
}

func (d *Deployment) createBundleKey() {
	d.t.Helper()
	text := d.runCommand("keys", "new", "--id", "ops-1", "--out", filepath.Join(d.dir, "ops-1.key"))
	if err := json.Unmarshal(text, &d.key); err != nil {
		d.t.Fatalf("decode public key %q printed by keys new: %v", text, err)
	}
}

func (d *Deployment) writeVMSettings(shape Shape) {
	peers := make([]netip.AddrPort, 0, shape.VMs)
	for range shape.VMs {
		peers = append(peers, FreeAddress(d.t))
	}
	for i, peer := range peers {
		vm := &VM{
			SettingsPath: filepath.Join(d.dir, fmt.Sprintf("vm-%d.json", i)),
			Settings: configurer.Settings{
				Deployment:       d.Bundle.Deployment,
				Node:             fmt.Sprintf("vm-%d", i),
				Region:           region,
				AvailabilityZone: availabilityZone,
				Router:           configurer.RouterSettings{CallerAddress: FreeAddress(d.t), OperatorAddress: FreeAddress(d.t)},
				Controller:       configurer.ControllerSettings{PeerAddress: peer, OperatorAddress: FreeAddress(d.t), Peers: peers},
				Platform:         configurer.PlatformSettings{Address: d.PlatformAddress},
				Trust:            configurer.TrustSettings{BundleKeys: []configurer.BundleKey{d.key}, Threshold: 1},
				Log:              configurer.LogSettings{Format: "json", Level: "info"},
			},
		}
		if shape.Settings != nil {
			shape.Settings(i, &vm.Settings)
		}
		d.writeJSON(vm.SettingsPath, vm.Settings)
		d.VMs = append(d.VMs, vm)
	}
}

func (d *Deployment) writeJSON(path string, body any) {
	d.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		d.t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		d.t.Fatal(err)
	}
}

func (d *Deployment) runCommand(args ...string) []byte {
	d.t.Helper()
	command := exec.CommandContext(d.t.Context(), d.Programs.Gentianstep, args...)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	out, err := command.Output()
	if err != nil {
		d.t.Fatalf("run gentianstep %v: %v\n%s", args, err, stderr.String())
	}
	return out
}

func callerKeyHash() string {
	sum := sha256.Sum256([]byte(CallerKey))
	return hex.EncodeToString(sum[:])
}

// publishPath returns the path of the file name for the current publish.
func (d *Deployment) publishPath(name string) string {
	return filepath.Join(d.dir, fmt.Sprintf("%s-%d.json", name, d.publishes))
}
