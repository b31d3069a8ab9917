//! Drills: for a while a share of one class's answers is delayed or becomes an error. They act on an answer
//! that the module has already given, with chance of their own; the module never learns of them.

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

/// Connections to the side port at once; more are closed unanswered.
const CONNECTIONS: usize = 4;
/// How long one may take, from its start to the end of its one answer, and its head.
const WHOLE: Duration = Duration::from_secs(5);
const HEAD: Duration = Duration::from_secs(2);
const HEAD_SIZE: usize = 16 << 10;
const BODY: usize = 4 << 10;
const PAUSE: Duration = Duration::from_millis(10); // after a failed accept, lest it spin
/// The longest delay; a held answer holds its connection.
const DELAY_MOST: Duration = Duration::from_secs(60);
/// Requests over which a share comes out exactly, to the nearest one.
const BLOCK: u32 = 1000;

/// What befalls an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Delay(Duration),
    Abort,
}

/// A share of requests, drawn at random in blocks of which each has its exact part.
struct Share {
    part: u32,
    need: u32,
    left: u32,
}

impl Share {
    fn new(part: u32) -> Self {
        Share {
            part,
            need: 0,
            left: 0,
        }
    }

    /// Whether the next request is of the share.
    fn draw(&mut self, chance: &mut fastrand::Rng) -> bool {
        if self.left == 0 {
            (self.need, self.left) = (self.part, BLOCK);
        }
        let hit = chance.u32(0..self.left) < self.need;
        self.left -= 1;
        self.need -= u32::from(hit);
        hit
    }
}

struct Drill {
    deed: Fault,
    share: Share,
    until: Instant,
    name: Rc<str>,
}

/// What a request of a drill's share meets.
pub struct SelectedFault {
    deed: Fault,
    /// The drill's name.
    pub name: Rc<str>,
}

/// The drills that run, one a class at most.
pub struct Drills {
    secret: Secret,
    most: Duration,
    classes: Vec<String>,
    running: RefCell<Vec<Option<Drill>>>,
    chance: RefCell<fastrand::Rng>,
    ended: Cell<bool>,
    end: Notify,
}

/// What a drill's start asks for.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Start {
    class: String,
    share: String,
    #[serde(rename = "for")]
    span: String,
    delay: Option<String>,
    #[serde(default)]
    abort: bool,
}

/// What a stop asks for; without a class all drills stop.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Stop {
    class: Option<String>,
}

/// Tells why something is not done.
type Refusal = (StatusCode, String);

fn bad(text: impl Into<String>) -> Refusal {
    (StatusCode::BAD_REQUEST, text.into())
}

impl Drills {
    /// No drill runs yet. `seed` gives the draws.
    pub fn new(secret: Secret, most: Duration, classes: Vec<String>, seed: u64) -> Rc<Self> {
        Rc::new(Drills {
            secret,
            most,
            running: RefCell::new(classes.iter().map(|_| None).collect()),
            classes,
            chance: RefCell::new(fastrand::Rng::with_seed(seed)),
            ended: Cell::new(false),
            end: Notify::new(),
        })
    }

    /// Whether a drill of this class acts on a request that has its answer. `id` is what the request is called.
    pub fn select(&self, class: usize, id: Option<&HeaderValue>) -> Option<SelectedFault> {
        let hit = self.draw(class)?;
        let id = id.and_then(|id| id.to_str().ok());
        log::each(format_args!("drill={} id={}", hit.name, Field(id)));
        Some(hit)
    }

    /// Whether a request of this class is of a drill's share.
    fn draw(&self, class: usize) -> Option<SelectedFault> {
        let mut running = self.running.borrow_mut();
        let slot = running.get_mut(class)?;
        let drill = slot.as_mut()?;
        if Instant::now() >= drill.until {
            note!("drill={} has ended", drill.name);
            *slot = None;
            return None;
        }
        let hit = drill.share.draw(&mut self.chance.borrow_mut());
        hit.then(|| SelectedFault {
            deed: drill.deed,
            name: drill.name.clone(),
        })
    }

