#!/bin/sh
# TROUBLE=0 runs the case without the disruption.
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" memory-limit
