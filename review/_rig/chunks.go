package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["chunks"] = playChunks }

const (
	// chunkClients is the number of clients that send bodies in chunks of one byte.
	chunkClients = 100
	// chunkBody is the size of a body, below the limit of 4,194,304 bytes.
	chunkBody = 4_190_000
	// chunkRate is what they send together in bytes a second. The link of a machine carries
	// 1,000 Mbit/s, which is 125 MB/s.
	chunkRate = 80_000_000
	// processorShare is the share of a core that a machine has.
	processorShare = 0.4
	// bookTimeout is the timeout_ms of the ordinary route, and bookLate the time after it at
	// which an answer is missed.
	bookTimeout = 1200 * time.Millisecond
	bookLate    = 500 * time.Millisecond
	bookRate    = 10
	chunkLength = 30 * time.Second
	// minUnanswered is the number of requests without an answer at their timeout below which
	// nothing is judged.
	minUnanswered = 20
)

// pacer limits the bytes that all clients together send.
type pacer struct {
	mu   sync.Mutex
	next time.Time
	rate float64
}

func (p *pacer) wait(n int) {
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	at := p.next
	p.next = p.next.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	p.mu.Unlock()
	time.Sleep(time.Until(at))
}

// sendChunks sends a body in chunks of one byte that lacks its last one, and stays open until
// the gateway answers or closes.
func sendChunks(front, id string, p *pacer, sent *atomic.Int64) {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprint(c, head("POST", "/note/a", id, 6000), "Transfer-Encoding: chunked\r\n\r\n")
	const chunksAtOnce = 1000
	piece := []byte(strings.Repeat("1\r\nb\r\n", chunksAtOnce))
	for left := chunkBody; left > chunksAtOnce; left -= chunksAtOnce {
		p.wait(len(piece))
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		n, err := c.Write(piece)
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
	_, _ = c.Read(make([]byte, 512))
}

// outcome is what an ordinary client saw of its request.
type outcome struct {
	id     string
	status int
	took   time.Duration
	late   bool
	missed bool
}

// book sends one ordinary request and waits for its answer until bookLate after its timeout.
func book(front, id string) outcome {
	client := &http.Client{Timeout: bookTimeout + bookLate, Transport: &http.Transport{DisableKeepAlives: true}}
	r, _ := http.NewRequest(http.MethodPost, "http://"+front+"/book/x", strings.NewReader("hello"))
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(bookTimeout.Milliseconds(), 10))
	r.Header.Set("Credential", "ctnfzs989anu6wsjnban")
	at := time.Now()
	response, err := client.Do(r)
	o := outcome{id: id, took: time.Since(at)}
	o.late = o.took >= bookTimeout
	if err != nil {
		var timeout net.Error
		o.missed = errors.As(err, &timeout) && timeout.Timeout()
		return o
	}
	o.status = response.StatusCode
	response.Body.Close()
	return o
}

// playChunks has ordinary clients send small requests to a machine at which others send bodies
// in very small chunks. The rule is broken if more than half of the ordinary requests that have
// no answer at their route's timeout have none half a second later.
func playChunks(e *env) int {
	k := newWorker("i-1", "desk", e.rec)
	k.serve(e.store, "127.0.0.1")
	e.store.put("op/config", configuration(1, []map[string]any{
		route("book", "non_idempotent", "desk", int(bookTimeout.Milliseconds())), route("note", "idempotent", "desk", 4000),
	}, "desk"))
	g := newGateway(e.dir, "vm1", "127.0.0.2", e.storeAddress, machine{memoryMB: siteMemoryMB, maxFDs: siteMaxFDs}, siteBounds)
	g.start(e.program)
	defer g.stop()
	if !g.waitReady(15 * time.Second) {
		return couldNot
	}
	p, stop := &pacer{rate: chunkRate}, make(chan struct{})
	defer close(stop)
	go g.limitProcessor(processorShare, stop)
	time.Sleep(5 * time.Second) // the machine is in touch
	var sent atomic.Int64
	for client := 0; e.trouble && client < chunkClients; client++ {
		go func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					sendChunks(g.front, fmt.Sprintf("chunks-%05d-%05d", client, n), p, &sent)
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)
	code := playBooks(e, g, k, chunkLength)
	e.rec.add("sent %d MB of bodies", sent.Load()/1_000_000)
	return code
}

// playBooks sends ordinary requests for a time and judges the rule.
func playBooks(e *env, g *gateway, k *worker, length time.Duration) int {
	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	notReady, start := 0, time.Now()
	for n := 0; time.Since(start) < length; n++ {
		wg.Go(func() {
			o := book(g.front, fmt.Sprintf("book-%05d", n))
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
		if n%bookRate == 0 && !g.isReady() {
			notReady++
		}
		time.Sleep(time.Until(start.Add(time.Duration(n+1) * time.Second / bookRate)))
	}
	wg.Wait()
	slices.SortFunc(outcomes, func(a, b outcome) int { return strings.Compare(a.id, b.id) })
	answered, refused, late, missed := 0, 0, 0, 0
	for _, o := range outcomes {
		e.rec.add("%s: status %d after %d ms, no answer at the timeout %v, none half a second later %v, runs %d",
			o.id, o.status, o.took.Milliseconds(), o.late, o.missed, k.ran(o.id))
		switch {
		case o.late:
			late++
		case o.status == http.StatusOK:
			answered++
		default:
			refused++
		}
		if o.missed {
			missed++
		}
	}
	e.rec.add("not ready %d times; processor time of the process %.1f s", notReady, g.processorTime().Seconds())
	e.rec.add("%d ordinary requests: %d answered and %d refused in time, %d without an answer at their timeout, %d of these half a second later",
		len(outcomes), answered, refused, late, missed)
	if late >= minUnanswered && 2*missed > late {
		return broken
	}
	return held
}
