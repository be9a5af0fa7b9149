#!/bin/bash
# Builds every stand-in that the cases start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -buildvcs=false -o bin/ ./cmd/...
