#!/bin/bash
# Hundreds of chat requests at once, each a long conversation. TROUBLE=0: the usual clients alone.
exec "$(dirname "$0")/../case.sh" 2
