#!/bin/bash
# A broken configuration file comes with a SIGHUP: a class lacks its key_scope. TROUBLE=0: it does not.
exec "$(dirname "$0")/../case.sh" 2
