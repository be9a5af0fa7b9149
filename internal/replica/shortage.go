package replica

import (
	"errors"
	"syscall"
)

// shortages are the errors by which this machine says that it can't make a connection now: it is out of descriptors, buffers, memory or
// local ports. They prove that nothing was sent and say nothing of the replica.
var shortages = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// localShortage tells whether a connection failed for want of something on this machine.
func localShortage(err error) bool {
	if errors.Is(err, errPoolExhausted) {
		return true
	}
	for _, errno := range shortages {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
