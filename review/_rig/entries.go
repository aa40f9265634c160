package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["entries"] = playEntries }

const (
	// foreignEntries is the number of entries of another writer, and foreignBytes the size of
	// each, which is value_bytes of the settings.
	foreignEntries = 160
	foreignBytes   = 1 << 20
	foreignPause   = 25 * time.Millisecond
	entriesLength  = 45 * time.Second
)

// playEntries starts two machines. While they serve, another writer puts entries that can't be
// read below servers/. The rule is broken if the processes of both machines end three times.
func playEntries(e *env) int {
	k := newWorker("i-1", "desk", e.rec)
	k.serve(e.store, "127.0.0.1")
	e.store.put("op/config", configuration(1, []map[string]any{route("look", "idempotent", "desk", 6000)}, "desk"))
	machines := startGuarded(e)
	defer func() {
		for _, m := range machines {
			m.g.stop()
		}
	}()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, m := range machines {
		if !m.g.waitReady(15 * time.Second) {
			return couldNot
		}
		wg.Go(func() { m.run(stop) })
		wg.Go(func() { m.runOrdinary(stop) })
	}
	time.Sleep(3 * time.Second)
	if e.trouble {
		blob := make([]byte, foreignBytes)
		for i := range blob {
			blob[i] = byte(i * 31)
		}
		for i := range foreignEntries {
			e.store.putBytes(fmt.Sprintf("servers/part-%03d", i), blob)
			time.Sleep(foreignPause)
		}
		e.rec.add("another writer has put %d entries of %d bytes", foreignEntries, foreignBytes)
	}
	length := entriesLength
	if !e.trouble {
		length /= 3
	}
	broke := watchEnds(e, machines, length)
	close(stop)
	wg.Wait()
	if broke {
		return broken
	}
	return held
}
