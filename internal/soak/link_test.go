package soak

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// echo starts a server that returns all data it gets.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return ln.Addr().String()
}

func linkTo(t *testing.T, to string) *Link {
	t.Helper()
	l, err := NewLink("127.0.0.1:0", to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// echoes sends a byte and returns an error if it does not come back within 200 ms.
func echoes(c net.Conn) error {
	_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", l.Addr, 200*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func timedOut(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func TestLinkBlackholesOpenConnectionsOnly(t *testing.T) {
	l := linkTo(t, echo(t))
	before := dial(t, l)
	if err := echoes(before); err != nil {
		t.Fatal(err)
	}
	l.Blackhole()
	if err := echoes(before); !timedOut(err) {
		t.Errorf("silent connection: %v", err)
	}
	if err := echoes(dial(t, l)); err != nil {
		t.Errorf("new connection: %v", err)
	}
}

func TestLinkKeepsNewConnectionsPending(t *testing.T) {
	l := linkTo(t, echo(t))
	before := dial(t, l)
	if err := echoes(before); err != nil {
		t.Fatal(err)
	}
	l.SetNew(Pending)
	if c, err := net.DialTimeout("tcp", l.Addr, 200*time.Millisecond); err == nil {
		_ = c.Close()
		t.Error("a new connection was accepted")
	}
	if err := echoes(before); err != nil {
		t.Errorf("open connection: %v", err)
	}
	l.SetNew(Forwarded)
	if err := echoes(dial(t, l)); err != nil {
		t.Errorf("connection after the mode changed back: %v", err)
	}
}

func TestLinkResets(t *testing.T) {
	l := linkTo(t, echo(t))
	before := dial(t, l)
	if err := echoes(before); err != nil {
		t.Fatal(err)
	}
	l.Reset()
	if err := echoes(before); err == nil || timedOut(err) {
		t.Errorf("reset connection: %v", err)
	}
	l.SetNew(Blackholed)
	if err := echoes(dial(t, l)); !timedOut(err) {
		t.Errorf("new connection in mode Blackholed: %v", err)
	}
}
