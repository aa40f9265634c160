package starter

import (
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/operating/meter"
	"gentianstep.example/gentianstep/internal/operating/reserver"
)

const (
	// processBytes is what a process holds besides the bytes of its clients. A gateway with 300
	// idle connections has 29 MB in memory, one with 300 large heads 37 MB.
	processBytes = 40 << 20
	// clientMemoryShare is the share of the rest for the bytes of clients. What remains covers
	// garbage that is not collected yet and reads of the store.
	clientMemoryShare = 0.7
	// minClientMemoryShare is the least share of the memory limit, for processes with little.
	minClientMemoryShare = 0.125
)

// clientMemory returns the budget for the bytes of clients of a process with a memory limit,
// 0 if it has no limit.
func clientMemory(limit int64) int64 {
	rest := memoryLimitShare*float64(limit) - processBytes
	return int64(max(clientMemoryShare*rest, minClientMemoryShare*float64(limit)))
}

// routerMemory returns the memory limit of a router in bytes.
func routerMemory(settings *configurer.Settings) int64 { return int64(settings.Router.MemoryMB) << 20 }

// newRouterReserver returns the budget for the bytes of callers of a router.
func newRouterReserver(settings *configurer.Settings, m *meter.Meter, log *logrus.Entry) *reserver.Reserver {
	return reserver.New(reserver.Config{Bytes: clientMemory(routerMemory(settings)), Meter: m, Log: log})
}
