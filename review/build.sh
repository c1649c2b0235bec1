#!/bin/sh
# Builds the stand-ins and the cases of the review. They use the standard library only.
set -e
cd "$(dirname "$0")/standins"
exec cargo build --release --offline
