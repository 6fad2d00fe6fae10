#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, without a network and without
# dependencies. The gateways come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/standins-2/main.rs
