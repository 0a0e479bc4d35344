#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. Needs only the Rust toolchain.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand-ins review/stand-ins-3/main.rs
