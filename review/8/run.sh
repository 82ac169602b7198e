#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exit code 1: rule broken, 0: held, 2: could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/wrenhinge-platform ] && [ -x "target/review/case-$(basename "$here")" ] || { echo "build first" >&2; exit 2; }
RECORD="$here/record.txt" exec timeout -k 5 115 "target/review/case-$(basename "$here")"
