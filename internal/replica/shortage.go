package replica

import (
	"errors"
	"syscall"
)

// shortages are the errors of a machine that can't open a connection because it is out of
// descriptors, buffers, memory or local ports. They prove that nothing was sent and say nothing
// about the replica.
var shortages = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// localShortage reports whether a connection could not be made for lack of a resource of this
// machine or of the pool.
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
