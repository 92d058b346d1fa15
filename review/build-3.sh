#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
