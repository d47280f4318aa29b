#!/bin/sh
# Builds the stand-ins of the review. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -o target/review/cases review/standins/main.rs
