package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// machine holds the limits of a machine that a gateway runs on.
type machine struct {
	memoryMB int
	maxFDs   int
}

// gateway is one process of the system with its addresses, on a loopback address of its own.
type gateway struct {
	name     string
	ip       string
	front    string
	ready    string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	done     chan struct{}
	endState string
}

// freePort returns a free port on an address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// freePorts returns the first of n free ports in a row on an address.
func freePorts(ip string, n int) int {
	for {
		first, free := freePort(ip), true
		for p := first; p < first+n; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free && first+n < 65536 {
			return first
		}
	}
}

// newGateway writes the settings file of a gateway, like that of a small deployment.
func newGateway(dir, name, ip, storeAddress string, m machine, bounds string) *gateway {
	g := &gateway{name: name, ip: ip, front: fmt.Sprintf("%s:%d", ip, freePort(ip)), ready: fmt.Sprintf("%s:%d", ip, freePort(ip))}
	internal := freePorts(ip, 4)
	g.settings = filepath.Join(dir, name+".toml")
	text := fmt.Sprintf(`node = %q
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = "gogledd-a"
region = "gogledd"
internal_ports = [%d,%d]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
gogledd-a = "gogledd"
[listen]
front = %q
ready = %q
control = "%s:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %d
max_fds = %d
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
%s[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, name, ip, internal, internal+3, g.front, g.ready, ip, freePort(ip), m.memoryMB, m.maxFDs, bounds, storeAddress)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		panic(err)
	}
	g.log = log
	return g
}

// siteBounds are the bounds of the sheet of dysgl-ops.
const siteBounds = `seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2500
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2500
rollback_slack_ms = 250
max_skew_ms = 5000
strict_revoke = false
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
recover_s = 12
transit_ms = 200
reuse_window_s = 10
require_fencing = true
lease_ms = 3000
thaw_slack_ms = 300
version_ms = 6000
version_all_ms = 8400
`

// start starts the process with the command of the deploy file. A machine reports one core.
func (g *gateway) start(program string) {
	g.cmd = exec.Command(program, "gateway")
	g.cmd.Env = []string{"GENTIANSTEP_BOOT=" + g.settings, "GOMAXPROCS=1", "PATH=" + os.Getenv("PATH")}
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		panic(err)
	}
	g.done = make(chan struct{})
	go g.wait(g.cmd, g.done)
}

func (g *gateway) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	g.endState = fmt.Sprint(err)
	close(done)
}

// ended reports whether the process has ended.
func (g *gateway) ended() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// stop kills the process and waits for its end.
func (g *gateway) stop() {
	if g.cmd != nil {
		_ = g.cmd.Process.Kill()
		<-g.done
	}
}

// isReady asks the process whether it is ready, as the balancer does.
func (g *gateway) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/api/ready", nil)
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until the process is ready.
func (g *gateway) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return true
		}
	}
	return false
}

// residentMB returns the memory of the process, and the most that it has had.
func (g *gateway) residentMB() (now, most float64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "RssAnon:":
			now = kb / 1024
		case "VmHWM:":
			most = kb / 1024
		}
	}
	return now, most
}
