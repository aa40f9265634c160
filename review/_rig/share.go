package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// sharePeriod is the time for which a machine has a quota of its core.
	sharePeriod = 100 * time.Millisecond
	shareSample = 2 * time.Millisecond
)

// limitProcessor gives a process a share of one core as a quota, until stop is closed: it runs
// until the quota is used up, and then not at all for the rest of the period.
func (g *gateway) limitProcessor(share float64, stop chan struct{}) {
	quota := time.Duration(share * float64(sharePeriod))
	for {
		end, used := time.Now().Add(sharePeriod), g.processorTime()
		for time.Now().Before(end) {
			select {
			case <-stop:
				return
			case <-time.After(shareSample):
			}
			if g.processorTime()-used < quota || g.ended() {
				continue
			}
			_ = g.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Until(end))
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
		}
	}
}

// processorTime returns the processor time that the threads of the process have used.
func (g *gateway) processorTime() time.Duration {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", g.cmd.Process.Pid))
	sum := int64(0)
	for _, file := range files {
		data, _ := os.ReadFile(file)
		if fields := strings.Fields(string(data)); len(fields) > 0 {
			n, _ := strconv.ParseInt(fields[0], 10, 64)
			sum += n
		}
	}
	return time.Duration(sum)
}
