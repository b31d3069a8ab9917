#!/bin/sh
# Builds the stand-ins of all cases: one program of the standard library alone, in the ignored folder target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
