package program

import (
	"fmt"
	"hash/fnv"
	"log"
	"os"
	"path/filepath"

	"standpulley/internal/config"
	"standpulley/internal/dedup"
)

// openClaims returns the table of ids that must not run twice. While a new version takes over, both
// processes serve the clients' address and share the platform's folder for temporary files, so the
// table is there. Elsewhere each process has its own.
func (p *program) openClaims(cfg config.Config) *dedup.Table {
	folder := os.Getenv("TMPDIR")
	if !p.shared || folder == "" {
		return dedup.New()
	}
	address := fnv.New64a()
	_, _ = address.Write([]byte(cfg.Name + " " + cfg.Listen)) // never fails
	table, err := dedup.Open(filepath.Join(folder, fmt.Sprintf("standpulley-%016x.ids", address.Sum64())))
	if err != nil {
		log.Printf("%s: ids are not shared with other processes: %v", cfg.Name, err)
		return dedup.New()
	}
	return table
}
