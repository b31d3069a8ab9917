//! `canvascart drill`: starts and stops drills at a proxy's side port.

use std::io::Write as _;

use ::client::http::exchange;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use hyper::{Method, Request};
use serde_json::json;
use settings::properties::{Secret, host_and_port};
use tokio::time::{Duration, timeout};

/// The proxy refuses.
const REFUSED: u8 = 1;
/// No answer from the side port.
const NO_ANSWER: u8 = 3;
/// Longest wait for it.
const WAIT: Duration = Duration::from_secs(5);
const CODES: &str =
    "Exit codes: 0 done, 1 the proxy refuses, 2 wrong usage or settings, 3 no answer.";

#[derive(clap::Subcommand)]
pub enum Command {
    /// Starts a drill, in place of the class's present one.
    #[command(after_help = CODES)]
    Start {
        #[command(flatten)]
        port: Port,
        /// The class whose requests are drilled.
        #[arg(long)]
        class: String,
        #[command(flatten)]
        deed: Deed,
        /// The share of the class's requests, such as 10%.
        #[arg(long)]
        share: String,
        /// How long the drill lasts, such as 120s; more than the proxy's limit is cut to it.
        #[arg(long = "for", value_name = "SPAN")]
        span: String,
    },
    /// Stops one class's drill, or all.
    #[command(after_help = CODES)]
    Stop {
        #[command(flatten)]
        port: Port,
        /// The class whose drill stops.
        #[arg(long)]
        class: Option<String>,
    },
}

/// Where the side port is, and what opens it.
#[derive(clap::Args)]
pub struct Port {
    #[command(flatten)]
    properties: crate::Properties,
    /// The side port, in place of drills.port on the host of NODE_LISTEN.
    #[arg(long, value_name = "HOST:PORT", value_parser = host_and_port)]
    at: Option<String>,
    /// The proxy's drills.secret.
    #[arg(long)]
    secret: String,
}

/// What befalls a request of the share.
#[derive(clap::Args)]
#[group(required = true, multiple = false)]
pub struct Deed {
    /// Its answer comes so much later, such as 400ms.
    #[arg(long, value_name = "SPAN")]
    delay: Option<String>,
    /// Its answer becomes a 500.
    #[arg(long)]
    abort: bool,
}

impl Port {
    fn address(&self) -> Result<String, String> {
        let settings = self.properties.read()?.fault_injection;
        if let Some(at) = &self.at {
            return Ok(at.clone());
        }
        let port = settings.port.filter(|port| *port > 0);
        let port = port.ok_or("give --at, or a file with a drills.port in --properties")?;
        let listen =
            std::env::var("NODE_LISTEN").map_err(|_| "NODE_LISTEN is not set: give --at")?;
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
            deed,
            share,
            span,
        } => {
            let (delay, abort) = (&deed.delay, deed.abort);
            let body = json!({"class": class, "share": share, "for": span, "delay": delay, "abort": abort});
            (port, Method::POST, body)
        }
        Command::Stop { port, class } => (port, Method::DELETE, json!({"class": class})),
    };
    let address = port.address()?;
    let secret = Secret::new(&port.secret).map_err(|e| e.to_string())?;
    let mut bearer = HeaderValue::from_bytes(&[b"Bearer ", secret.bytes()].concat())
        .map_err(|_| "the secret can't stand in a header")?;
    bearer.set_sensitive(true);
    let request = Request::builder()
        .method(method)
        .uri("/drill")
        .header(HOST, &address)
        .header(AUTHORIZATION, bearer)
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|e| e.to_string())?;
    let answer = crate::block_on(async { timeout(WAIT, exchange(&address, request)).await })?;
    match answer.unwrap_or_else(|_| Err("no answer in time".into())) {
        Ok((answer, _)) => {
            let text = String::from_utf8_lossy(&answer.body);
            if answer.status == 200 {
                let said = writeln!(std::io::stdout(), "{}", text.trim_end());
                return said
                    .map(|()| 0)
                    .map_err(|e| format!("standard output: {e}"));
            }
            eprintln!("canvascart: {address} refuses: {}", text.trim_end());
            Ok(REFUSED)
        }
        Err(e) => {
            eprintln!("canvascart: {address}: {e}");
            Ok(NO_ANSWER)
        }
    }
}
