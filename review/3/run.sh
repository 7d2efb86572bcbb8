#!/usr/bin/env bash
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: the same without the disruption.
set -uo pipefail
cd "$(dirname "$0")"
exec timeout -k 5 -s INT 115 python3 -B case.py
