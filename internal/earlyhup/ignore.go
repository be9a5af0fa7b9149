//go:build cgo

package earlyhup

// The constructor runs before the Go runtime starts, which keeps SIGHUP ignored where it finds it so until os/signal is told of it.

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
