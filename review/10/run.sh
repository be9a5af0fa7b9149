#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/standpulley ] && [ -x review/second/bin/trial ] || exit 2
exec review/second/bin/trial agents review/10/record.txt
