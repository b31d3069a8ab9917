//! Drills, that is fault injection: for a limited time, a share of the answers of a class is delayed or replaced by an
//! error. Drills change answers that are already decided and draw from a random generator of their own, so they don't
//! affect the decision module.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::capture::Field;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Deserialize;
use settings::properties::Secret;
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Instant, sleep, timeout};

use crate::message::text_response;
use crate::stream::ResponseBody;
use crate::{log, note};

/// Maximum concurrent connections to the drills' port; further ones are closed without an answer.
const MAX_CONNECTIONS: usize = 4;
/// Timeouts of a connection, from its start to the end of its only answer, and of its request head.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_BODY_BYTES: usize = 4 << 10;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10); // prevents a busy loop after a failed accept
/// Longest delay of an answer; a delayed answer keeps its connection busy.
const MAX_DELAY: Duration = Duration::from_secs(60);
/// Requests over which a share is exact, to the nearest request.
const BLOCK_REQUESTS: u32 = 1000;

/// Fault that a drill applies to an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Delay(Duration),
    Abort,
}

/// Random selection of a share of requests, exact in each block of requests.
struct Share {
    /// Selected requests in each block.
    selected_per_block: u32,
    /// Requests still to select in the present block.
    to_select: u32,
    /// Requests that remain in the present block.
    remaining: u32,
}

impl Share {
    fn new(selected_per_block: u32) -> Self {
        Share {
            selected_per_block,
            to_select: 0,
            remaining: 0,
        }
    }

    /// Returns true if the next request is selected.
    fn draw(&mut self, random: &mut fastrand::Rng) -> bool {
        if self.remaining == 0 {
            (self.to_select, self.remaining) = (self.selected_per_block, BLOCK_REQUESTS);
        }
        let selected = random.u32(0..self.remaining) < self.to_select;
        self.remaining -= 1;
        self.to_select -= u32::from(selected);
        selected
    }
}

struct Drill {
    fault: Fault,
    share: Share,
    until: Instant,
    name: Rc<str>,
}

/// Fault selected for a request.
pub struct SelectedFault {
    fault: Fault,
    /// Name of the drill.
    pub name: Rc<str>,
}

/// Running drills, at most one for each class.
pub struct Drills {
    secret: Secret,
    max_duration: Duration,
    classes: Vec<String>,
    running: RefCell<Vec<Option<Drill>>>,
    random: RefCell<fastrand::Rng>,
    shut_down: Cell<bool>,
    shutdown_notify: Notify,
}

/// Request that starts a drill.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Start {
    class: String,
    share: String,
    #[serde(rename = "for")]
    duration: String,
    delay: Option<String>,
    #[serde(default)]
    abort: bool,
}

/// Request that stops a drill, or all drills if it names no class.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Stop {
    class: Option<String>,
}

/// Status and text of a rejected request.
type Rejection = (StatusCode, String);

fn bad(text: impl Into<String>) -> Rejection {
    (StatusCode::BAD_REQUEST, text.into())
}

impl Drills {
    /// Creates the state without a running drill. `seed` determines which requests are selected.
    pub fn new(
        secret: Secret,
        max_duration: Duration,
        classes: Vec<String>,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(Drills {
            secret,
            max_duration,
            running: RefCell::new(classes.iter().map(|_| None).collect()),
            classes,
            random: RefCell::new(fastrand::Rng::with_seed(seed)),
            shut_down: Cell::new(false),
            shutdown_notify: Notify::new(),
        })
    }

    /// Returns and logs the fault for a request that has its answer, if a drill of its class selects it. `id` is the
    /// request's id.
    pub fn select(&self, class: usize, id: Option<&HeaderValue>) -> Option<SelectedFault> {
        let selected = self.draw(class)?;
        let id = id.and_then(|id| id.to_str().ok());
        log::unlimited_line(format_args!("drill={} id={}", selected.name, Field(id)));
        Some(selected)
    }

    /// Returns the fault for the next request of a class, if a drill selects it.
    fn draw(&self, class: usize) -> Option<SelectedFault> {
        let mut running = self.running.borrow_mut();
        let slot = running.get_mut(class)?;
        let drill = slot.as_mut()?;
        if Instant::now() >= drill.until {
            note!("drill={} has ended", drill.name);
            *slot = None;
            return None;
        }
        let selected = drill.share.draw(&mut self.random.borrow_mut());
        selected.then(|| SelectedFault {
            fault: drill.fault,
            name: drill.name.clone(),
        })
    }

