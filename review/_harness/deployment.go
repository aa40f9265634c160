package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// deployment is a set of gateway processes with their store and servers.
type deployment struct {
	root, dir     string
	store         *store
	storeAddr     string
	storeListener *mutableListener
	bounds        string
	servers       []*server
	gateways      []*gateway
	started       time.Time

	recordMu sync.Mutex
	record   bytes.Buffer
	nextID   atomic.Int64
}

// gateway is one gateway process.
type gateway struct {
	d                  *deployment
	node, ip, settings string
	front, ready       string
	mu                 sync.Mutex
	process            *exec.Cmd
	done               chan struct{}
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	os.Exit(exitCannotRun)
}

func newDeployment(bounds string) *deployment {
	root, err := os.Getwd()
	if err != nil {
		fail("%v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("%v", err)
	}
	d := &deployment{root: root, dir: dir, store: newStore(), bounds: bounds, started: time.Now()}
	go d.store.run()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	d.storeAddr, d.storeListener = l.Addr().String(), &mutableListener{Listener: l}
	go func() { _ = (&http.Server{Handler: d.store}).Serve(d.storeListener) }()
	return d
}

// logf adds a line to the record.
func (d *deployment) logf(format string, args ...any) {
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	fmt.Fprintf(&d.record, "%8.3f %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *deployment) seconds(t time.Time) float64 { return t.Sub(d.started).Seconds() }

// saveRecord writes the record to the folder of the case.
func (d *deployment) saveRecord() {
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	if err := os.WriteFile(os.Getenv("RECORD"), d.record.Bytes(), 0o600); err != nil {
		fail("%v", err)
	}
}

func (d *deployment) addServer(s *server) *server {
	s.listen(s)
	d.servers = append(d.servers, s)
	s.onChange = func() { d.store.write("servers/"+s.id, s.entry()) }
	s.onChange()
	return s
}

const zones = 3

// region returns the place of the machine with a number: its zone and its region.
func region(n int) (zone, name string) {
	return fmt.Sprintf("zone-%d", n%zones), fmt.Sprintf("region-%d", n%zones)
}

// startGateways starts processes on loopback addresses of their own, with the same ports.
func (d *deployment) startGateways(n int) {
	ports := d.freePorts(n)
	for i := range n {
		ip := machineIP(i)
		zone, name := region(i)
		g := &gateway{
			d: d, node: fmt.Sprintf("front-%d", i+1), ip: ip, settings: filepath.Join(d.dir, fmt.Sprintf("node-%d.toml", i+1)),
			front: fmt.Sprintf("%s:%d", ip, ports), ready: fmt.Sprintf("%s:%d", ip, ports+1),
		}
		text := fmt.Sprintf(`node = %q
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = %q
internal_ports = [%d,%d]
seeds = ["%s:%d","%s:%d"]
bootstrap = true
heartbeat_ms = 1200
[zones]
zone-0 = "region-0"
zone-1 = "region-1"
zone-2 = "region-2"
[listen]
front = %q
ready = %q
control = "%s:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 184
max_fds = 4100
link_mbps = 200.0
disk_mb = 0
[bounds]
%s
[platform]
address = %q
form = "kv"
writes_per_s = 1200
reads_per_s = 6000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, g.node, ip, zone, name, ports+3, ports+6, machineIP(0), ports+2, machineIP(1), ports+2, g.front, g.ready, ip, ports+2, d.bounds, d.storeAddr)
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			fail("%v", err)
		}
		d.gateways = append(d.gateways, g)
	}
	for _, g := range d.gateways {
		g.start()
	}
}

// machineIP returns the loopback address of a machine. Cases that run side by side have different
// ones, so that they do not take each other's ports.
func machineIP(n int) string {
	const most = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/most%most, 1+pid%most, n+1)
}

// freePorts returns the first of seven consecutive ports that are free on all machines.
func (d *deployment) freePorts(machines int) int {
	for first := 21000; first < 29000; first += 7 {
		free := true
		for i := 0; i < machines && free; i++ {
			for p := first; p < first+7 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", machineIP(i), p))
				if free = err == nil; free {
					_ = l.Close()
				}
			}
		}
		if free {
			return first
		}
	}
	fail("no free ports")
	return 0
}

// start starts the process as the deploy file says.
func (g *gateway) start() {
	out, err := os.OpenFile(g.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	cmd := exec.Command(filepath.Join(g.d.root, "target", "gentianstep"), "gateway")
	cmd.Dir = g.d.root
	cmd.Env = []string{"GENTIANSTEP_BOOT=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start gateway: %v", err)
	}
	done := make(chan struct{})
	g.mu.Lock()
	g.process, g.done = cmd, done
	g.mu.Unlock()
	g.d.logf("%s started", g.node)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		g.d.logf("%s ended: %v", g.node, err)
		close(done)
	}()
}

func (g *gateway) log() string {
	data, err := os.ReadFile(g.settings + ".log")
	if err != nil {
		fail("%v", err)
	}
	return string(data)
}

func (g *gateway) isReady() bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + g.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all gateways are ready and have found their hub.
func (d *deployment) waitReady() {
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, g := range d.gateways {
			ready = ready && g.isReady() && strings.Contains(g.log(), "hub_found")
		}
		if ready {
			d.logf("all gateways are ready")
			return
		}
		if time.Now().After(deadline) {
			d.close()
			fail("gateways are not ready in time")
		}
	}
}

// close ends all processes and removes the folder. With KEEP set, the logs stay.
func (d *deployment) close() {
	for _, g := range d.gateways {
		_ = g.process.Process.Signal(syscall.SIGCONT)
		_ = g.process.Process.Kill()
		<-g.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}

// finish saves the record and returns whether the rule held.
func finish(d *deployment, held bool) bool {
	d.logf("held: %t", held)
	d.saveRecord()
	return held
}

// holdsLease reports whether the process has taken the lease for roll-outs and not lost it.
func (g *gateway) holdsLease() bool {
	text := g.log()
	return strings.LastIndex(text, `"event":"lease_taken"`) > strings.LastIndex(text, `"event":"lease_ended"`)
}

// leaseHolder returns the gateway that holds the lease for roll-outs.
func (d *deployment) leaseHolder() *gateway {
	for _, g := range d.gateways {
		if g.holdsLease() {
			return g
		}
	}
	d.close()
	fail("no gateway holds the lease")
	return nil
}
