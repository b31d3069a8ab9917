//! `canvascart drill`: starts and stops drills through a proxy's side port.

use std::io::Write as _;

use ::client::http::exchange;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use hyper::{Method, Request};
use serde_json::json;
use settings::properties::{Secret, host_and_port};
use tokio::time::{Duration, timeout};

/// Exit code: the proxy rejects the command.
const REJECTED: u8 = 1;
/// Exit code: the side port does not answer.
const NO_RESPONSE: u8 = 3;
/// Limit of a call to the side port.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const EXIT_CODES: &str =
    "Exit codes: 0 done, 1 rejected by the proxy, 2 wrong usage or settings, 3 no answer.";

#[derive(clap::Subcommand)]
pub enum Command {
    /// Starts a drill, replacing the current one of the class.
    #[command(after_help = EXIT_CODES)]
    Start {
        #[command(flatten)]
        port: SidePort,
        /// Class of the affected requests.
        #[arg(long)]
        class: String,
        #[command(flatten)]
        effect: DrillEffect,
        /// Share of the class's requests that are affected, such as 10%.
        #[arg(long)]
        share: String,
        /// Duration of the drill, such as 120s; capped at the proxy's limit.
        #[arg(long = "for", value_name = "SPAN")]
        span: String,
    },
    /// Stops the drill of one class, or all drills.
    #[command(after_help = EXIT_CODES)]
    Stop {
        #[command(flatten)]
        port: SidePort,
        /// Class whose drill is stopped; all classes by default.
        #[arg(long)]
        class: Option<String>,
    },
}

/// Address of the side port, and its secret.
#[derive(clap::Args)]
pub struct SidePort {
    #[command(flatten)]
    properties: crate::Properties,
    /// Address of the side port, overriding drills.port on the host of NODE_LISTEN.
    #[arg(long, value_name = "HOST:PORT", value_parser = host_and_port)]
    at: Option<String>,
    /// Value of the proxy's drills.secret.
    #[arg(long)]
    secret: String,
}

/// Effect of the drill on a request.
#[derive(clap::Args)]
#[group(required = true, multiple = false)]
pub struct DrillEffect {
    /// Delays the response, such as by 400ms.
    #[arg(long, value_name = "SPAN")]
    delay: Option<String>,
    /// Replaces the response with a 500.
    #[arg(long)]
    abort: bool,
}

impl SidePort {
    fn address(&self) -> Result<String, String> {
        let settings = self.properties.read()?.fault_injection;
        if let Some(at) = &self.at {
            return Ok(at.clone());
        }
        let port = settings.port.filter(|port| *port > 0);
        let port =
            port.ok_or("no side port is given: use --at, or a --properties file with drills.port")?;
        let listen =
            std::env::var("NODE_LISTEN").map_err(|_| "NODE_LISTEN is not set: use --at")?;
        let host = listen
            .rsplit_once(':')
            .map(|(host, _)| host)
            .ok_or("NODE_LISTEN is not HOST:PORT")?;
        host_and_port(&format!("{host}:{port}")).map_err(|e| e.to_string())
    }
}

pub fn run(command: Command) -> Result<u8, String> {
    let (port, method, body) = match &command {
        Command::Start {
            port,
            class,
            effect,
            share,
            span,
        } => {
            let (delay, abort) = (&effect.delay, effect.abort);
            let body = json!({"class": class, "share": share, "for": span, "delay": delay, "abort": abort});
            (port, Method::POST, body)
        }
        Command::Stop { port, class } => (port, Method::DELETE, json!({"class": class})),
    };
    let address = port.address()?;
    let secret = Secret::new(&port.secret).map_err(|e| e.to_string())?;
    let mut bearer = HeaderValue::from_bytes(&[b"Bearer ", secret.bytes()].concat())
        .map_err(|_| "the secret is not a valid header value")?;
    bearer.set_sensitive(true);
    let request = Request::builder()
        .method(method)
        .uri("/drill")
        .header(HOST, &address)
        .header(AUTHORIZATION, bearer)
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|e| e.to_string())?;
    let response =
        crate::block_on(async { timeout(CALL_TIMEOUT, exchange(&address, request)).await })?;
    match response.unwrap_or_else(|_| Err("no response in time".into())) {
        Ok((response, _)) => {
            let text = String::from_utf8_lossy(&response.body);
            if response.status == 200 {
                let written = writeln!(std::io::stdout(), "{}", text.trim_end());
                return written
                    .map(|()| 0)
                    .map_err(|e| format!("standard output: {e}"));
            }
            eprintln!(
                "canvascart: {address} rejects the drill: {}",
                text.trim_end()
            );
            Ok(REJECTED)
        }
        Err(e) => {
            eprintln!("canvascart: {address}: {e}");
            Ok(NO_RESPONSE)
        }
    }
}