    /// Applies the selected fault to an answer.
    pub async fn apply(
        &self,
        selected: &SelectedFault,
        answer: Response<ResponseBody>,
    ) -> Response<ResponseBody> {
        let Fault::Delay(delay) = selected.fault else {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "a drill")
                .map(ResponseBody::from);
        };
        let end = self.shutdown_notify.notified();
        if !self.shut_down.get() {
            tokio::select! {
                () = sleep(delay) => {}
                () = end => {}
            }
        }
        answer
    }

    /// Ends all drills, releases the delayed answers, and prevents further drills.
    pub fn shut_down(&self) {
        self.shut_down.set(true);
        self.running
            .borrow_mut()
            .iter_mut()
            .for_each(|drill| *drill = None);
        self.shutdown_notify.notify_waiters();
    }

    fn class(&self, name: &str) -> Result<usize, Rejection> {
        let class = self.classes.iter().position(|c| c == name);
        class.ok_or_else(|| bad(format!("there is no class '{}'", name.escape_default())))
    }

    fn start(&self, request: &Start) -> Result<String, Rejection> {
        let class = self.class(&request.class)?;
        let duration = |field: &str, text: &str| {
            let duration = humantime::parse_duration(text)
                .ok()
                .filter(|s| !s.is_zero());
            duration.ok_or_else(|| bad(format!("'{field}' is no span such as 400ms or 120s")))
        };
        let fault = match (&request.delay, request.abort) {
            (Some(delay), false) => Fault::Delay(duration("delay", delay)?),
            (None, true) => Fault::Abort,
            _ => return Err(bad("one of a delay and an abort is wanted")),
        };
        if matches!(fault, Fault::Delay(delay) if delay < Duration::from_millis(1) || delay > MAX_DELAY)
        {
            return Err(bad(format!(
                "'delay' is not from 1ms to {}s",
                MAX_DELAY.as_secs()
            )));
        }
        let share = request
            .share
            .strip_suffix('%')
            .and_then(|s| s.trim().parse::<f64>().ok());
        let selected_per_block = share
            .map(|s| s / 100.0 * f64::from(BLOCK_REQUESTS))
            .filter(|s| *s >= 0.5 && *s <= f64::from(BLOCK_REQUESTS));
        let selected_per_block = selected_per_block
            .ok_or_else(|| bad("'share' is not from 0.1% to 100%"))?
            .round() as u32;
        let requested = duration("for", &request.duration)?;
        let limited = requested.min(self.max_duration);
        if self.shut_down.get() {
            return Err((
                StatusCode::SERVICE_UNAVAILABLE,
                "the proxy is about to stop".into(),
            ));
        }
        let name = match fault {
            Fault::Delay(delay) => format!("{}-delay-{}ms", request.class, delay.as_millis()),
            Fault::Abort => format!("{}-abort", request.class),
        };
        let cut = if limited < requested {
            ", cut to the limit"
        } else {
            ""
        };
        let message = format!(
            "drill={name} on {}% for {} s{cut}",
            selected_per_block as f64 / 10.0,
            limited.as_secs_f64()
        );
        let until = Instant::now() + limited;
        let drill = Drill {
            fault,
            share: Share::new(selected_per_block),
            until,
            name: name.into(),
        };
        if let Some(slot) = self.running.borrow_mut().get_mut(class) {
            *slot = Some(drill);
        }
        Ok(message)
    }

    fn stop(&self, request: &Stop) -> Result<String, Rejection> {
        let only = request
            .class
            .as_deref()
            .map(|name| self.class(name))
            .transpose()?;
        let mut names = Vec::new();
        for (class, slot) in self.running.borrow_mut().iter_mut().enumerate() {
            if only.is_none_or(|only| only == class)
                && let Some(drill) = slot.take().filter(|d| Instant::now() < d.until)
            {
                names.push(format!("drill={}", drill.name));
            }
        }
        Ok(if names.is_empty() {
            "no drill runs".into()
        } else {
            format!("{} stopped", names.join(" "))
        })
    }

    /// Serves the drills' port until the process ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let permits = Rc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let (stream, from) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(e) => {
                    note!("drills: accept: {e}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if permits.available_permits() == 0 {
                continue; // dropping the stream closes the connection
            }
            let (drills, permits) = (self.clone(), permits.clone());
            tokio::task::spawn_local(async move {
                let Ok(_permit) = permits.try_acquire() else {
                    return;
                };
                if timeout(CONNECTION_TIMEOUT, drills.connection(stream, from))
                    .await
                    .is_err()
                {
                    note!("drills: connection from {from} timed out");
                }
            });
        }
    }

    async fn connection(&self, stream: TcpStream, from: SocketAddr) {
        let service = service_fn(|request| async move {
            let (status, text) = match self.respond(request, from).await {
                Ok(text) => {
                    note!("{text}, asked by {from}");
                    (StatusCode::OK, text)
                }
                Err((status, text)) => {
                    note!(
                        "drills: request from {from} rejected: {}",
                        text.escape_debug()
                    );
                    (status, text)
                }
            };
            let mut response = Response::new(Full::new(Bytes::from(text + "\n")));
            *response.status_mut() = status;
            Ok::<_, Infallible>(response)
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service);
        let _ = connection.await; // hyper has answered malformed requests
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> Result<String, Rejection> {
        let (head, body) = request.into_parts();
        if !self.is_authorized(&head.headers) {
            note!("drills: a wrong secret from {from}");
            return Err((StatusCode::FORBIDDEN, "the secret is wrong".into()));
        }
        if head.uri.path() != "/drill" {
            return Err((StatusCode::NOT_FOUND, "there is only /drill".into()));
        }
        let body = Limited::new(body, MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|_| bad("the body can't be read"))?;
        let body = body.to_bytes();
        match head.method {
            Method::POST => {
                self.start(&serde_json::from_slice(&body).map_err(|e| bad(e.to_string()))?)
            }
            Method::DELETE => {
                self.stop(&serde_json::from_slice(&body).map_err(|e| bad(e.to_string()))?)
            }
            _ => Err((
                StatusCode::METHOD_NOT_ALLOWED,
                "POST starts a drill, DELETE stops it".into(),
            )),
        }
    }

    /// Checks the secret in constant time; the duration reveals only its length.
    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let given = headers
            .get(AUTHORIZATION)
            .and_then(|v| v.as_bytes().strip_prefix(b"Bearer "));
        given.is_some_and(|given| given.ct_eq(self.secret.bytes()).into())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn drills(max_seconds: u64) -> Rc<Drills> {
        let secret = Secret::new("opensesame").expect("a secret");
        Drills::new(
            secret,
            Duration::from_secs(max_seconds),
            vec!["lookup".into(), "checkout".into()],
            7,
        )
    }

    fn start_request(delay: Option<&str>, abort: bool, share: &str, duration: &str) -> Start {
        let (share, duration, delay) = (share.into(), duration.into(), delay.map(str::to_owned));
        Start {
            class: "lookup".into(),
            share,
            duration,
            delay,
            abort,
        }
    }

    #[test]
    fn shares_are_exact_over_a_thousand_requests_and_randomly_spread() {
        for (share, expected) in [("10%", 100), ("0.1%", 1), ("33.3%", 333), ("100%", 1000)] {
            let drills = drills(300);
            drills
                .start(&start_request(Some("400ms"), false, share, "120s"))
                .expect(share);
            let selected: Vec<bool> = (0..1000).map(|_| drills.draw(0).is_some()).collect();
            assert_eq!(
                selected.iter().filter(|selected| **selected).count(),
                expected,
                "{share}"
            );
            assert!(drills.draw(1).is_none(), "the other class is unaffected");
            if expected == 100 {
                let indices: Vec<usize> = (0..1000).filter(|n| selected[*n]).collect();
                assert!(
                    indices.windows(3).any(|w| w[1] - w[0] != w[2] - w[1]),
                    "the intervals vary"
                );
            }
        }
    }

    #[test]
    fn a_drill_has_a_name_and_its_duration_is_limited() {
        let drills = drills(300);
        let message = drills
            .start(&start_request(Some("400ms"), false, "10%", "120s"))
            .expect("good");
        assert_eq!(message, "drill=lookup-delay-400ms on 10% for 120 s");
        let message = drills
            .start(&start_request(None, true, "50%", "1h"))
            .expect("good");
        assert_eq!(
            message,
            "drill=lookup-abort on 50% for 300 s, cut to the limit"
        );
        let stop = |class: Option<&str>| {
            drills.stop(&Stop {
                class: class.map(str::to_owned),
            })
        };
        assert_eq!(stop(Some("checkout")), Ok("no drill runs".into()));
        assert_eq!(stop(None), Ok("drill=lookup-abort stopped".into()));
        assert!(drills.draw(0).is_none());
        assert!(stop(Some("renewal")).is_err());
    }

    #[test]
    fn invalid_values_are_rejected_with_the_reason() {
        let drills = drills(300);
        for (request, reason) in [
            (
                start_request(None, false, "10%", "1s"),
                "one of a delay and an abort",
            ),
            (
                start_request(Some("1s"), true, "10%", "1s"),
                "one of a delay and an abort",
            ),
            (
                start_request(Some("soon"), false, "10%", "1s"),
                "'delay' is no span",
            ),
            (
                start_request(Some("61s"), false, "10%", "1s"),
                "'delay' is not from",
            ),
            (
                start_request(Some("10us"), false, "10%", "1s"),
                "'delay' is not from",
            ),
            (start_request(None, true, "10", "1s"), "'share'"),
            (start_request(None, true, "0%", "1s"), "'share'"),
            (start_request(None, true, "101%", "1s"), "'share'"),
            (start_request(None, true, "NaN%", "1s"), "'share'"),
            (start_request(None, true, "10%", "0s"), "'for' is no span"),
            (
                Start {
                    class: "odd".into(),
                    ..start_request(None, true, "10%", "1s")
                },
                "no class 'odd'",
            ),
        ] {
            let (status, text) = drills.start(&request).expect_err(reason);
            assert!(
                status == StatusCode::BAD_REQUEST && text.contains(reason),
                "{reason}: {text}"
            );
        }
    }

    #[test]
    fn only_the_complete_secret_is_accepted() {
        let drills = drills(300);
        let is_authorized = |value: &str| {
            let mut headers = HeaderMap::new();
            headers.insert(AUTHORIZATION, value.parse().expect("a value"));
            drills.is_authorized(&headers)
        };
        assert!(is_authorized("Bearer opensesame"));
        for wrong in [
            "Bearer opensesam",
            "Bearer opensesame1",
            "Bearer ",
            "opensesame",
            "Basic opensesame",
        ] {
            assert!(!is_authorized(wrong), "{wrong}");
        }
        assert!(!drills.is_authorized(&HeaderMap::new()));
    }
}
