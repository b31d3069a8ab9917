//! The operators' door: a small listener of its own, one call to a connection.
//!
//! It answers however busy the proxy is, and callers that say nothing neither hold up the next one nor pile up.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::inbox::{Inbox, Input};
use crate::lifecycle::{Phase, SharedLifecycle};
use crate::message::text_response;
use crate::note;
use crate::vars::{Counters, Gauges};

/// Callers that are served at once; one more, and the one that has been there longest is let go.
pub const MAX_CONNECTIONS: usize = 16;
/// A call has to be whole and answered within this span: who has waited 1 s has left.
const CALL: Duration = Duration::from_secs(2);
/// Bytes of a call's head.
const HEAD: usize = 8 << 10;
/// And of its body, which says nothing.
const BODY: usize = 4 << 10;
/// Wait after a failed accept, lest it spin.
const PAUSE: Duration = Duration::from_millis(10);

/// What the door needs of the other parts.
pub struct OperationsListener {
    pub life: Rc<SharedLifecycle>,
    pub counts: Rc<Counters>,
    pub inbox: Inbox,
}

impl OperationsListener {
    /// Serves for as long as the process runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) -> Infallible {
        let callers: RefCell<VecDeque<JoinHandle<()>>> = RefCell::default();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let mut callers = callers.borrow_mut();
                    callers.retain(|c| !c.is_finished());
                    if callers.len() >= MAX_CONNECTIONS
                        && let Some(oldest) = callers.pop_front()
                    {
                        oldest.abort();
                    }
                    callers.push_back(spawn_local(self.clone().caller(stream)));
                }
                Err(e) => {
                    note!("the operators' door: {e}");
                    sleep(PAUSE).await;
                }
            }
        }
    }

    async fn caller(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true); // slower without, no worse
        let service = service_fn(|request| {
            let door = self.clone();
            async move { Ok::<_, Infallible>(door.call(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(CALL)
            .max_buf_size(HEAD)
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service);
        // Malformed calls have been answered by hyper; a caller that left needs nothing.
        let _ = timeout(2 * CALL, connection).await;
    }

    async fn call(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let wanted = match head.uri.path() {
            "/_ready" | "/_vars" => Method::GET,
            "/_lameduck/on" | "/_lameduck/off" => Method::PUT,
            _ => return text_response(StatusCode::NOT_FOUND, "no such call\n"),
        };
        if head.method != wanted {
            let mut response = text_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "not the method of this call\n",
            );
            let allow = HeaderValue::from_static(if wanted == Method::GET { "GET" } else { "PUT" });
            response.headers_mut().insert(header::ALLOW, allow);
            return response;
        }
        match timeout(CALL, Limited::new(body, BODY).collect()).await {
            Ok(Ok(_)) => {}
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                return text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");
            }
            Ok(Err(_)) => return text_response(StatusCode::BAD_REQUEST, "the body is malformed\n"),
            Err(_) => {
                return text_response(StatusCode::REQUEST_TIMEOUT, "the body came too late\n");
            }
        }
        match head.uri.path() {
            "/_ready" => self.ready(),
            "/_vars" => self.vars().await,
            path => self.lame_duck(path.ends_with("/on")),
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        let (code, text) = match self.life.read(|life, _| life.phase()) {
            Phase::Serving => (StatusCode::OK, "serving\n"),
            Phase::Starting => (
                StatusCode::SERVICE_UNAVAILABLE,
                "starting: no list of servers yet\n",
            ),
            Phase::LameDuck => (
                StatusCode::SERVICE_UNAVAILABLE,
                "lame duck: clients are sent away\n",
            ),
            Phase::ShuttingDown => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
        };
        text_response(code, text)
    }

    fn lame_duck(&self, on: bool) -> Response<Full<Bytes>> {
        if !self.life.update(|life, now| life.set_lame_duck(now, on)) {
            return text_response(
                StatusCode::CONFLICT,
                "the process leaves: it takes no clients any more\n",
            );
        }
        note!("lame duck {}", if on { "on" } else { "off" });
        text_response(StatusCode::OK, if on { "on\n" } else { "off\n" })
    }

    async fn vars(&self) -> Response<Full<Bytes>> {
        let (tell, told) = oneshot::channel::<Gauges>();
        self.inbox.send(Input::ActiveCounts(tell));
        let Ok(held) = told.await else {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "the driver has ended\n");
        };
        let mut response = Response::new(Full::new(self.counts.prometheus_text(held).into()));
        let kind = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }
}
