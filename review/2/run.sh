#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the slow replica.
cd "$(dirname "$0")" || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
program=../../target/wrenhinge-platform
[ -x "$program" ] && [ -x ../../target/review/SlowStreams ] || exit 2
../../target/review/SlowStreams "$(realpath "$program")" "$folder" record.txt
rc=$?
[ "$rc" -le 1 ] || rc=2
exit "$rc"
