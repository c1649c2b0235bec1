#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, without a network: they need the standard library alone. The program itself
# is built with the command of the deploy file before.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
