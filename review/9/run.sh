#!/bin/sh
# Exit code 0: the rule held, 1: it was broken, 2: the case couldn't run. With TROUBLE=0 there is no disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
case_program="$root/target/review-2/release/review-case-2"
if [ ! -x "$case_program" ] || [ ! -x "$root/target/release/eideryard" ]; then
  echo "build first: cargo build --release; review/build-2.sh" >&2
  exit 2
fi
"$case_program" rewrite "$here"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