    /// Lets a drill act on an answer.
    pub async fn apply(
        &self,
        hit: &SelectedFault,
        answer: Response<ResponseBody>,
    ) -> Response<ResponseBody> {
        let Fault::Delay(delay) = hit.deed else {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "a drill")
                .map(ResponseBody::from);
        };
        let end = self.end.notified();
        if !self.ended.get() {
            tokio::select! {
                () = sleep(delay) => {}
                () = end => {}
            }
        }
        answer
    }

    /// Ends all drills for good, and lets go of the answers that they hold back.
    pub fn end(&self) {
        self.ended.set(true);
        self.running
            .borrow_mut()
            .iter_mut()
            .for_each(|drill| *drill = None);
        self.end.notify_waiters();
    }

    fn class(&self, name: &str) -> Result<usize, Refusal> {
        let class = self.classes.iter().position(|c| c == name);
        class.ok_or_else(|| bad(format!("there is no class '{}'", name.escape_default())))
    }

    fn start(&self, asked: &Start) -> Result<String, Refusal> {
        let class = self.class(&asked.class)?;
        let span = |what: &str, text: &str| {
            let span = humantime::parse_duration(text)
                .ok()
                .filter(|s| !s.is_zero());
            span.ok_or_else(|| bad(format!("'{what}' is no span such as 400ms or 120s")))
        };
        let deed = match (&asked.delay, asked.abort) {
            (Some(delay), false) => Fault::Delay(span("delay", delay)?),
            (None, true) => Fault::Abort,
            _ => return Err(bad("one of a delay and an abort is wanted")),
        };
        if matches!(deed, Fault::Delay(delay) if delay < Duration::from_millis(1) || delay > DELAY_MOST)
        {
            return Err(bad(format!(
                "'delay' is not from 1ms to {}s",
                DELAY_MOST.as_secs()
            )));
        }
        let share = asked
            .share
            .strip_suffix('%')
            .and_then(|s| s.trim().parse::<f64>().ok());
        let part = share
            .map(|s| s / 100.0 * f64::from(BLOCK))
            .filter(|s| *s >= 0.5 && *s <= f64::from(BLOCK));
        let part = part
            .ok_or_else(|| bad("'share' is not from 0.1% to 100%"))?
            .round() as u32;
        let asked_for = span("for", &asked.span)?;
        let lasts = asked_for.min(self.most);
        if self.ended.get() {
            return Err((
                StatusCode::SERVICE_UNAVAILABLE,
                "the proxy is about to stop".into(),
            ));
        }
        let name = match deed {
            Fault::Delay(delay) => format!("{}-delay-{}ms", asked.class, delay.as_millis()),
            Fault::Abort => format!("{}-abort", asked.class),
        };
        let cut = if lasts < asked_for {
            ", cut to the limit"
        } else {
            ""
        };
        let told = format!(
            "drill={name} on {}% for {} s{cut}",
            part as f64 / 10.0,
            lasts.as_secs_f64()
        );
        let until = Instant::now() + lasts;
        let drill = Drill {
            deed,
            share: Share::new(part),
            until,
            name: name.into(),
        };
        if let Some(slot) = self.running.borrow_mut().get_mut(class) {
            *slot = Some(drill);
        }
        Ok(told)
    }

    fn stop(&self, asked: &Stop) -> Result<String, Refusal> {
        let only = asked
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

    /// Serves the side port for as long as the process runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let places = Rc::new(Semaphore::new(CONNECTIONS));
        loop {
            let (stream, from) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(e) => {
                    note!("drills: accept: {e}");
                    sleep(PAUSE).await;
                    continue;
                }
            };
            if places.available_permits() == 0 {
                continue; // it closes
            }
            let (drills, places) = (self.clone(), places.clone());
            tokio::task::spawn_local(async move {
                let Ok(_place) = places.try_acquire() else {
                    return;
                };
                if timeout(WHOLE, drills.connection(stream, from))
                    .await
                    .is_err()
                {
                    note!("drills: {from} took too long");
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
                    note!("drills: {from} is refused: {}", text.escape_debug());
                    (status, text)
                }
            };
            let mut response = Response::new(Full::new(Bytes::from(text + "\n")));
            *response.status_mut() = status;
            Ok::<_, Infallible>(response)
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD)
            .max_buf_size(HEAD_SIZE)
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service);
        let _ = connection.await; // malformed HTTP has been answered by hyper
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> Result<String, Refusal> {
        let (head, body) = request.into_parts();
        if !self.knows(&head.headers) {
            note!("drills: a wrong secret from {from}");
            return Err((StatusCode::FORBIDDEN, "the secret is wrong".into()));
        }
        if head.uri.path() != "/drill" {
            return Err((StatusCode::NOT_FOUND, "there is only /drill".into()));
        }
        let body = Limited::new(body, BODY)
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

    /// Whether the sender knows the secret; how long this takes tells nothing but its length.
    fn knows(&self, headers: &HeaderMap) -> bool {
        let given = headers
            .get(AUTHORIZATION)
            .and_then(|v| v.as_bytes().strip_prefix(b"Bearer "));
        given.is_some_and(|given| given.ct_eq(self.secret.bytes()).into())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn drills(most: u64) -> Rc<Drills> {
        let secret = Secret::new("opensesame").expect("a secret");
        Drills::new(
            secret,
            Duration::from_secs(most),
            vec!["lookup".into(), "checkout".into()],
            7,
        )
    }

    fn ask(delay: Option<&str>, abort: bool, share: &str, span: &str) -> Start {
        let (share, span, delay) = (share.into(), span.into(), delay.map(str::to_owned));
        Start {
            class: "lookup".into(),
            share,
            span,
            delay,
            abort,
        }
    }

    #[test]
    fn shares_come_out_exactly_over_a_thousand_requests_and_at_random_places() {
        for (share, wanted) in [("10%", 100), ("0.1%", 1), ("33.3%", 333), ("100%", 1000)] {
            let drills = drills(300);
            drills
                .start(&ask(Some("400ms"), false, share, "120s"))
                .expect(share);
            let hits: Vec<bool> = (0..1000).map(|_| drills.draw(0).is_some()).collect();
            assert_eq!(hits.iter().filter(|hit| **hit).count(), wanted, "{share}");
            assert!(drills.draw(1).is_none(), "the other class is left alone");
            if wanted == 100 {
                let places: Vec<usize> = (0..1000).filter(|n| hits[*n]).collect();
                assert!(
                    places.windows(3).any(|w| w[1] - w[0] != w[2] - w[1]),
                    "no fixed beat"
                );
            }
        }
    }

    #[test]
    fn a_drill_is_named_and_cut_to_the_limit() {
        let drills = drills(300);
        let told = drills
            .start(&ask(Some("400ms"), false, "10%", "120s"))
            .expect("good");
        assert_eq!(told, "drill=lookup-delay-400ms on 10% for 120 s");
        let told = drills.start(&ask(None, true, "50%", "1h")).expect("good");
        assert_eq!(
            told,
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
    fn bad_values_are_refused_with_the_reason() {
        let drills = drills(300);
        for (asked, word) in [
            (ask(None, false, "10%", "1s"), "one of a delay and an abort"),
            (
                ask(Some("1s"), true, "10%", "1s"),
                "one of a delay and an abort",
            ),
            (ask(Some("soon"), false, "10%", "1s"), "'delay' is no span"),
            (ask(Some("61s"), false, "10%", "1s"), "'delay' is not from"),
            (ask(Some("10us"), false, "10%", "1s"), "'delay' is not from"),
            (ask(None, true, "10", "1s"), "'share'"),
            (ask(None, true, "0%", "1s"), "'share'"),
            (ask(None, true, "101%", "1s"), "'share'"),
            (ask(None, true, "NaN%", "1s"), "'share'"),
            (ask(None, true, "10%", "0s"), "'for' is no span"),
            (
                Start {
                    class: "odd".into(),
                    ..ask(None, true, "10%", "1s")
                },
                "no class 'odd'",
            ),
        ] {
            let (status, text) = drills.start(&asked).expect_err(word);
            assert!(
                status == StatusCode::BAD_REQUEST && text.contains(word),
                "{word}: {text}"
            );
        }
    }

    #[test]
    fn only_the_whole_secret_is_known() {
        let drills = drills(300);
        let knows = |value: &str| {
            let mut headers = HeaderMap::new();
            headers.insert(AUTHORIZATION, value.parse().expect("a value"));
            drills.knows(&headers)
        };
        assert!(knows("Bearer opensesame"));
        for wrong in [
            "Bearer opensesam",
            "Bearer opensesame1",
            "Bearer ",
            "opensesame",
            "Basic opensesame",
        ] {
            assert!(!knows(wrong), "{wrong}");
        }
        assert!(!drills.knows(&HeaderMap::new()));
    }
}
