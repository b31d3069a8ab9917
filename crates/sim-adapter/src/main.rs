//! Adapter between the operators' simulator protocol and the decision module.
//!
//! It reads batches of messages from standard input and writes the replies of one [`balancer::Balancer`] per simulated
//! proxy to standard output. It translates and decides nothing; the proxies share nothing.
#![deny(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::type_complexity,
    clippy::struct_excessive_bools
)]

mod error;
mod protocol;
mod session;
mod simulated_proxy;

use std::io;
use std::process::ExitCode;

use session::Session;

fn main() -> ExitCode {
    match Session::new(io::stdin().lock(), io::stdout().lock()).run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("canvascart-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
