#!/bin/sh
# Runs case 3. Exit code 0: the rule held, 1: it was broken, 2: the case could not run.
exec "$(dirname "$0")/../standin/run_case.sh" 3
