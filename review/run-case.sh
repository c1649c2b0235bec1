#!/bin/sh
# Runs one case: run-case.sh FOLDER PROGRAM. Exit code 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
folder=$(cd "$1" && pwd) || exit 2
ROOT=$(cd "$(dirname "$0")/.." && pwd) || exit 2
export ROOT RECORD="$folder/record.txt"
program="$ROOT/review/standins/target/release/$2"
[ -x "$program" ] && [ -x "$ROOT/target/release/eideryard" ] || { echo "build first: deploy file, review/build.sh" >&2; exit 2; }
"$program"
code=$?
[ $code -le 2 ] || code=2
exit $code
