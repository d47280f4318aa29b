#!/bin/sh
# Builds the stand-ins of the second review into target/review-2. Standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = harness ] || rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
