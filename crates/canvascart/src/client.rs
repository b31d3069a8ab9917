//! `canvascart client`: sends one request; prints the response to standard output and the attempts to standard error.

use std::io::Write as _;

use ::client::http::{CallOutcome, CallRequest, Client};
use ::client::{Class, StopReason};
use clap::ValueEnum;
use settings::properties::host_and_port;

/// Exit code: an unexpected response, or none.
const FAILED: u8 = 1;
/// Exit code: the last response is a rejection, so the request has not been processed.
const REJECTED: u8 = 3;
/// Exit code: the deadline expired without a response.
const DEADLINE_EXCEEDED: u8 = 4;

#[derive(Clone, Copy, ValueEnum)]
enum ClassName {
    Lookup,
    Checkout,
}

#[derive(clap::Args)]
#[command(
    after_help = "Exit codes: 0 served, 1 failed, 2 wrong usage or settings, 3 refused, 4 out of time."
)]
pub struct ClientArguments {
    #[command(flatten)]
    properties: crate::Properties,
    /// Address of the proxy, overriding client.target.
    #[arg(long, value_name = "HOST:PORT", value_parser = host_and_port)]
    target: Option<String>,
    /// Tenant of the request.
    #[arg(long)]
    tenant: String,
    /// Session ID of the request.
    #[arg(long)]
    sid: String,
    /// Body of a checkout.
    #[arg(long, default_value = "", hide_default_value = true)]
    body: String,
    /// Class of the request.
    class: ClassName,
}

pub fn run(arguments: ClientArguments) -> Result<u8, String> {
    let mut settings = arguments.properties.read()?.client;
    settings.target = arguments.target.or(settings.target);
    if settings.target.is_none() {
        return Err(
            "no proxy is given: use --target, or set client.target in the --properties file".into(),
        );
    }
    let request = CallRequest {
        class: match arguments.class {
            ClassName::Lookup => Class::Lookup,
            ClassName::Checkout => Class::Checkout,
        },
        tenant: arguments.tenant,
        sid: arguments.sid,
        body: arguments.body.into(),
    };
    let mut client = Client::new(settings, fastrand::u64(..))?;
    let outcome = crate::block_on(client.call(&request))??;
    for (n, attempt) in outcome.attempts.iter().enumerate() {
        eprintln!("try {}: {attempt}", n + 1);
    }
    if outcome.response.as_ref().is_none_or(|r| r.status != 200) {
        eprintln!("canvascart: {}", outcome.stop_reason);
    }
    if let Some(response) = &outcome.response {
        let mut out = std::io::stdout();
        out.write_all(&response.body)
            .and_then(|()| out.flush())
            .map_err(|e| format!("standard output: {e}"))?;
    }
    Ok(exit_code(&outcome))
}

fn exit_code(outcome: &CallOutcome) -> u8 {
    match outcome.response.as_ref().map(|r| r.status) {
        Some(200) => 0,
        Some(429 | 503) => REJECTED,
        Some(_) => FAILED,
        None if outcome.stop_reason == StopReason::Deadline => DEADLINE_EXCEEDED,
        None => FAILED,
    }
}
