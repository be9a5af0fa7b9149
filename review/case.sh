#!/bin/bash
# Runs the driver of one case: case.sh N. Sourced by the cases' run.sh.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
n="$1"
if [ ! -x "$here/bin/case$n" ] || [ ! -x "$here/../bin/standpulley" ]; then
  echo "not built: run the build of deploy/balancer.toml and review/build.sh first" >&2
  exit 2
fi
tmp="$(mktemp -d)" || exit 2
trap 'rm -rf "$tmp"' EXIT
timeout --kill-after=5 115 "$here/bin/case$n" "$here/.." "$tmp" "$here/$n/record.txt"
rc=$?
case $rc in
  0 | 1) exit $rc ;;
  *) exit 2 ;;
esac
