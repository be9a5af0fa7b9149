// Package earlyhup keeps a SIGHUP that comes before a server listens for it from ending its process. It has nothing to tell: the program reads
// its configuration after that. The package acts where the program is started without arguments, as the platform starts it; commands that
// people type end as usual. Without cgo it does nothing.
package earlyhup
