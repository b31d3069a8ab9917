//! Operations listener: an HTTP listener for operators, separate from that of the clients, with one request per
//! connection.
//!
//! It answers even if the proxy is overloaded. Idle connections neither block others nor accumulate.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
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

use crate::body_buffer::BufferedBody;
use crate::inbox::{Inbox, Input};
use crate::lifecycle::{Phase, SharedLifecycle};
use crate::message::text_response;
use crate::note;
use crate::vars::{Counters, Gauges};

/// Maximum concurrent connections; a further one closes the oldest.
pub const MAX_CONNECTIONS: usize = 16;
/// Timeout of each stage of a request; a caller gives up after 1 s.
const STAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum bytes of a request head.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum bytes of a request body, which is ignored.
const MAX_BODY_BYTES: usize = 4 << 10;
/// Delay after a failed accept, which prevents a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Operations listener, with the parts of the proxy that it reports on and controls.
pub struct OperationsListener {
    pub lifecycle: Rc<SharedLifecycle>,
    pub counts: Rc<Counters>,
    pub inbox: Inbox,
}

impl OperationsListener {
    /// Accepts connections until the process ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) -> Infallible {
        let connections: RefCell<VecDeque<JoinHandle<()>>> = RefCell::default();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let mut connections = connections.borrow_mut();
                    connections.retain(|connection| !connection.is_finished());
                    if connections.len() >= MAX_CONNECTIONS
                        && let Some(oldest) = connections.pop_front()
                    {
                        oldest.abort();
                    }
                    connections.push_back(spawn_local(self.clone().serve_connection(stream)));
                }
                Err(e) => {
                    note!("operations listener: accept: {e}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true); // without the option answers are only slower
        let service = service_fn(|request| {
            let listener = self.clone();
            async move { Ok::<_, Infallible>(listener.respond(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(STAGE_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service);
        // hyper has answered malformed requests; a disconnected caller needs no answer.
        let _ = timeout(2 * STAGE_TIMEOUT, connection).await;
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<BufferedBody> {
        let (head, body) = request.into_parts();
        let allowed_method = match head.uri.path() {
            "/_ready" | "/_vars" => Method::GET,
            "/_lameduck/on" | "/_lameduck/off" => Method::PUT,
            _ => return text_response(StatusCode::NOT_FOUND, "no such call\n"),
        };
        if head.method != allowed_method {
            let mut response = text_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "not the method of this call\n",
            );
            let allow = HeaderValue::from_static(if allowed_method == Method::GET {
                "GET"
            } else {
                "PUT"
            });
            response.headers_mut().insert(header::ALLOW, allow);
            return response;
        }
        match timeout(STAGE_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
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

    fn ready(&self) -> Response<BufferedBody> {
        let (code, text) = match self.lifecycle.read(|lifecycle, _| lifecycle.phase()) {
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

    fn lame_duck(&self, on: bool) -> Response<BufferedBody> {
        if !self
            .lifecycle
            .update(|lifecycle, now| lifecycle.set_lame_duck(now, on))
        {
            return text_response(
                StatusCode::CONFLICT,
                "the process leaves: it takes no clients any more\n",
            );
        }
        note!("lame duck {}", if on { "on" } else { "off" });
        text_response(StatusCode::OK, if on { "on\n" } else { "off\n" })
    }

    async fn vars(&self) -> Response<BufferedBody> {
        let (sender, receiver) = oneshot::channel::<Gauges>();
        self.inbox.send(Input::ActiveCounts(sender));
        let Ok(gauges) = receiver.await else {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "the driver has ended\n");
        };
        let mut response = Response::new(Bytes::from(self.counts.prometheus_text(gauges)).into());
        let content_type = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        response
    }
}
