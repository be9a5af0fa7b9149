//go:build cgo

package earlyhup

// The C constructor runs before the Go runtime starts. The runtime leaves SIGHUP ignored if it
// finds it ignored, until os/signal.Notify is called for it.

/*
#include <signal.h>

__attribute__((constructor))
static void ignore_until_notified(int argc, char **argv, char **envp) {
	if (argc == 1) {
		signal(SIGHUP, SIG_IGN);
	}
}
*/
import "C"
