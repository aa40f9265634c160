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
	"sync"
	"syscall"
	"time"
)

// gateway is a process of the deploy file on a VM of its own.
type gateway struct {
	site  *site
	name  string
	ip    string
	front string
	ready string
	// settings is the path of the settings file.
	settings string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func newGateway(s *site, i int) (*gateway, error) {
	g := &gateway{site: s, name: fmt.Sprintf("front-a-%d", i+1), ip: fmt.Sprintf("127.0.2.%d", i+1)}
	var control, internal string
	for _, address := range []*string{&g.front, &g.ready, &control, &internal} {
		var err error
		if *address, err = freeAddress(g.ip); err != nil {
			return nil, err
		}
	}
	_, port, err := net.SplitHostPort(internal)
	if err != nil {
		return nil, err
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	g.settings = filepath.Join(s.dir, g.name+".toml")
	text := fmt.Sprintf(settingsFormat, g.name, g.ip, first, first+1, control, g.front, g.ready, control, s.storeAddress)
	return g, os.WriteFile(g.settings, []byte(text), 0o600)
}

// settingsFormat is that of the settings file, with the figures of a small installation.
const settingsFormat = `node = %q
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = "a"
region = "r"
internal_ports = [%d,%d]
seeds = [%q]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
a = "r"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 134
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
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
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	log, err := os.OpenFile(filepath.Join(g.site.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = log.Close() }()
	command := exec.CommandContext(context.Background(), g.site.Program, "gateway")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GENTIANSTEP_BOOT=" + g.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start gateway: %w", err)
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.command, g.exited = command, exited
	g.mu.Unlock()
	g.site.Record.printf("%s: process starts", g.name)
	go func() {
		defer close(exited)
		_ = command.Wait()
	}()
	return nil
}

// end ends the process by SIGKILL and waits for its end.
func (g *gateway) end() {
	g.mu.Lock()
	command, exited := g.command, g.exited
	g.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-exited
}

// isReady sends the platform's readiness check.
func (g *gateway) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
