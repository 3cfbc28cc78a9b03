#!/bin/sh
# surge_with_failures.sh CLUSTER_LOAD HISTORY_CHECKER: runs a short surge at three controllers, with a
# killed process, a paused process, failing links and late copies of command requests, and checks the
# recorded history.
set -eu
folder=$(dirname "$0")
history=$(mktemp)
trap 'rm -f "$history"' EXIT
"$1" --machines 6 --nodes 3 --seconds 20 --report 1 --surge 2 -o "$folder/surge_operator.toml" \
  --late-copies 0.5 \
  --history "$history" --do "8 kill 0 4" --do "10 pause 1 4" --do "12 delay peers 2 3" \
  --do "14 refuse state 2 2" --do "16 cut workers 0 2"
"$2" "$history"
