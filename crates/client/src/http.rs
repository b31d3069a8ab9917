//! Calls over HTTP/1.1. Each attempt opens a connection of its own, and connections are not reused, so that a stale
//! connection can neither lose a request nor cause it to be sent twice.
//!
//! ```no_run
//! use client::http::{CallRequest, Client};
//! use client::{Class, Settings};
//!
//! # async fn borrow(seed: u64) -> Result<(), String> {
//! let settings = Settings { target: Some("127.0.0.1:9000".into()), ..Settings::default() };
//! let mut client = Client::new(settings, seed)?;
//! let (tenant, sid) = ("biblio-estrie".into(), "7f3a9c21e0b4d655".into());
//! let outcome = client.call(&CallRequest { class: Class::Checkout, tenant, sid, body: "a book".into() }).await?;
//! match outcome.response {
//!     Some(response) if response.status == 200 => println!("borrowed"),
//!     _ => println!("not borrowed: {}", outcome.stop_reason),
//! }
//! # Ok(())
//! # }
//! ```

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{HOST, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    Attempt, AttemptOutcome, Call, Class, NextStep, Settings, StopReason, format_timeout,
    parse_retry_after,
};

/// Maximum size of a request or response body in the protocol, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum length of a `sid`, in characters.
const MAX_SID_CHARS: usize = 256;

/// Request of a call.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Request class, which determines path and method.
    pub class: Class,
    /// Tenant that makes the request.
    pub tenant: String,
    /// Key of the request: letters, digits and `-._~`.
    pub sid: String,
    /// Body of a checkout; empty for a lookup.
    pub body: Bytes,
}

/// Complete response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// Value of its `X-Request-ID`.
    pub request_id: String,
    /// Status code of the response, or the reason why there is none.
    pub result: Result<u16, String>,
}

impl fmt::Display for AttemptResult {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match &self.result {
            Ok(status) => write!(f, "{} {status}", self.request_id),
            Err(reason) => write!(f, "{} {reason}", self.request_id),
        }
    }
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallOutcome {
    /// Response to the last attempt, if there was one.
    pub response: Option<Response>,
    /// All attempts, in order.
    pub attempts: Vec<AttemptResult>,
    /// Reason why there was no further attempt.
    pub stop_reason: StopReason,
}

/// Client for one target.
pub struct Client {
    settings: Settings,
    target: String,
    host: HeaderValue,
    rng: fastrand::Rng,
}

