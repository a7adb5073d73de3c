#!/bin/sh
# Builds the stand-ins that the scripts of review/ start; needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
