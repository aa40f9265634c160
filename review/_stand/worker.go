package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerFunc answers a request of a requester that the worker runs.
type answerFunc func(w http.ResponseWriter, r *http.Request, body []byte)

// worker is a stand-in of a worker. Each start is a new boot with a new ID at the same
// address.
type worker struct {
	site    *site
	place   string
	service string
	address string
	slots   int
	answer  answerFunc

	mu      sync.Mutex
	boot    int
	id      string
	born    int64
	running int
	server  *http.Server
	// up is false from a crash to the next start.
	up bool
}

// start starts a new boot.
func (k *worker) start() error {
	listener, err := listen(k.address)
	if err != nil {
		return fmt.Errorf("listen for worker %s: %w", k.place, err)
	}
	k.mu.Lock()
	k.boot++
	k.id, k.born, k.up = fmt.Sprintf("i-%s-%d", k.place, k.boot), time.Now().UnixMilli(), true
	server := &http.Server{Handler: http.HandlerFunc(k.serve), ReadHeaderTimeout: time.Minute}
	k.server = server
	id := k.id
	k.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	k.writeEntry()
	k.site.Record.printf("worker %s starts at %s", id, k.address)
	return nil
}

// crash ends the boot without a word: its channels break, and its port has no listener.
// Its entry is removed after the heartbeats that are missing then. The worker is back
// after down. It returns false if the worker is down already.
func (k *worker) crash(ctx context.Context, down time.Duration) bool {
	k.mu.Lock()
	if !k.up {
		k.mu.Unlock()
		return false
	}
	id, server := k.id, k.server
	k.up = false
	k.mu.Unlock()
	_ = server.Close()
	k.site.Record.printf("worker %s crashes", id)
	time.AfterFunc(missedHeartbeats*heartbeat, func() { k.site.store.remove("servers/" + id) })
	go func() {
		pause(ctx, down)
		if ctx.Err() == nil {
			if err := k.start(); err != nil {
				k.site.Record.printf("worker %s: %v", k.place, err)
			}
		}
	}()
	return true
}

func (k *worker) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.server != nil {
		_ = k.server.Close()
	}
	k.up = false
}

func (k *worker) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, heartbeat)
		k.writeEntry()
	}
}

func (k *worker) models() []any {
	if k.service != engineService {
		return nil
	}
	return []any{map[string]any{fieldName: model, fieldVersion: 1, "adapters": []string{}}}
}

// writeEntry writes the worker's entry, as it does at each heartbeat.
func (k *worker) writeEntry() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.up {
		return
	}
	entry := map[string]any{
		"service": k.service, "address": k.address, "zone": "a", fieldVersion: "v1", "slots": k.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 0, "born": k.born,
	}
	if models := k.models(); models != nil {
		entry["stage"], entry["models"] = "combined", models
	}
	k.site.store.put("servers/"+k.id, entry)
}

func (k *worker) currentID() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.id
}

func (k *worker) serve(w http.ResponseWriter, r *http.Request) {
	id := k.currentID()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", id)
		return
	case r.URL.Path == "/api/report":
		k.mu.Lock()
		report := map[string]any{
			"stage": "combined", "models": k.models(), "busy": false, "sequence": 0, "waiting": 0, "running": k.running,
			"kv_used": 0, "kv_total": 129306, "handles": 0, "born": k.born,
		}
		k.mu.Unlock()
		writeJSON(w, report)
		return
	case r.URL.Path == "/api/kv-events":
		k.serveEvents(w, r)
		return
	case r.URL.Path == "/api/kv-list":
		writeJSON(w, map[string]any{"epoch": k.born, "next": 1, "held": []any{}})
		return
	case strings.HasPrefix(r.URL.Path, "/api/"):
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !k.takeSlot() {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer k.freeSlot()
	k.answer(w, r, body)
}

// serveEvents answers a call for cache events, of which there are none.
func (k *worker) serveEvents(w http.ResponseWriter, r *http.Request) {
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms")) // 0 without the header
	pause(r.Context(), time.Duration(wait)*time.Millisecond)
	writeJSON(w, map[string]any{"epoch": k.born, "next": 1, "lost": false, "events": []any{}})
}

// takeSlot reports whether the worker may run another request. It has no queue.
func (k *worker) takeSlot() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.running >= k.slots {
		return false
	}
	k.running++
	return true
}

func (k *worker) freeSlot() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running--
}

// sign sets the headers of an answer.
func (k *worker) sign(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Signature", "sig."+id+"."+k.currentID())
	if k.service == engineService {
		w.Header().Set("Weight-Versions", "1")
	}
}

// stream sends events after the one that the request has, up to the given number, unless
// the gateway closes the channel.
func (k *worker) stream(w http.ResponseWriter, r *http.Request, events int, interval time.Duration) {
	k.sign(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header
	for n := after + 1; n <= events; n++ {
		if _, err := io.WriteString(w, eventText(n, r.Header.Get("Request-Id"))); err != nil {
			return
		}
		if flusher.Flush() != nil {
			return
		}
		pause(r.Context(), interval)
		if r.Context().Err() != nil {
			return
		}
	}
}

// eventText returns an event of the stream of a request.
func eventText(n int, id string) string {
	return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", n, n, id)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the gateway may have closed the channel
}
