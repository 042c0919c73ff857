#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
REVIEW_ROOT="$(cd ../.. && pwd)" || exit 2
export REVIEW_ROOT
program="$REVIEW_ROOT/target/review-2/case-$(basename "$PWD")"
[ -x "$program" ] || { echo "not built: run review/build-2.sh"; exit 2; }
# All files of a run but record.txt lie here; the nodes end with the program, and the program in time.
folder="$(mktemp -d)" || exit 2
TMPDIR="$folder" timeout -s KILL 110 "$program" &
pid=$!
trap 'kill "$pid" 2> /dev/null' INT TERM HUP
wait "$pid"
code=$?
kill "$pid" 2> /dev/null && wait "$pid" 2> /dev/null
rm -rf "$folder"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
