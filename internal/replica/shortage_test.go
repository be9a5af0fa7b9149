package replica

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"standpulley/logic"
)

// Guards: a machine out of descriptors, buffers or ports took it for the replica's failure, which was left alone then. What the network says of
// the replica stays the replica's. No errno makes an attempt that may have run one that has not.
func TestShortagesHereAreNotTheReplicas(t *testing.T) {
	for _, c := range []struct {
		call  string
		errno syscall.Errno
		want  logic.Outcome
	}{
		{"socket", syscall.EMFILE, logic.NotSent},
		{"socket", syscall.ENFILE, logic.NotSent},
		{"socket", syscall.ENOBUFS, logic.NotSent},
		{"socket", syscall.ENOMEM, logic.NotSent},
		{"connect", syscall.EADDRNOTAVAIL, logic.NotSent},
		{"connect", syscall.ENOBUFS, logic.NotSent},
		{"connect", syscall.ECONNREFUSED, logic.ConnectFailed},
		{"connect", syscall.ECONNRESET, logic.ConnectFailed},
		{"connect", syscall.ENETUNREACH, logic.ConnectFailed},
		{"connect", syscall.EHOSTUNREACH, logic.ConnectFailed},
		{"connect", syscall.ETIMEDOUT, logic.ConnectFailed},
	} {
		err := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(c.call, c.errno)}
		a := &attempt{ctx: context.Background()}
		if got := a.failure(logic.ConnectFailed, err).Outcome; got != c.want {
			t.Errorf("%s, %v: %v, want %v", c.call, c.errno, got, c.want)
		}
	}
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT,
		syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		err := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
		a := &attempt{ctx: context.Background()}
		if got := a.failure(logic.ConnectionLost, err).Outcome; got != logic.ConnectionLost && got != logic.TimedOut {
			t.Errorf("read, %v after the last byte: %v", errno, got)
		}
	}
}
