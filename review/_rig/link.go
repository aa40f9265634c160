package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// maxRetransmit bounds the time from the healing of a cut until a channel carries bytes again.
// After a cut of two seconds, TCP sends again up to 1.6 s later, each channel by its own timer.
const maxRetransmit = 800 * time.Millisecond

// link is a proxy before a worker. While it is cut, open channels carry nothing and new ones are
// not established, as behind a partition.
type link struct {
	address string

	mu       sync.Mutex
	target   string
	listener net.Listener
	// healed is closed while the link is whole.
	healed chan struct{}
	blocks []int
}

func newLink(ip string) *link {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	l := &link{address: listener.Addr().String(), listener: listener, healed: make(chan struct{})}
	close(l.healed)
	go l.accept(listener)
	return l
}

// setTarget sets the address that new channels lead to.
func (l *link) setTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

func (l *link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go l.carry(c)
	}
}

// carry forwards both directions of one channel.
func (l *link) carry(c net.Conn) {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	s, err := net.Dial("tcp", target)
	if err != nil {
		// The port of a worker that is down resets the channel.
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.copy(s, c) })
	both.Go(func() { l.copy(c, s) })
	both.Wait()
	_ = c.Close()
	_ = s.Close()
}

// copy forwards the bytes of one direction and then its end.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.waitHealed()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// waitHealed waits for the end of a cut, and for the next transmission after it.
func (l *link) waitHealed() {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	select {
	case <-healed:
	default:
		<-healed
		time.Sleep(rand.N(maxRetransmit))
	}
}

// cut makes the link silent. The port is held by a socket whose queue of new channels is full, so
// that opening packets are dropped.
func (l *link) cut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed = make(chan struct{})
	_ = l.listener.Close()
	address, err := net.ResolveTCPAddr("tcp", l.address)
	if err != nil {
		return false
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return false
	}
	l.blocks = append(l.blocks, fd)
	sa := &syscall.SockaddrInet4{Port: address.Port}
	copy(sa.Addr[:], address.IP.To4())
	if syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) != nil || syscall.Bind(fd, sa) != nil || syscall.Listen(fd, 0) != nil {
		return false
	}
	for range 2 { // fill the queue
		c, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return false
		}
		_ = syscall.Connect(c, sa) // in progress
		l.blocks = append(l.blocks, c)
	}
	return true
}

// heal makes the link whole.
func (l *link) heal() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fd := range l.blocks {
		_ = syscall.Close(fd)
	}
	l.blocks = nil
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return false
	}
	l.listener = listener
	go l.accept(listener)
	close(l.healed)
	return true
}
