#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for main in review/[0-9]*/case.rs; do
    [ -e "$main" ] || continue
    n=$(basename "$(dirname "$main")")
    rustc --edition 2024 -O -o "target/review-2/case-$n" "$main"
done
