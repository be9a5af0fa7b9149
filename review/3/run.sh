#!/bin/bash
# Two new configurations in a row, the second moves discovery, and writers drain. TROUBLE=0: no new configuration.
exec "$(dirname "$0")/../case.sh" 3
