#!/bin/bash
# run-case.sh FOLDER: runs the case in FOLDER, as its run.sh says. Exit code: 1 the rule was broken,
# 0 it held, 2 the case could not run. TROUBLE=0: the same without the disruption.
set -u
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
number=$(basename "$folder")
cd "$root" || exit 2
program=target/review-2/case-$number
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
export RUN_COMMAND
if [ ! -x "$program" ] || [ ! -x "${RUN_COMMAND%% *}" ]; then
  echo "could not run: build the deploy file and review/build-2.sh first" >&2
  exit 2
fi
CASE_FOLDER=$(mktemp -d) || exit 2
export CASE_FOLDER RECORD="$folder/record.txt"
child=
finish() {
  [ -n "$child" ] && kill "$child" 2>/dev/null && wait "$child" 2>/dev/null
  rm -rf "$CASE_FOLDER"
}
trap finish EXIT
trap 'exit 2' INT TERM
"$program" &
child=$!
wait "$child"
code=$?
child=
[ "$code" -le 2 ] || code=2
if [ -n "${KEEP_LOGS:-}" ]; then mkdir -p "$KEEP_LOGS" && cp "$CASE_FOLDER"/*.log "$KEEP_LOGS"; fi
exit "$code"
