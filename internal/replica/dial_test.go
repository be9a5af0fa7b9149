package replica

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"standpulley/logic"
)

// unacceptingAddr returns an address to which no connection can be established: the backlog of its
// listening socket is full, and nothing accepts connections.
func unacceptingAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// A connection that is not established within the dial timeout proves that nothing ran, and is not
// counted as open any more. An attempt that is cancelled while it connects ends at once.
func TestDialTimeoutAndCancel(t *testing.T) {
	addr, pool := unacceptingAddr(t), NewPool(4, 0, 50*time.Millisecond)
	rep, _ := send(pool, addr, 10*time.Second, "b")
	if got := rep.result(t); got.Outcome != logic.ConnectFailed {
		t.Errorf("dial timeout: %+v", got)
	}
	pool.SetLimits(4, 0, time.Hour)
	rep, a := send(pool, addr, time.Hour, "b")
	a.Cancel()
	if got := rep.result(t); got.Outcome != logic.NotSent {
		t.Errorf("cancelled: %+v", got)
	}
	if pool.open != 0 {
		t.Errorf("%d connections are counted as open", pool.open)
	}
}
