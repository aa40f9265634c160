package main

import (
	"fmt"
	"time"
)

func init() { cases["unnamed"] = playUnnamed }

const (
	// unnamedEntries is the number of entries of a service that no configuration names, and
	// unnamedInterval the time after which each is written again.
	unnamedEntries  = 4000
	unnamedInterval = 5 * time.Second
	unnamedLength   = 40 * time.Second
)

// putUnnamed writes the entries of another writer until stop is closed.
func putUnnamed(e *env, stop chan struct{}) {
	for n, start := 0, time.Now(); ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		number, round := n%unnamedEntries, n/unnamedEntries
		e.store.put(fmt.Sprintf("servers/batch-%05d", number), map[string]any{
			"service": "batch", "address": fmt.Sprintf("127.0.1.%d:%d", number%250+1, 10000+number), "zone": "gogledd-a",
			"version": "v1", "slots": 1, "state": "ready", "cold_remaining_ms": 0, "sequence": round, "born": start.UnixMilli(),
		})
		time.Sleep(time.Until(start.Add(time.Duration(n+1) * unnamedInterval / unnamedEntries)))
	}
}

// playUnnamed has another writer keep entries of a service that isn't named below servers/, while
// ordinary clients send requests to a machine. The rule is the same as of the case chunks.
func playUnnamed(e *env) int {
	k := newWorker("i-1", "desk", e.rec)
	k.serve(e.store, "127.0.0.1")
	e.store.put("op/config", configuration(1, []map[string]any{
		route("book", "non_idempotent", "desk", int(bookTimeout.Milliseconds())),
	}, "desk"))
	g := newGateway(e.dir, "vm1", "127.0.0.2", e.storeAddress, machine{memoryMB: siteMemoryMB, maxFDs: siteMaxFDs}, siteBounds)
	g.start(e.program)
	defer g.stop()
	if !g.waitReady(15 * time.Second) {
		return couldNot
	}
	stop := make(chan struct{})
	defer close(stop)
	go g.limitProcessor(processorShare, stop)
	time.Sleep(5 * time.Second) // the machine is in touch
	if e.trouble {
		go putUnnamed(e, stop)
	}
	return playBooks(e, g, k, unnamedLength)
}
