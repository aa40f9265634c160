package piper

import (
	"context"
	"net"
	"net/http"
)

// serverAddress replaces every address that a Client dials.
const serverAddress = "server"

// Client is an HTTP client that sends every request to the same server,
// whatever the address in the URL is.
type Client struct {
	*http.Client

	network   *Network
	transport *http.Transport
}

// NewClient starts a server for handler and returns a client of it. The server
// runs until Stop.
func NewClient(handler http.Handler) *Client {
	c := &Client{network: New()}
	c.network.Serve(serverAddress, handler)
	c.transport = &http.Transport{DialContext: c.dial}
	c.Client = &http.Client{Transport: c.transport}
	return c
}

func (c *Client) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	return c.network.Dial(ctx, network, serverAddress)
}

// Lose makes the open connections silent for good. Connections that are opened
// later work.
func (c *Client) Lose() { c.network.Lose(serverAddress, false) }

// Stop shuts down the server and closes all connections.
func (c *Client) Stop() {
	c.network.Close()
	c.transport.CloseIdleConnections()
}
