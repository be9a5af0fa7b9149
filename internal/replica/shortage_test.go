package replica

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"standpulley/logic"
)

// Guards against a local lack of descriptors, buffers or ports being counted as a failure of the
// replica, which was ejected for it. Network errors about the replica still count as its failures,
// and no errno turns an attempt that may have run into one that has not.
func TestLocalShortagesAreNotFailuresOfReplicas(t *testing.T) {
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
			t.Errorf("read error %v after the last byte was written: %v", errno, got)
		}
	}
}
