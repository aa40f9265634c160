package starter

import (
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/operating/reserver"
)

const (
	// memoryLimitShare is the largest fraction of the process's memory limit that is set as the
	// soft limit of the Go runtime, runtimeShare that of what programBytes leave. The rest is for
	// bytes that connections have received and the process has not read.
	memoryLimitShare = 0.7
	runtimeShare     = 0.75
	// programBytes is the memory that the Go runtime does not count: pages of the program file,
	// and of the C library.
	programBytes = 28 << 20
	// processBytes is what the runtime holds besides the memory of clients, without responses of
	// the store and of engines.
	processBytes = 20 << 20
	// clientMemoryShare is the share of the rest for the memory of clients. What remains covers
	// garbage that is not collected yet and reads of the store.
	clientMemoryShare = 0.75
	// minClientMemoryShare is the least share of the memory limit, for processes with little.
	minClientMemoryShare = 0.125
)

// softLimit returns the soft limit of the Go runtime for a process with a memory limit.
func softLimit(limit int64) int64 {
	share := int64(memoryLimitShare * float64(limit))
	return max(min(share, int64(runtimeShare*float64(limit-programBytes))), share/2)
}

// clientMemory returns the budget for the memory of clients of a process with a memory limit,
// 0 if it has no limit.
func clientMemory(limit int64) int64 {
	rest := float64(softLimit(limit)) - processBytes
	return reserver.BudgetFor(int64(max(clientMemoryShare*rest, minClientMemoryShare*float64(limit))))
}

// routerMemory returns the memory limit of a router in bytes.
func routerMemory(settings *configurer.Settings) int64 { return int64(settings.Router.MemoryMB) << 20 }

// newRouterReserver returns the budget for the bytes of callers of a router.
func newRouterReserver(settings *configurer.Settings, m *meter.Meter, log *logrus.Entry) *reserver.Reserver {
	return reserver.New(reserver.Config{Bytes: clientMemory(routerMemory(settings)), Meter: m, Log: log})
}
