#!/usr/bin/env bash
# Plays the case once: exit 1 if a rule was broken, 0 if all held, 2 if it could
# not run. TROUBLE=0 leaves the disruption out. Needs the deploy file's build
# and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case3 ] || { echo "run review/build.sh first" >&2; exit 2; }
exec timeout -k 5 110 review/bin/case3 "$PWD" review/3/record.txt
