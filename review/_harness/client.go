package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is a request of a client.
type call struct {
	method, host, path, key string
	model, usage, prefix    string
	body                    string
	timeout                 time.Duration
}

// outcome is what the client got. Its status is 0 if the connection ended.
type outcome struct {
	id         string
	sentAt     time.Time
	endedAt    time.Time
	status     int
	body       string
	retryAfter time.Duration
	signed     bool
	err        error
}

var clientTransport = &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}

func (d *deployment) newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+d.nextID.Add(1)) }

// send sends one attempt of a client.
func (d *deployment) send(g *gateway, c call) outcome {
	o := outcome{id: d.newID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+g.front+c.path, strings.NewReader(c.body))
	if err != nil {
		fail("%v", err)
	}
	r.Host = c.host
	r.Header.Set("Request-Id", o.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(c.timeout.Milliseconds(), 10))
	for name, value := range map[string]string{"Credential": c.key, "Model": c.model, "Token-Usage": c.usage, "Prompt-Prefix": c.prefix} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	response, err := clientTransport.RoundTrip(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		o.status, o.body, o.signed = response.StatusCode, string(body), response.Header.Get("Server-Signature") != ""
		if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
			o.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	o.err, o.endedAt = err, time.Now()
	return o
}
