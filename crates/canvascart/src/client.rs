//! `canvascart client`: one call, its answer on standard output, its tries on standard error.

use std::io::Write as _;

use ::client::http::{CallOutcome, CallRequest, Client};
use ::client::{Class, StopReason};
use clap::ValueEnum;
use settings::properties::host_and_port;

/// The answer is neither served nor a refusal, or there is none.
const FAILED: u8 = 1;
/// The last answer is a refusal: the request has surely not run.
const REFUSED: u8 = 3;
/// The deadline ended it without an answer.
const LATE: u8 = 4;

#[derive(Clone, Copy, ValueEnum)]
enum Name {
    Lookup,
    Checkout,
}

#[derive(clap::Args)]
#[command(
    after_help = "Exit codes: 0 served, 1 failed, 2 wrong usage or settings, 3 refused, 4 out of time."
)]
pub struct Arguments {
    #[command(flatten)]
    properties: crate::Properties,
    /// The proxy, in place of client.target.
    #[arg(long, value_name = "HOST:PORT", value_parser = host_and_port)]
    target: Option<String>,
    /// The tenant that asks.
    #[arg(long)]
    tenant: String,
    /// What the request is about.
    #[arg(long)]
    sid: String,
    /// The body of a checkout.
    #[arg(long, default_value = "", hide_default_value = true)]
    body: String,
    /// What to ask for.
    class: Name,
}

pub fn run(arguments: Arguments) -> Result<u8, String> {
    let mut settings = arguments.properties.read()?.client;
    settings.target = arguments.target.or(settings.target);
    if settings.target.is_none() {
        return Err(
            "no proxy is named: give --target, or client.target in the file of --properties".into(),
        );
    }
    let ask = CallRequest {
        class: match arguments.class {
            Name::Lookup => Class::Lookup,
            Name::Checkout => Class::Checkout,
        },
        tenant: arguments.tenant,
        sid: arguments.sid,
        body: arguments.body.into(),
    };
    let mut client = Client::new(settings, fastrand::u64(..))?;
    let outcome = crate::block_on(client.call(&ask))??;
    for (n, tried) in outcome.attempts.iter().enumerate() {
        eprintln!("try {}: {tried}", n + 1);
    }
    if outcome.response.as_ref().is_none_or(|a| a.status != 200) {
        eprintln!("canvascart: {}", outcome.stop_reason);
    }
    if let Some(answer) = &outcome.response {
        let mut out = std::io::stdout();
        out.write_all(&answer.body)
            .and_then(|()| out.flush())
            .map_err(|e| format!("the answer: {e}"))?;
    }
    Ok(code(&outcome))
}

fn code(outcome: &CallOutcome) -> u8 {
    match outcome.response.as_ref().map(|a| a.status) {
        Some(200) => 0,
        Some(429 | 503) => REFUSED,
        Some(_) => FAILED,
        None if outcome.stop_reason == StopReason::Deadline => LATE,
        None => FAILED,
    }
}
