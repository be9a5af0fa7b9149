#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The project's own programs come from the deploy file's build.
set -e
cd "$(dirname "$0")/second"
mkdir -p bin
GOPROXY=off GOWORK=off go build -buildvcs=false -o bin/ ./trial
