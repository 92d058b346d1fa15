#!/usr/bin/env bash
# Runs the case 'evacuation' (see claim.txt): exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
export MIMOSASWITCH="$root/target/release/mimosaswitch"
case="$root/target/review/release/review-standins"
if [ ! -x "$MIMOSASWITCH" ] || [ ! -x "$case" ]; then
  echo "build the system and review/build.sh first" >&2
  exit 2
fi
exec "$case" evacuation "$folder"
