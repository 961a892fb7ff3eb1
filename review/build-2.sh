#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, with the standard library alone: target/review-2/cases.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -A dead_code -o target/review-2/cases review/standins-2/cases.rs
