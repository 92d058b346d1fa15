#!/usr/bin/env bash
# Runs a case of the third review: run-case.sh NAME FOLDER. Exits with 0 if the rule held, 1 if it was
# broken and 2 if the case could not run. With TROUBLE=0, the case runs without its disruption.
set -u
cd "$(dirname "$0")/../.."
driver=target/review-3/release/review-3
if [ ! -x "$driver" ] || [ ! -x target/release/mimosaswitch ]; then
  echo "build the deploy file and run review/build-3.sh first" >&2
  exit 2
fi
folder=$(mktemp -d)
stop() {
  # Only processes that the driver started are in the file.
  if [ -f "$folder/pids" ]; then
    while read -r pid; do
      kill -KILL "$pid" 2>/dev/null
    done < "$folder/pids"
  fi
  rm -rf "$folder"
}
timeout --kill-after=2 115 "$driver" "$1" "$2/record.txt" "$folder" &
running=$!
trap 'kill "$running" 2>/dev/null; stop; exit 2' INT TERM HUP
wait "$running"
result=$?
stop
case "$result" in
  0 | 1) exit "$result" ;;
  *) exit 2 ;;
esac
