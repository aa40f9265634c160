package piper

import (
	"context"
	"net"
	"net/http"
)

// onlyAddress stands for every address that a Client dials.
const onlyAddress = "server"

// Client is an HTTP client of one server, which it reaches under any address.
type Client struct {
	*http.Client

	network   *Network
	transport *http.Transport
}

// NewClient serves handler until Stop.
func NewClient(handler http.Handler) *Client {
	c := &Client{network: New()}
	c.network.Serve(onlyAddress, handler)
	c.transport = &http.Transport{DialContext: c.dial}
	c.Client = &http.Client{Transport: c.transport}
	return c
}

func (c *Client) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	return c.network.Dial(ctx, network, onlyAddress)
}

// Lose makes the open connections silent for good; later ones work.
func (c *Client) Lose() { c.network.Lose(onlyAddress, false) }

// Stop ends the server and all connections.
func (c *Client) Stop() {
	c.network.Close()
	c.transport.CloseIdleConnections()
}
