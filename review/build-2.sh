#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/standin-2 review/standin-2/tests/main.rs
