#!/bin/sh
# Builds the cases of this review with their stand-ins, with the standard library alone. To be run after the deploy
# file's build; needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in gone memory slowreader heldback crowd; do
    rustc -O --edition 2021 "review/stand-ins-2/$case.rs" -o "target/review-2/$case"
done
