#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/review-cases review/stand-ins-3/main.rs
