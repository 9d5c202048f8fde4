#!/usr/bin/env bash
# Builds the stand-ins of the scripts, with the compiler alone: they have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
