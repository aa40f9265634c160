package piper

import "time"

// maxDelayedWrites bounds the writes that are on their way on one connection.
const maxDelayedWrites = 256

// delayedWrite is data, or the end of a connection if nil, that reaches the server
// at a time.
type delayedWrite struct {
	data []byte
	at   time.Time
}

// Delay makes what clients write on new connections to address reach the server
// after a time, the end of the connection included.
func (n *Network) Delay(address string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address].delay = d
}

// run delivers the delayed writes in order.
func (c *clientConn) run() {
	for w := range c.delayed {
		time.Sleep(time.Until(w.at))
		if w.data == nil {
			_ = c.Conn.Close()
			return
		}
		_, _ = c.Conn.Write(w.data) // fails if the server has closed the connection
	}
}

// enqueue schedules the delivery of data, or of the end of the connection if nil.
func (c *clientConn) enqueue(data []byte) {
	c.delayed <- delayedWrite{data: data, at: time.Now().Add(c.delay)}
}
