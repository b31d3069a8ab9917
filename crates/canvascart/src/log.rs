//! Logging to standard error, as text or as one JSON object per line.

use std::io::{IsTerminal as _, stderr};

use clap::ValueEnum;
use tracing_subscriber::EnvFilter;

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Format {
    /// Text.
    Human,
    /// One JSON object per line.
    Json,
}

#[derive(clap::Args)]
pub struct LogArguments {
    /// Format of log lines on standard error.
    #[arg(long, global = true, value_enum, default_value_t = Format::Human)]
    log_format: Format,
    /// Log level: off, error, warn, info, debug or trace, also per module, such as lab::real=debug. The default is info,
    /// or warn on a terminal, where a progress bar is shown.
    #[arg(long, global = true, value_name = "FILTER")]
    log: Option<String>,
}

impl LogArguments {
    /// Starts writing the log.
    ///
    /// # Errors
    /// The filter is invalid.
    pub fn start(&self) -> Result<(), String> {
        let default_level = if stderr().is_terminal() {
            "warn"
        } else {
            "info"
        };
        let filter = self.log.as_deref().unwrap_or(default_level);
        let filter = EnvFilter::try_new(filter).map_err(|e| format!("--log {filter}: {e}"))?;
        let subscriber = tracing_subscriber::fmt()
            .with_env_filter(filter)
            .with_writer(stderr)
            .with_ansi(false);
        match self.log_format {
            Format::Human => subscriber.init(),
            Format::Json => subscriber.json().flatten_event(true).init(),
        }
        Ok(())
    }
}
