// Command standpulley is the dispatcher: one program between clients and a two-stage fleet of replicas.
package main

import (
	"log"
	"os"
	"os/signal"
	"syscall"

	"standpulley/internal/config"
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	cfg, err := config.FromEnvironment()
	if err != nil {
		log.Fatalf("standpulley: %v", err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	if err := serve(cfg, stop); err != nil {
		log.Fatalf("standpulley: %v", err)
	}
}
