#!/usr/bin/env bash
# Everything that has to hold before a change lands: format, lints, tests, docs, the module alone.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all -- --check
cargo clippy --locked --workspace --all-targets --profile ci -- -D warnings
# What the platform builds, with no more of others' features than it asks for itself.
cargo clippy --locked --profile ci -- -D warnings
cargo clippy --locked -p balancer --profile ci -- -D warnings
.ci/known-red-test.sh
# With failpoints, by which tests make a process slow or stand still at a named place. Tests that KNOWN-RED.txt
# lists may fail.
.ci/known-red.sh KNOWN-RED.txt cargo test --locked --workspace --profile ci --features canvascart/failpoints
RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --profile ci
