//! The platform's proxy: a thin main over the engine, one pool, one core.

use std::process::ExitCode;

fn main() -> ExitCode {
    proxy_core::process::main(std::env::args_os().skip(1))
}
