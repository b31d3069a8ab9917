#!/usr/bin/env bash
# Runs all checks that a change must pass: formatting, lints, tests, documentation, and lints of the balancer alone.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all -- --check
cargo clippy --locked --workspace --all-targets --profile ci -- -D warnings
# The platform's build: the default members, without features that only other packages enable.
cargo clippy --locked --profile ci -- -D warnings
cargo clippy --locked -p balancer --profile ci -- -D warnings
.ci/known-red-test.sh
# Failpoints let tests delay or block a process at a named place. Tests listed in KNOWN-RED.txt may fail.
.ci/known-red.sh KNOWN-RED.txt cargo test --locked --workspace --profile ci --features canvascart/failpoints
# A development build, whose assertions the optimised profiles leave out, has to start.
cargo run --locked -p canvascart -- --version
RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --profile ci
