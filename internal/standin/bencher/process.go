package bencher

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the number of clock ticks per second of CPU time in /proc.
const ticksPerSecond = 100

// Indexes of fields in /proc/PID/stat, counted from the first one after the command
// name.
const (
	fieldUserTicks     = 11
	fieldSystemTicks   = 12
	fieldResidentPages = 21
)

// Process identifies a running process to measure.
type Process struct {
	Name string
	PID  int
}

// ResourceUsage holds the resource usage of a process over a period of time.
type ResourceUsage struct {
	Name string
	// Cores is the mean number of CPU cores in use.
	Cores float64
	// Resident is the resident memory at the end of the period, in bytes.
	Resident int64
}

// snapshot holds the resource counters of a process at one point in time.
type snapshot struct {
	ticks    int64
	resident int64
}

func measureIdle(ctx context.Context, processes []Process, length time.Duration) ([]ResourceUsage, error) {
	return measureDuring(processes, func() { sleepUntil(ctx, time.Now().Add(length)) })
}

// measureDuring returns the resource usage of the processes while work runs.
func measureDuring(processes []Process, work func()) ([]ResourceUsage, error) {
	before, err := readSnapshots(processes)
	if err != nil {
		return nil, err
	}
	begin := time.Now()
	work()
	elapsed := time.Since(begin)
	after, err := readSnapshots(processes)
	if err != nil {
		return nil, err
	}
	uses := make([]ResourceUsage, 0, len(processes))
	for i, p := range processes {
		seconds := float64(after[i].ticks-before[i].ticks) / ticksPerSecond
		uses = append(uses, ResourceUsage{Name: p.Name, Cores: seconds / elapsed.Seconds(), Resident: after[i].resident})
	}
	return uses, nil
}

func readSnapshots(processes []Process) ([]snapshot, error) {
	list := make([]snapshot, 0, len(processes))
	for _, p := range processes {
		s, err := readSnapshot(p.PID)
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	return list, nil
}

func readSnapshot(pid int) (snapshot, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return snapshot{}, fmt.Errorf("read stat of process: %w", err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldResidentPages {
		return snapshot{}, fmt.Errorf("parse stat of process %d: got %d fields, too few", pid, len(fields))
	}
	var numbers [3]int64
	for i, field := range []int{fieldUserTicks, fieldSystemTicks, fieldResidentPages} {
		numbers[i], err = strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return snapshot{}, fmt.Errorf("parse stat of process: %w", err)
		}
	}
	return snapshot{ticks: numbers[0] + numbers[1], resident: numbers[2] * int64(os.Getpagesize())}, nil
}
