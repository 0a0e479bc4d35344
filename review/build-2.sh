#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in drain silence; do
  rustc --edition 2024 -O -o "target/review-2/$program" "review/kit-2/$program.rs"
done
