package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentianstep.example/gentianstep/platform/platformtest"
)

const (
	// crowdClients is the number of connections of a crowd.
	crowdClients = 300
	// crowdBodyLimit is the limit of a request body while a crowd is connected.
	crowdBodyLimit = 1 << 20
	// crowdTimeoutMS is the timeout of the routes. It exceeds crowdTime, so that no
	// request of a crowd ends by itself before the check.
	crowdTimeoutMS = 10_000
	// crowdTime is how long the limits are checked while the crowd is connected.
	crowdTime = 4 * time.Second
	// crowdWriteTimeout bounds the writes of one client. The gateway may stop reading.
	crowdWriteTimeout = 2 * time.Second
	crowdHead         = "Host: a.example\r\nRequest-Id: crowd\r\nCredential: k2\r\n"
	streamHead        = crowdHead + "Model: m\r\nToken-Usage: 100,10\r\nPrompt-Prefix: aa:50,bb:50\r\n"
)

// crowd is a row: what each of its clients sends before it stalls with the connection open
// and without reading.
type crowd struct {
	name string
	text string
	// singleBytes is the number of bytes that follow in writes of one byte each.
	singleBytes int
	// fault is that of the upstreams in the requests of the crowd.
	fault platformtest.WorkerFault
}

// post returns a request of a route with a body of an announced length.
func post(route, head string, announced int, body string) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", route, head, announced, body)
}

// postChunks returns a request with a body of equal chunks, without the last chunk.
func postChunks(head string, size, count int) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return "POST /order/x HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, count)
}

func crowds() []crowd {
	full := strings.Repeat("x", crowdBodyLimit)
	trailer := "Trailer: X-Sum\r\n"
	small := post("look", crowdHead, 4, "body")
	return []crowd{
		{name: "bodies stop one byte short", text: post("order", crowdHead, crowdBodyLimit, full[1:])},
		{name: "large chunk stops short", text: strings.TrimSuffix(postChunks(crowdHead, crowdBodyLimit, 1), "x\r\n")},
		{name: "small chunks stop short", text: postChunks(crowdHead, 16, crowdBodyLimit/16)},
		{name: "responses to complete bodies are not read", text: post("order", crowdHead, crowdBodyLimit, full)},
		{name: "bodies over the limit without a length", text: postChunks(crowdHead, crowdBodyLimit, 4)},
		{name: "heads stop short", text: "POST /order/x HTTP/1.1\r\n" + crowdHead},
		{name: "large responses are not read", text: post("order", crowdHead, 4, "body"), fault: platformtest.BodyFlood},
		{name: "streams are not read", text: post("match", streamHead, crowdBodyLimit, full), fault: platformtest.EventFlood},
		{name: "idle connections"},
		{name: "large heads", text: "POST /order/x HTTP/1.1\r\n" + crowdHead + "X-Filler: " + full[:15<<10]},
		{name: "chunks with trailers", text: postChunks(crowdHead+trailer, 64<<10, 16) + "0\r\nX-Sum: " + full[:3<<10]},
		{name: "pipelined requests", text: strings.Repeat(small, 200)},
		{name: "single bytes", text: post("order", crowdHead, crowdBodyLimit, full[:crowdBodyLimit/2]), singleBytes: 300},
		{name: "expect 100-continue", text: post("order", crowdHead+"Expect: 100-continue\r\n", crowdBodyLimit, full[1:])},
	}
}

// TestGatewayStaysWithinLimitsDespiteCrowds guards against a gateway that exceeds the memory
// or the file descriptors of its VM because of clients that send much or read nothing. It is
// not parallel: other processes would compete for the memory of the machine.
func TestGatewayStaysWithinLimitsDespiteCrowds(t *testing.T) { //nolint:paralleltest // see above
	for _, c := range crowds() { //nolint:paralleltest // one at a time
		t.Run(c.name, func(t *testing.T) { c.check(t) })
	}
}

func (c crowd) check(t *testing.T) {
	is := is.New(t)
	p, vm := startCrowdVM(t, crowdBodyLimit)
	fault := func(r *http.Request) platformtest.WorkerFault {
		if r.Header.Get("Request-Id") == "crowd" {
			return c.fault
		}
		return platformtest.WorkerHealthy
	}
	p.appWorker.FaultOf, p.engineWorker.FaultOf = fault, fault
	for range crowdClients {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", vm.client)
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		go c.send(conn)
	}
	descriptors := 0
	checkUntil := time.Now().Add(crowdTime)
	eventually(t, "the crowd was connected for its time", func() bool {
		descriptors = max(descriptors, countDescriptors(t, vm.process.PID()))
		return vm.process.HasEnded() || time.Now().After(checkUntil)
	})
	eventually(t, "ordinary request is answered", func() bool {
		status, _ := p.sendRequest(vm, "order", fmt.Sprint("good", time.Now().UnixNano()), "k1")
		return status == http.StatusOK
	})
	peak := peakMemoryMB(t, vm.process.PID())
	t.Logf("peak resident memory: %.1f MB, descriptors: %d", peak, descriptors)
	is.True(!vm.process.HasEnded())
	is.True(peak < memoryLimitMB)
	is.True(descriptors < descriptorLimit)
}

// startCrowdVM starts a gateway with a limit of request bodies.
func startCrowdVM(t *testing.T, maxBodyBytes int) (*platformFixture, *gatewayVM) {
	t.Helper()
	p := newPlatform(t)
	p.routeTimeoutMS, p.maxBodyBytes = crowdTimeoutMS, maxBodyBytes
	p.configure(1, "k1", "k2")
	vm := p.start("vm1")
	eventually(t, "VM is ready", func() bool { return p.status(vm.ready) == http.StatusOK })
	return p, vm
}

// send sends what one client sends. Writes fail once the gateway has refused the request.
func (c crowd) send(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	if _, err := io.WriteString(conn, c.text); err != nil {
		return
	}
	for range c.singleBytes {
		if _, err := conn.Write([]byte("x")); err != nil {
			return
		}
	}
}

func countDescriptors(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0 // the process has ended
	}
	return len(entries)
}

// TestGatewayServesLargestBodyInPieces guards against limits that refuse a single slow
// request of the largest size under normal load.
func TestGatewayServesLargestBodyInPieces(t *testing.T) { //nolint:paralleltest // its memory is measured
	const limit, pieces = 4 << 20, 64
	is := is.New(t)
	p, vm := startCrowdVM(t, limit)
	reader, writer := io.Pipe()
	go func() {
		ticker := time.NewTicker(60 * time.Millisecond)
		defer ticker.Stop()
		for range pieces {
			<-ticker.C
			_, _ = writer.Write(make([]byte, limit/pieces))
		}
		_ = writer.Close()
	}()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+vm.client+"/order/x", reader)
	is.NoErr(err)
	r.Host, r.ContentLength = "a.example", limit
	r.Header.Set("Request-Id", "slow")
	r.Header.Set("Credential", "k1")
	response, err := p.client.Do(r)
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK)
	peak := peakMemoryMB(t, vm.process.PID())
	t.Logf("peak resident memory: %.1f MB", peak)
	is.True(peak < memoryLimitMB)
}
