#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
program=target/review-2/release/case-slow-reader
[ -x "$program" ] && [ -x target/release/mimosaswitch ] || exit 2
"$program" "$here"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
