#!/bin/sh
# Builds the stand-ins of the scripts. They need the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
