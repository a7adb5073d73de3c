#!/bin/bash
# Builds what the scripts of the second review start beside the programs of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
