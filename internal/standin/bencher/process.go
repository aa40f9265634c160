package bencher

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// Fields of /proc/PID/stat after the name of the command.
const (
	fieldUserTicks   = 11
	fieldSystemTicks = 12
	fieldPages       = 21
)

// Process is a running process to watch.
type Process struct {
	Name string
	PID  int
}

// Use is what a process used over a span of time.
type Use struct {
	Name string
	// Cores is the mean number of cores in use.
	Cores float64
	// Resident is the memory at the end, in bytes.
	Resident int64
}

// snapshot is the state of a process at one moment.
type snapshot struct {
	ticks    int64
	resident int64
}

func watch(ctx context.Context, processes []Process, length time.Duration) ([]Use, error) {
	return watchDuring(processes, func() { sleepUntil(ctx, time.Now().Add(length)) })
}

// watchDuring returns what the processes used while work ran.
func watchDuring(processes []Process, work func()) ([]Use, error) {
	before, err := snapshots(processes)
	if err != nil {
		return nil, err
	}
	begin := time.Now()
	work()
	span := time.Since(begin)
	after, err := snapshots(processes)
	if err != nil {
		return nil, err
	}
	uses := make([]Use, 0, len(processes))
	for i, p := range processes {
		seconds := float64(after[i].ticks-before[i].ticks) / ticksPerSecond
		uses = append(uses, Use{Name: p.Name, Cores: seconds / span.Seconds(), Resident: after[i].resident})
	}
	return uses, nil
}

func snapshots(processes []Process) ([]snapshot, error) {
	list := make([]snapshot, 0, len(processes))
	for _, p := range processes {
		s, err := read(p.PID)
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	return list, nil
}

func read(pid int) (snapshot, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return snapshot{}, fmt.Errorf("watch process: %w", err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldPages {
		return snapshot{}, fmt.Errorf("watch process %d: got %d fields", pid, len(fields))
	}
	var numbers [3]int64
	for i, field := range []int{fieldUserTicks, fieldSystemTicks, fieldPages} {
		numbers[i], err = strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return snapshot{}, fmt.Errorf("watch process: %w", err)
		}
	}
	return snapshot{ticks: numbers[0] + numbers[1], resident: numbers[2] * int64(os.Getpagesize())}, nil
}
