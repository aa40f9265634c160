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

// CallerKey is the bearer key of the one organisation of a Deployment.
const CallerKey = "caller-key"

// startTimeout bounds the wait for a process to answer.
const startTimeout = 20 * time.Second

// Deployment is a whole system of real processes in one region.
type Deployment struct {
	Programs Programs
	Platform *Process
	// PlatformAddress is where the platform's stand-in listens.
	PlatformAddress netip.AddrPort
	Engines         []*Upstream
	Services        []*Upstream
	VMs             []*VM
	Bundle          checker.Bundle

	t   testing.TB
	dir string
	key configurer.BundleKey
}

// Upstream is a stand-in of an engine or a plain service.
type Upstream struct {
	*Process
	Name    string
	Address netip.AddrPort
}

// VM is one router and one controller with their settings.
type VM struct {
	Router     *Process
	Controller *Process
	Settings   configurer.Settings
	// SettingsPath is the settings file of both processes.
	SettingsPath string
}

// Shape says how large a Deployment is and how its stand-ins behave.
type Shape struct {
	VMs      int
	Engines  int
	Services int
	// EngineArgs are added to the command line of each engine.
	EngineArgs []string
	// Change alters the bundle before it is signed.
	Change func(b *checker.Bundle)
	// Settings alters the settings of VM i before they are written.
	Settings func(i int, s *configurer.Settings)
}

// Deploy starts a deployment and waits until its routers are ready.
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
	d.makeKey()
	d.prepareVMs(shape)
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

// URL returns the address of VM i's router with path.
func (d *Deployment) URL(i int, path string) string {
	return "http://" + d.VMs[i].Settings.Router.CallerAddress.String() + path
}

// StartRouter starts the router of VM i, also after its end.
func (d *Deployment) StartRouter(i int) {
	vm := d.VMs[i]
	vm.Router = Start(d.t, fmt.Sprintf("router-%d", i), d.Programs.Gentianstep, "router", "--settings", vm.SettingsPath)
}

// StartController starts the controller of VM i, also after its end.
func (d *Deployment) StartController(i int) {
	vm := d.VMs[i]
	vm.Controller = Start(d.t, fmt.Sprintf("controller-%d", i), d.Programs.Gentianstep, "controller", "--settings", vm.SettingsPath)
}

// WaitReady waits until the router of vm says that it is ready.
func (d *Deployment) WaitReady(vm *VM) {
	d.t.Helper()
	url := "http://" + vm.Settings.Router.OperatorAddress.String() + "/ready"
	Until(d.t, startTimeout, "router ready", func() bool { return Answers(d.t.Context(), url) })
}

// Publish signs and publishes the bundle.
func (d *Deployment) Publish() {
	d.t.Helper()
	plain, signed := d.versionPath("bundle"), d.versionPath("signed")
	d.writeJSON(plain, d.Bundle)
	d.command("bundle", "sign", "--bundle", plain, "--key", filepath.Join(d.dir, "ops-1.key"), "--out", signed)
	d.command("bundle", "publish", "--bundle", signed, "--settings", d.VMs[0].SettingsPath)
}

func (d *Deployment) startPlatform() {
	d.PlatformAddress = FreeAddress(d.t)
	address := d.PlatformAddress.String()
	d.Platform = Start(d.t, "platform", d.Programs.Standin, "platform", "--address", address)
	Until(d.t, startTimeout, "platform", func() bool { return Answers(d.t.Context(), "http://"+address+"/v1/vms") })
}

func (d *Deployment) startEngine(i int, args []string) {
	u := &Upstream{Name: fmt.Sprintf("tile-%d", i), Address: FreeAddress(d.t)}
	args = append([]string{"engine", "--name", u.Name, "--address", u.Address.String()}, args...)
	u.Process = Start(d.t, u.Name, d.Programs.Standin, args...)
	d.Engines = append(d.Engines, u)
	d.Bundle.Upstreams = append(d.Bundle.Upstreams, checker.Upstream{
		Name: u.Name, Kind: checker.Engine, Address: u.Address, Region: region, AvailabilityZone: zone,
		Models: []string{model}, Slots: 8, ChecksFencing: true,
	})
	url := "http://" + u.Address.String() + "/v1/control/status"
	Until(d.t, startTimeout, u.Name, func() bool { return Answers(d.t.Context(), url) })
}

func (d *Deployment) startService(i int) {
	u := &Upstream{Name: fmt.Sprintf("desk-%d", i), Address: FreeAddress(d.t)}
	u.Process = Start(d.t, u.Name, d.Programs.Standin, "service", "--name", u.Name, "--address", u.Address.String())
	d.Services = append(d.Services, u)
	d.Bundle.Upstreams = append(d.Bundle.Upstreams, checker.Upstream{
		Name: u.Name, Kind: checker.PlainService, Address: u.Address, Region: region, AvailabilityZone: zone, Slots: 8,
	})
	d.Bundle.Services[0].Upstreams = append(d.Bundle.Services[0].Upstreams, u.Name)
	url := "http://" + u.Address.String() + "/v1/control/ledger"
	Until(d.t, startTimeout, u.Name, func() bool { return Answers(d.t.Context(), url) })
}

func (d *Deployment) makeKey() {
	d.t.Helper()
	text := d.command("keys", "new", "--id", "ops-1", "--out", filepath.Join(d.dir, "ops-1.key"))
	if err := json.Unmarshal(text, &d.key); err != nil {
		d.t.Fatalf("public key %q: %v", text, err)
	}
}

func (d *Deployment) prepareVMs(shape Shape) {
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
				AvailabilityZone: zone,
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

func (d *Deployment) command(args ...string) []byte {
	d.t.Helper()
	command := exec.CommandContext(d.t.Context(), d.Programs.Gentianstep, args...)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	out, err := command.Output()
	if err != nil {
		d.t.Fatalf("gentianstep %v: %v\n%s", args, err, stderr.String())
	}
	return out
}

func callerKeyHash() string {
	sum := sha256.Sum256([]byte(CallerKey))
	return hex.EncodeToString(sum[:])
}

// versionPath returns the path of a file of the bundle's current version.
func (d *Deployment) versionPath(name string) string {
	return filepath.Join(d.dir, fmt.Sprintf("%s-%d.json", name, d.Bundle.Version))
}
