#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
REVIEW_ROOT="$(cd ../.. && pwd)" || exit 2
export REVIEW_ROOT
program="$REVIEW_ROOT/target/review-2/case-$(basename "$PWD")"
[ -x "$program" ] || { echo "not built: run review/build-2.sh"; exit 2; }
exec "$program"
