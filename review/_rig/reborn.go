package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["reborn"] = playReborn }

const (
	engineModel   = "daka510000"
	requesterKey  = "ctnfzs989anu6wsjnban"
	rebornEngines = 5
	rebornRounds  = 6
	// rebornCut is the length of a cut, rebornCrash the time from its beginning to the crash, and
	// rebornDown that until the engine is back, behind the cut.
	rebornCut   = 2 * time.Second
	rebornCrash = 300 * time.Millisecond
	rebornDown  = 700 * time.Millisecond
	rebornPause = 3 * time.Second
	// A stream has rebornEvents events, one each rebornStep.
	rebornEvents = 8
	rebornStep   = 150 * time.Millisecond
	rebornRate   = 15
)

// engine is a worker whose streams have neither a length nor chunks and end with their channel.
type engine struct {
	link  *link
	rec   *record
	store *store
	place int

	mu       sync.Mutex
	boot     int
	listener net.Listener
	conns    map[net.Conn]bool
	ran      map[string]int
}

// start begins a boot with a new id at the same address.
func (n *engine) start() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	n.mu.Lock()
	n.boot++
	id := fmt.Sprintf("i-%d-%d", n.place, n.boot)
	n.listener, n.conns = l, make(map[net.Conn]bool)
	n.mu.Unlock()
	n.link.setTarget(l.Addr().String())
	n.store.put("servers/"+id, map[string]any{
		"service": "model", "address": n.link.address, "zone": "gogledd-a", "version": "v1", "slots": 24, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 0, "born": time.Now().UnixMilli(), "stage": "combined",
		"models": []map[string]any{{"name": engineModel, "version": 1, "adapters": []string{}}},
	})
	go n.run(l, id)
}

func (n *engine) run(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns[c] = true
		n.mu.Unlock()
		go n.serve(c, id)
	}
}

// crash ends the process: its port and all of its channels are closed at once. Its entry goes
// after three heartbeat intervals.
func (n *engine) crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.listener.Close()
	for c := range n.conns {
		_ = c.Close()
	}
	key := fmt.Sprintf("servers/i-%d-%d", n.place, n.boot)
	time.AfterFunc(3600*time.Millisecond, func() { n.store.remove(key) })
}

// serve answers the requests of one channel.
func (n *engine) serve(c net.Conn, id string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		request := r.Header.Get("Request-Id")
		switch expected := r.Header.Get("Expect-Instance"); {
		case expected != "" && expected != id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", request, id)
		case r.URL.Path == "/health":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		case strings.HasPrefix(r.URL.Path, "/api/"):
			fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		default:
			n.stream(c, id, request)
			return
		}
	}
}

// stream sends the events of one run, and closes the channel behind the last one.
func (n *engine) stream(c net.Conn, id, request string) {
	n.mu.Lock()
	n.ran[request]++
	n.mu.Unlock()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: 3e1b.%s.%s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		request, request, id)
	for event := 1; event <= rebornEvents; event++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: token %d of %s\n\n", event, event, request); err != nil {
			return
		}
		if event < rebornEvents {
			time.Sleep(rebornStep)
		}
	}
}

// streamResult is what a requester saw of its stream.
type streamResult struct {
	status   int
	events   int
	complete bool
}

// readStream sends a prompt, which shares its first part with a tenth of the others, and reads its
// answer to the end.
func readStream(front, id string) streamResult {
	r, _ := http.NewRequest(http.MethodPost, "http://"+front+"/note/x", strings.NewReader("hello"))
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "6000")
	r.Header.Set("Credential", requesterKey)
	r.Header.Set("Model", engineModel)
	r.Header.Set("Token-Usage", "500,10")
	r.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e%04x:400,%s:100", id[len(id)-1], strings.ReplaceAll(id, "-", "")))
	client := &http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return streamResult{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return streamResult{status: response.StatusCode, events: strings.Count(string(body), "data: token"), complete: err == nil}
}

// playReborn cuts one engine after the other off. Each crashes behind its cut and starts again. The
// rule is broken if a stream ends as complete before its last event.
func playReborn(e *env) int {
	engines := []*engine{}
	for place := range rebornEngines {
		n := &engine{link: newLink("127.0.0.1"), rec: e.rec, store: e.store, place: place, ran: make(map[string]int)}
		n.start()
		engines = append(engines, n)
	}
	note := route("note", "stream", "model", 6000)
	note["sticky"], note["target_latency_ms"], note["gap_target_ms"] = true, 600, 400
	cfg := configuration(1, []map[string]any{note}, "model")
	cfg["services"] = []map[string]any{{
		"name": "model", "health_path": "/health", "max_connections": 210, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 24, "kv_capacity_tokens": 129306, "token_kv_bytes": 163840, "link_mbps": 1100000.0,
			"max_inflight": 12, "models": []map[string]any{{"name": engineModel}},
		},
	}}
	e.store.put("op/config", cfg)
	e.store.put("op/version/"+engineModel, map[string]any{"model": engineModel, "version": 1})
	g := newGateway(e.dir, "vm1", "127.0.0.2", e.storeAddress, machine{memoryMB: siteMemoryMB, maxFDs: siteMaxFDs}, siteBounds)
	g.start(e.program)
	defer g.stop()
	if !g.waitReady(15 * time.Second) {
		return couldNot
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var mu sync.Mutex
	var wg sync.WaitGroup
	whole, broke, early, refused := 0, 0, 0, 0
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / rebornRate):
			}
			wg.Go(func() {
				id := fmt.Sprintf("s-%05d", n)
				s := readStream(g.front, id)
				mu.Lock()
				defer mu.Unlock()
				e.rec.add("%s: status %d, %d of %d events, ended as complete %v", id, s.status, s.events, rebornEvents, s.complete)
				switch {
				case s.status != http.StatusOK:
					refused++
				case !s.complete:
					broke++
				case s.events < rebornEvents:
					early++
				default:
					whole++
				}
			})
		}
	})
	for round := range rebornRounds {
		n := engines[round%rebornEngines]
		if e.trouble {
			if !n.link.cut() {
				return couldNot
			}
			time.Sleep(rebornCrash)
			n.crash()
			e.rec.add("engine %d crashes behind a cut", n.place)
			time.Sleep(rebornDown)
			n.start()
			time.Sleep(rebornCut - rebornCrash - rebornDown)
			if !n.link.heal() {
				return couldNot
			}
			e.rec.add("the cut of engine %d heals; it has started again", n.place)
		} else {
			time.Sleep(rebornCut)
		}
		time.Sleep(rebornPause)
	}
	close(stop)
	wg.Wait()
	e.rec.add("streams: %d whole, %d broken off, %d refused or failed, %d ended as complete before their last event", whole, broke, refused, early)
	switch {
	case whole == 0:
		return couldNot
	case early > 0:
		return broken
	}
	return held
}
