// Package earlyhup prevents a SIGHUP that arrives before the program handles it from ending the
// process. The early signal can be dropped, as the program reads its configuration after that
// anyway. The package acts only if the program is started without arguments, as the platform starts
// it; commands that people type still end on SIGHUP. Without cgo it does nothing.
package earlyhup
