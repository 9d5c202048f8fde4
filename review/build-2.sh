#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review target/review-2
rustc --edition 2024 -O -o target/review-2/review-cases review/standin-2/main.rs
rustc --edition 2021 -O -o target/review/standin-3 review/standin-3/main.rs
