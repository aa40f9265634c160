package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of connections. The gateway accepts 0.6 of max_fds, 2,460.
	crowdSize = 2400
	// crowdHeader, crowdChunk and crowdBody are bytes of each request: of one header, of a chunk
	// and of the body before it stops. The limits are 16,384 for the head and 4,194,304.
	crowdHeader, crowdChunk, crowdBody = 14000, 1000, 15000
)

// crowd has clients outside of our control send chunked bodies that stop short of their end.
func crowd() bool {
	d := newDeployment(sheetBounds)
	d.memoryMB = 134
	for i := range 3 {
		zone, _ := region(i)
		d.addServer(newServer(fmt.Sprintf("i-%08x", 0x7f3a0000+i), serviceBefore, zone, "", 6, 15*time.Millisecond))
	}
	d.store.write("op/config", movedConfiguration(7, serviceBefore))
	d.startGateways(1)
	defer d.close()
	d.waitReady()
	g := d.gateways[0]
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var open atomic.Int64
	var group sync.WaitGroup
	if trouble() {
		for range crowdSize {
			group.Go(func() {
				for ctx.Err() == nil {
					d.holdBody(ctx, g, &open)
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	answered, asked, peak := 0, 0, 0.0
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		o := d.send(g, call{method: http.MethodGet, host: "voka93.example", path: "/visit/2f", key: "key-a", timeout: 1200 * time.Millisecond})
		asked++
		if o.status == http.StatusOK {
			answered++
		}
		rss := g.memory()
		peak = max(peak, rss)
		d.logf("ordinary request: status %d after %v; %d bodies are held open; gateway has %.1f MB, at most %.1f MB", o.status, o.endedAt.Sub(o.sentAt), open.Load(), rss, peak)
	}
	group.Wait()
	fmt.Printf("%d of %d ordinary requests answered; gateway had at most %.1f MB of %d\n", answered, asked, peak, d.memoryMB)
	return finish(d, peak <= float64(d.memoryMB))
}

// holdBody sends a body in chunks that stops short of its end, and waits until the gateway ends
// the connection.
func (d *deployment) holdBody(ctx context.Context, g *gateway, open *atomic.Int64) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", g.front)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	open.Add(1)
	defer open.Add(-1)
	w := bufio.NewWriter(conn)
	_, _ = fmt.Fprintf(w, "POST /visit/2f HTTP/1.1\r\nHost: voka93.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1200\r\nCredential: key-a\r\nX-Note: %s\r\nTransfer-Encoding: chunked\r\n\r\n", d.newID(), strings.Repeat("x", crowdHeader))
	for sent := 0; sent < crowdBody; sent += crowdChunk {
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", crowdChunk, strings.Repeat("b", crowdChunk))
	}
	_ = w.Flush()
	_, _ = conn.Read(make([]byte, 1))
}

// memory returns the memory of the process in MB, without the pages of its program file.
func (g *gateway) memory() (now float64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb float64
		if _, err := fmt.Sscanf(line, "RssAnon: %f kB", &kb); err == nil {
			now = kb / 1024
		}
	}
	return now
}