impl Client {
    /// Creates a client for the target of the settings. Request ids and backoffs are derived from `seed`, so each client
    /// needs its own.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, String> {
        let target = settings.target.clone().ok_or("client.target is not set")?;
        let host = HeaderValue::from_str(&target)
            .map_err(|_| format!("'{target}' is not a valid address"))?;
        Ok(Client {
            settings,
            target,
            host,
            rng: fastrand::Rng::with_seed(seed),
        })
    }

    /// Makes a call, with as many attempts as the retry policy allows.
    ///
    /// # Errors
    /// The request is invalid; nothing has been sent then.
    pub async fn call(&mut self, call_request: &CallRequest) -> Result<CallOutcome, String> {
        let start = Instant::now();
        let deadline = start + self.settings.deadline(call_request.class);
        let mut call = Call::new(call_request.class, &self.settings);
        let mut attempts = Vec::new();
        let mut response = None;
        loop {
            let Some(attempt) = call.begin_attempt(start.elapsed()) else {
                return Ok(CallOutcome {
                    response,
                    attempts,
                    stop_reason: StopReason::Deadline,
                });
            };
            let request_id = format!("{:016x}", self.rng.u64(..));
            let request = self.request(call_request, &request_id, attempt)?;
            let result = timeout_at(deadline, exchange(&self.target, request)).await;
            let (outcome, result) = match result {
                Ok(Ok((received, retry_after))) => {
                    let status = received.status;
                    response = Some(received);
                    (
                        AttemptOutcome::Response {
                            status,
                            retry_after,
                        },
                        Ok(status),
                    )
                }
                Ok(Err(reason)) => (AttemptOutcome::Failed, Err(reason)),
                Err(_) => (
                    AttemptOutcome::Failed,
                    Err("no response before the deadline".into()),
                ),
            };
            response = response.filter(|_| result.is_ok());
            attempts.push(AttemptResult { request_id, result });
            let now = start.elapsed();
            let stop_reason = match call.next_step(now, &outcome, self.rng.f64()) {
                NextStep::Wait(wait) => {
                    sleep(wait).await;
                    continue;
                }
                NextStep::Stop(_)
                    if outcome == AttemptOutcome::Failed
                        && now >= self.settings.deadline(call_request.class) =>
                {
                    StopReason::Deadline
                }
                NextStep::Stop(stop_reason) => stop_reason,
            };
            return Ok(CallOutcome {
                response,
                attempts,
                stop_reason,
            });
        }
    }

    fn request(
        &self,
        call_request: &CallRequest,
        request_id: &str,
        attempt: Attempt,
    ) -> Result<Request<Full<Bytes>>, String> {
        let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
        if call_request.sid.is_empty()
            || call_request.sid.len() > MAX_SID_CHARS
            || !call_request.sid.bytes().all(is_unreserved)
        {
            return Err(format!(
                "the sid needs 1 to {MAX_SID_CHARS} letters, digits or -._~"
            ));
        }
        let tenant = HeaderValue::from_str(&call_request.tenant)
            .ok()
            .filter(|t| !t.is_empty());
        let tenant = tenant.ok_or("the tenant is empty or not a valid header value")?;
        let (method, body) = match call_request.class {
            Class::Lookup if !call_request.body.is_empty() => {
                return Err("a lookup has no body".into());
            }
            Class::Lookup => (Method::GET, Bytes::new()),
            Class::Checkout if call_request.body.len() > MAX_BODY_BYTES => {
                return Err(format!("the body is over {MAX_BODY_BYTES} bytes"));
            }
            Class::Checkout => (Method::POST, call_request.body.clone()),
        };
        let target = format!("/{}?sid={}", call_request.class.name(), call_request.sid);
        let uri: Uri = target.parse().map_err(|e| format!("{target}: {e}"))?;
        let mut request = Request::builder()
            .method(method)
            .uri(uri)
            .header(HOST, self.host.clone())
            .header("x-request-id", request_id)
            .header("x-tenant-id", tenant)
            .header("x-timeout", format_timeout(attempt.remaining));
        if attempt.is_retry {
            request = request.header("x-retried", "1");
        }
        request.body(Full::new(body)).map_err(|e| e.to_string())
    }
}

/// Sends a request on a new connection; returns the complete response and its `Retry-After`.
///
/// # Errors
/// The connection failed, or the response is missing or invalid.
pub async fn exchange(
    target: &str,
    request: Request<Full<Bytes>>,
) -> Result<(Response, Option<Duration>), String> {
    let stream = TcpStream::connect(target)
        .await
        .map_err(|e| format!("no connection: {e}"))?;
    stream
        .set_nodelay(true)
        .map_err(|e| format!("no connection: {e}"))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| format!("no connection: {e}"))?;
    let exchange = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|e| format!("no response: {e}"))?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|e| format!("an invalid response: {e}"))?;
        let retry_after = head
            .headers
            .get(RETRY_AFTER)
            .and_then(|v| v.to_str().ok())
            .and_then(parse_retry_after);
        Ok((
            Response {
                status: head.status.as_u16(),
                body: body.to_bytes(),
            },
            retry_after,
        ))
    };
    tokio::pin!(exchange, connection);
    tokio::select! {
        biased; // a complete response counts, however its connection ends
        result = &mut exchange => result,
        // The connection has ended; the data read from it is already buffered.
        _ = &mut connection => exchange.await,
    }
}
