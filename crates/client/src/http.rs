//! Calls over HTTP/1.1. Each try opens a connection of its own and keeps none: there is no stale one that a
//! request could be lost on, or sent on twice.
//!
//! ```no_run
//! use client::http::{Ask, Client};
//! use client::{Class, Settings};
//!
//! # async fn borrow(seed: u64) -> Result<(), String> {
//! let settings = Settings { target: Some("127.0.0.1:9000".into()), ..Settings::default() };
//! let mut client = Client::new(settings, seed)?;
//! let (tenant, sid) = ("biblio-estrie".into(), "7f3a9c21e0b4d655".into());
//! let outcome = client.call(&Ask { class: Class::Checkout, tenant, sid, body: "a book".into() }).await?;
//! match outcome.answer {
//!     Some(answer) if answer.status == 200 => println!("borrowed"),
//!     _ => println!("not borrowed: {}", outcome.stop),
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

use crate::{Call, Class, Ended, Next, Settings, Stop, Try, retry_after, timeout_text};

/// Bytes of an answer's or a request's body, by the protocol.
pub const BODY: usize = 64 << 10;
/// Characters of a `sid`.
const SID: usize = 256;

/// What a call asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its class, which settles path and method.
    pub class: Class,
    /// Who asks.
    pub tenant: String,
    /// What it is about: letters, digits and `-._~`.
    pub sid: String,
    /// The body of a checkout; a lookup has none.
    pub body: Bytes,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Its code.
    pub status: u16,
    /// Its body.
    pub body: Bytes,
}

/// How one try of a call went.
#[derive(Clone, Debug, PartialEq)]
pub struct Tried {
    /// The `X-Request-ID` it carried.
    pub id: String,
    /// The code of its answer, or why there is none.
    pub result: Result<u16, String>,
}

impl fmt::Display for Tried {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match &self.result {
            Ok(status) => write!(f, "{} {status}", self.id),
            Err(why) => write!(f, "{} {why}", self.id),
        }
    }
}

/// How a call went.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The last try's answer, if it had one.
    pub answer: Option<Answer>,
    /// All tries, in order.
    pub tries: Vec<Tried>,
    /// Why there is no further one.
    pub stop: Stop,
}

/// Makes calls to one target.
pub struct Client {
    settings: Settings,
    target: String,
    host: HeaderValue,
    chance: fastrand::Rng,
}

impl Client {
    /// A client for the target that the settings name. `seed` gives request ids and back-offs: no two clients
    /// may share one.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, String> {
        let target = settings.target.clone().ok_or("client.target is not set")?;
        let host =
            HeaderValue::from_str(&target).map_err(|_| format!("'{target}' is no address"))?;
        Ok(Client {
            settings,
            target,
            host,
            chance: fastrand::Rng::with_seed(seed),
        })
    }

    /// Makes a call, with as many tries as its rules allow. An error says what is wrong with `ask`; nothing
    /// has been sent then.
    pub async fn call(&mut self, ask: &Ask) -> Result<Outcome, String> {
        let start = Instant::now();
        let end = start + self.settings.deadline(ask.class);
        let mut call = Call::new(ask.class, &self.settings);
        let mut tries = Vec::new();
        let mut answer = None;
        loop {
            let Some(next) = call.begin(start.elapsed()) else {
                return Ok(Outcome {
                    answer,
                    tries,
                    stop: Stop::Deadline,
                });
            };
            let id = format!("{:016x}", self.chance.u64(..));
            let request = self.request(ask, &id, next)?;
            let result = timeout_at(end, exchange(&self.target, request)).await;
            let (ended, result) = match result {
                Ok(Ok((whole, retry_after))) => {
                    let status = whole.status;
                    answer = Some(whole);
                    (
                        Ended::Answered {
                            status,
                            retry_after,
                        },
                        Ok(status),
                    )
                }
                Ok(Err(why)) => (Ended::Broken, Err(why)),
                Err(_) => (Ended::Broken, Err("no answer before the deadline".into())),
            };
            answer = answer.filter(|_| result.is_ok());
            tries.push(Tried { id, result });
            let now = start.elapsed();
            let stop = match call.after(now, &ended, self.chance.f64()) {
                Next::Wait(wait) => {
                    sleep(wait).await;
                    continue;
                }
                Next::Stop(_)
                    if ended == Ended::Broken && now >= self.settings.deadline(ask.class) =>
                {
                    Stop::Deadline
                }
                Next::Stop(stop) => stop,
            };
            return Ok(Outcome {
                answer,
                tries,
                stop,
            });
        }
    }

    fn request(&self, ask: &Ask, id: &str, next: Try) -> Result<Request<Full<Bytes>>, String> {
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
        if ask.sid.is_empty() || ask.sid.len() > SID || !ask.sid.bytes().all(plain) {
            return Err(format!("the sid wants 1 to {SID} letters, digits or -._~"));
        }
        let tenant = HeaderValue::from_str(&ask.tenant)
            .ok()
            .filter(|t| !t.is_empty());
        let tenant = tenant.ok_or("the tenant is empty or can't stand in a header")?;
        let (method, body) = match ask.class {
            Class::Lookup if !ask.body.is_empty() => return Err("a lookup has no body".into()),
            Class::Lookup => (Method::GET, Bytes::new()),
            Class::Checkout if ask.body.len() > BODY => {
                return Err(format!("the body is over {BODY} bytes"));
            }
            Class::Checkout => (Method::POST, ask.body.clone()),
        };
        let target = format!("/{}?sid={}", ask.class.name(), ask.sid);
        let uri: Uri = target.parse().map_err(|e| format!("{target}: {e}"))?;
        let mut request = Request::builder()
            .method(method)
            .uri(uri)
            .header(HOST, self.host.clone())
            .header("x-request-id", id)
            .header("x-tenant-id", tenant)
            .header("x-timeout", timeout_text(next.left));
        if next.retried {
            request = request.header("x-retried", "1");
        }
        request.body(Full::new(body)).map_err(|e| e.to_string())
    }
}

/// One request on a connection of its own, and its whole answer with the wait that it names.
pub async fn exchange(
    target: &str,
    request: Request<Full<Bytes>>,
) -> Result<(Answer, Option<Duration>), String> {
    let stream = TcpStream::connect(target)
        .await
        .map_err(|e| format!("no connection: {e}"))?;
    stream
        .set_nodelay(true)
        .map_err(|e| format!("no connection: {e}"))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| format!("no connection: {e}"))?;
    let asked = async {
        let answer = sender
            .send_request(request)
            .await
            .map_err(|e| format!("no answer: {e}"))?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, BODY)
            .collect()
            .await
            .map_err(|e| format!("a broken answer: {e}"))?;
        let wait = head
            .headers
            .get(RETRY_AFTER)
            .and_then(|v| v.to_str().ok())
            .and_then(retry_after);
        Ok((
            Answer {
                status: head.status.as_u16(),
                body: body.to_bytes(),
            },
            wait,
        ))
    };
    tokio::pin!(asked, connection);
    tokio::select! {
        biased; // an answer that is whole counts, however its connection ends
        whole = &mut asked => whole,
        // The connection has ended; what it has read is already there.
        _ = &mut connection => asked.await,
    }
}
