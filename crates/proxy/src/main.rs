//! Entry point of the proxy that the platform runs: one pool on one core. The implementation is `proxy_core`.

use std::process::ExitCode;

fn main() -> ExitCode {
    proxy_core::process::main(std::env::args_os().skip(1))
}
