#!/bin/sh
# run_case.sh N: runs the built program of case N from the repository's root, with the `run` of the deploy
# file, in a temporary folder. The record is written to review/N/record.txt.
cd "$(dirname "$0")/../.." || exit 2
number=$1
program=target/review/case$number
[ -x "$program" ] && [ -x target/tallymux ] || { echo "not built"; exit 2; }
run=$(sed -n 's/^run *= *"\(.*\)"$/\1/p' deploy/service.toml)
[ -n "$run" ] || exit 2
folder=$(mktemp -d) || exit 2
child=
trap 'rm -rf "$folder"' EXIT
trap '[ -n "$child" ] && kill "$child" 2>/dev/null' INT TERM
# $run is the command with its arguments, separated by blanks
$program "review/$number/record.txt" "$folder" "${TROUBLE:-1}" $run &
child=$!
wait "$child"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
