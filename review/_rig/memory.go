package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["bodies"] = playBodies }

const (
	// siteMemoryMB and siteMaxFDs are those of a machine of the site dysgl-ops.
	siteMemoryMB = 134
	siteMaxFDs   = 4100
	// bodyClients is the number of clients at one machine that stop short of the end of a body.
	bodyClients = 3000
	// bodyBytes is the size of a body, far below the limit of the configuration, and bodyChunk
	// that of its chunks.
	bodyBytes = 16000
	bodyChunk = 4000
	// bodyReturn is how long a client whose connection was closed waits before the next one.
	bodyReturn = 200 * time.Millisecond
	// endsToBreak is the number of ends of the processes of each machine that break the rule.
	endsToBreak = 3
	// restartDelay is the time until the platform starts a process again.
	restartDelay  = 500 * time.Millisecond
	bodiesLength  = 70 * time.Second
	memorySample  = 20 * time.Millisecond
	ordinaryPause = 100 * time.Millisecond
)

// guardedMachine is a machine that kills its process when that exceeds the memory, and starts
// it again.
type guardedMachine struct {
	e        *env
	g        *gateway
	memoryMB int
	ends     atomic.Int64
	mostMB   atomic.Int64
	sent     atomic.Int64
	served   atomic.Int64
	refused  atomic.Int64
	failed   atomic.Int64
}

// run watches the process until stop is closed.
func (m *guardedMachine) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memorySample):
		}
		now, _ := m.g.residentMB()
		m.mostMB.Store(max(m.mostMB.Load(), int64(now)))
		ended := m.g.ended()
		if now <= float64(m.memoryMB) && !ended {
			continue
		}
		n := m.ends.Add(1)
		m.e.rec.add("%s: process ends, anonymous memory %.0f MB of %d MB, ended by itself %v (end %d)", m.g.name, now, m.memoryMB, ended, n)
		m.g.stop()
		select {
		case <-stop:
			return
		case <-time.After(restartDelay):
		}
		m.g.start(m.e.program)
	}
}

// sendBody sends a request whose chunked body stops one byte short of its end, and stays open
// until the gateway answers or closes.
func (m *guardedMachine) sendBody(client, n int) {
	c, err := net.DialTimeout("tcp", m.g.front, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	m.sent.Add(1)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	w := bufio.NewWriterSize(c, 8<<10)
	fmt.Fprint(w, head("POST", "/look/a", fmt.Sprintf("%s-%05d-%05d", m.g.name, client, n), 6000), "Transfer-Encoding: chunked\r\n\r\n")
	for left := bodyBytes; left > 0; left -= bodyChunk {
		size := min(bodyChunk, left)
		sent := size
		if left == size {
			sent-- // the last byte is missing
		}
		fmt.Fprintf(w, "%x\r\n%s", size, strings.Repeat("b", sent))
		if sent == size {
			fmt.Fprint(w, "\r\n")
		}
	}
	if w.Flush() == nil {
		_, _ = c.Read(make([]byte, 512))
	}
}

// runOrdinary sends small whole requests, one after the other.
func (m *guardedMachine) runOrdinary(stop chan struct{}) {
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(ordinaryPause):
		}
		r, _ := http.NewRequest(http.MethodPost, "http://"+m.g.front+"/look/b", strings.NewReader("hello"))
		r.Host = host
		r.Header.Set("Request-Id", fmt.Sprintf("%s-ordinary-%05d", m.g.name, n))
		r.Header.Set("Deadline-Ms", "6000")
		r.Header.Set("Credential", "ctnfzs989anu6wsjnban")
		response, err := client.Do(r)
		switch {
		case err != nil:
			m.failed.Add(1)
		case response.StatusCode == http.StatusOK:
			m.served.Add(1)
		default:
			m.refused.Add(1)
		}
		if err == nil {
			response.Body.Close()
		}
	}
}

// playBodies starts two machines. Many clients send chunked bodies to each that stop just
// short of their end and stay open. The rule is broken if the processes of both machines end
// three times.
func playBodies(e *env) int {
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
		now, _ := m.g.residentMB()
		e.rec.add("%s: ready, anonymous memory %.0f MB", m.g.name, now)
		wg.Go(func() { m.run(stop) })
		wg.Go(func() { m.runOrdinary(stop) })
		for client := 0; e.trouble && client < bodyClients; client++ {
			wg.Go(func() {
				for n := 0; ; n++ {
					m.sendBody(client, n)
					select {
					case <-stop:
						return
					case <-time.After(bodyReturn):
					}
				}
			})
		}
	}
	length := bodiesLength
	if !e.trouble {
		length /= 4
	}
	broke := watchEnds(e, machines, length)
	close(stop)
	if broke {
		return broken
	}
	return held
}

// startGuarded starts two machines of the site dysgl-ops.
func startGuarded(e *env) []*guardedMachine {
	machines := []*guardedMachine{}
	for i, name := range []string{"vm1", "vm2"} {
		g := newGateway(e.dir, name, fmt.Sprintf("127.0.0.%d", i+2), e.storeAddress, machine{memoryMB: siteMemoryMB, maxFDs: siteMaxFDs}, siteBounds)
		g.start(e.program)
		machines = append(machines, &guardedMachine{e: e, g: g, memoryMB: siteMemoryMB})
	}
	return machines
}

// watchEnds records what the machines did until the processes of each have ended as often as
// breaks the rule, and reports whether they have within a time.
func watchEnds(e *env, machines []*guardedMachine, length time.Duration) bool {
	broke := func() bool {
		return machines[0].ends.Load() >= endsToBreak && machines[1].ends.Load() >= endsToBreak
	}
	for end := time.Now().Add(length); time.Now().Before(end) && !broke(); time.Sleep(time.Second) {
		for _, m := range machines {
			e.rec.add("%s: bodies sent %d; ordinary requests served %d, refused %d, without an answer %d; most memory %d MB",
				m.g.name, m.sent.Load(), m.served.Load(), m.refused.Load(), m.failed.Load(), m.mostMB.Load())
		}
	}
	for _, m := range machines {
		e.rec.add("%s: %d ends of its process, most memory %d MB", m.g.name, m.ends.Load(), m.mostMB.Load())
	}
	return broke()
}
