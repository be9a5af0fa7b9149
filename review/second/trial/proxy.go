package main

import (
	"net"
	"sync"
	"time"
)

// link is a network path to an address. While it is cut it says nothing: open connections stay open
// and silent, and what is sent or closed on either side does not come to the other; new connections
// never come up. Afterwards those that a side has ended are reset.
type link struct {
	name string
	addr string // where callers connect
	to   string
	mu   sync.Mutex
	cut  chan struct{} // closed when the cut ends; nil while the link is whole
}

func newLink(name, to string) *link {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err, "a link")
	l := &link{name: name, addr: ln.Addr().String(), to: to}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return l
}

func (l *link) setCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on && l.cut == nil {
		l.cut = make(chan struct{})
		say("link %s is cut", l.name)
	} else if !on && l.cut != nil {
		close(l.cut)
		l.cut = nil
		say("link %s is whole again", l.name)
	}
}

// pass waits while the link is cut.
func (l *link) pass() {
	for {
		l.mu.Lock()
		c := l.cut
		l.mu.Unlock()
		if c == nil {
			return
		}
		<-c
	}
}

func (l *link) carry(from net.Conn) {
	l.pass()
	to, err := net.DialTimeout("tcp", l.to, 2*time.Second)
	if err != nil {
		reset(from)
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	for _, way := range [][2]net.Conn{{from, to}, {to, from}} {
		go func() {
			defer both.Done()
			buf := make([]byte, 32<<10)
			for {
				n, err := way[0].Read(buf)
				l.pass()
				if n > 0 {
					if _, err := way[1].Write(buf[:n]); err != nil {
						reset(way[0])
						return
					}
				}
				if err != nil {
					if t, ok := way[1].(*net.TCPConn); ok {
						_ = t.CloseWrite()
					}
					return
				}
			}
		}()
	}
	both.Wait()
	_ = from.Close()
	_ = to.Close()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
