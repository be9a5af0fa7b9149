package replica

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"standpulley/logic"
)

// unacceptingAddr gives an address whose connections never come up: its queue of new ones is full, and nobody takes any.
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

// A connection that does not come up in the settings' time proves that nothing ran, and holds no place of the pool; an attempt that is
// given up meanwhile ends at once.
func TestConnectionThatNeverComesUp(t *testing.T) {
	addr, pool := unacceptingAddr(t), NewPool(4, 0, 50*time.Millisecond)
	rep, _ := send(pool, addr, 10*time.Second, "b")
	if got := rep.result(t); got.Outcome != logic.ConnectFailed {
		t.Errorf("%+v", got)
	}
	pool.SetLimits(4, 0, time.Hour)
	rep, a := send(pool, addr, time.Hour, "b")
	a.Cancel()
	if got := rep.result(t); got.Outcome != logic.NotSent {
		t.Errorf("given up: %+v", got)
	}
	if pool.open != 0 {
		t.Errorf("%d places are held", pool.open)
	}
}
