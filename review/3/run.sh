#!/bin/bash
# Runs the case; see claim.txt. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")" || exit 2
CASE_FOLDER=$PWD
CASE_ROOT=$(cd ../.. && pwd)
CASE_TMP=$(mktemp -d) || exit 2
export CASE_FOLDER CASE_ROOT CASE_TMP
[ -x "$CASE_ROOT/review/built/case-$(basename "$CASE_FOLDER")" ] || { echo "run review/build.sh first" >&2; exit 2; }
timeout --kill-after=5 110 "$CASE_ROOT/review/built/case-$(basename "$CASE_FOLDER")"
result=$?
rm -rf "$CASE_TMP"
case $result in 0|1) exit $result ;; *) exit 2 ;; esac
