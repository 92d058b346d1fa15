#!/usr/bin/env bash
# Builds every stand-in that the review cases start. Needs no network: there are no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline --target-dir ../../target/review
