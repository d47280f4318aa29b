#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the
# program leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/restored_rollout
[ -x "$program" ] && [ -x target/release/yuccareel-entry ] || exit 2
ulimit -n "$(ulimit -Hn)" || exit 2
folder=$(mktemp -d) || exit 2
TROUBLE="${TROUBLE:-1}" CASE_TMP="$folder" "$program" review/11
code=$?
rm -rf "$folder"
case $code in 0 | 1 | 2) exit $code ;; *) exit 2 ;; esac
