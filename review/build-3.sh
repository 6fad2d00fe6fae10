#!/usr/bin/env bash
# Builds the stand-ins of the third review, which need nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/case review/standins-3/main.rs
