//! The command's own log, on standard error: for people, or a JSON object a line.

use std::io::{IsTerminal as _, stderr};

use clap::ValueEnum;
use tracing_subscriber::EnvFilter;

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Format {
    /// A line of text.
    Human,
    /// A JSON object a line.
    Json,
}

#[derive(clap::Args)]
pub struct Arguments {
    /// How log lines on standard error look.
    #[arg(long, global = true, value_enum, default_value_t = Format::Human)]
    log_format: Format,
    /// What is logged: off, error, warn, info, debug or trace, also by part, such as lab::real=debug. Without it info,
    /// and warn on a terminal, where a bar shows how far a run is.
    #[arg(long, global = true, value_name = "FILTER")]
    log: Option<String>,
}

impl Arguments {
    /// From here on what is logged is written.
    pub fn start(&self) -> Result<(), String> {
        let usual = if stderr().is_terminal() {
            "warn"
        } else {
            "info"
        };
        let filter = self.log.as_deref().unwrap_or(usual);
        let filter = EnvFilter::try_new(filter).map_err(|e| format!("--log {filter}: {e}"))?;
        let lines = tracing_subscriber::fmt()
            .with_env_filter(filter)
            .with_writer(stderr)
            .with_ansi(false);
        match self.log_format {
            Format::Human => lines.init(),
            Format::Json => lines.json().flatten_event(true).init(),
        }
        Ok(())
    }
}
