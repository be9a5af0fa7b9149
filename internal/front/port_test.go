package front_test

import (
	"net"
	"testing"
	"time"

	"standpulley/internal/front"
)

// Guards: connections that the kernel had accepted, and the program had not, were reset when the
// address was closed. Here all connections wait in the kernel's queue when the shutdown begins, and
// the time to accept further ones is over by then or 10 ms later.
func TestQueuedConnectionsAreHandedOutAtShutdown(t *testing.T) {
	const waiting = 20
	for _, wait := range []time.Duration{-time.Second, 0, 10 * time.Millisecond} {
		port, err := front.Listen("127.0.0.1:0", front.NewConnLimiter(2*waiting, 1<<20), false)
		if err != nil {
			t.Fatal(err)
		}
		for range waiting {
			c, err := net.Dial("tcp", port.Addr())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
		}
		ln := port.Attach()
		taken := make(chan int)
		go func() {
			n := 0
			for {
				c, err := ln.Accept()
				if err != nil {
					taken <- n
					return
				}
				n++
				_ = c.Close()
			}
		}()
		port.Shutdown(wait)
		if n := <-taken; n != waiting {
			t.Errorf("wait %v: %d of %d connections were handed out", wait, n, waiting)
		}
		if c, err := net.Dial("tcp", port.Addr()); err == nil {
			_ = c.Close()
			t.Errorf("wait %v: the address is still open", wait)
		}
	}
}

// TestAddressClosesWhileConnectionsArrive guards against an address that another process shares and
// that stays open as long as its clients go on to connect: what they sent then came too late to be
// admitted, and was refused. The program stops admission 150 ms after it begins to close a port.
func TestAddressClosesWhileConnectionsArrive(t *testing.T) {
	const wait, admitted = 50 * time.Millisecond, 150 * time.Millisecond
	port, err := front.Listen("127.0.0.1:0", front.NewConnLimiter(1000, 1<<20), false)
	if err != nil {
		t.Fatal(err)
	}
	ln := port.Attach()
	began := time.Now()
	var last time.Duration // when the last connection was handed out
	ended := make(chan bool)
	go func() {
		defer close(ended)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			last = time.Since(began)
			_ = c.Close()
		}
	}()
	stop := make(chan bool)
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			if c, err := net.Dial("tcp", port.Addr()); err == nil {
				_ = c.Close()
			}
		}
	}()
	port.Shutdown(wait)
	<-ended
	if last < wait || last > admitted {
		t.Errorf("the last connection was handed out after %v, wanted %v to %v", last, wait, admitted)
	}
}
