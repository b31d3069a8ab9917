//! One exchange on a connection to an endpoint: sends a request, receives the response, and forwards a long one as it
//! arrives.

use std::future::pending;
use std::pin::{Pin, pin};
use std::time::Duration;

use balancer::Outcome;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode, Version};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use crate::body_buffer::{BodyBuffer, BufferedBody};
use crate::body_memory::{BodyMemory, MAX_BUFFERED_BYTES};
use crate::message::{EndpointResponse, ResponseContent, strip_hop_by_hop};
use crate::request_fields::fitted;
use crate::response_arrival::ResponseArrival;
use crate::stream::{RequestBody, ResponsePiece};
use crate::upload::MAX_BODY_BYTES;
use crate::write_window;

/// The time without data after which a response that has begun is aborted.
const RESPONSE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The result of an exchange.
pub enum ExchangeResult {
    /// The flag is true if the connection may be reused.
    Complete(Outcome, Option<EndpointResponse>, bool),
    Large(LargeResponse),
}

/// A successful response that is not buffered whole.
pub struct LargeResponse {
    pub headers: HeaderMap,
    pub length: Option<u64>,
    /// The part that has been received.
    pub first_part: BufferedBody,
    pub remaining_body: Incoming,
}

/// How the end of a response's body is found.
struct Framing {
    /// The announced length.
    length: Option<u64>,
    /// The end is within the connection, so that this may be reused.
    has_explicit_length: bool,
    /// A truncated body can be detected.
    is_delimited: bool,
}

impl Framing {
    /// The end of the connection delimits a body if the head announces the close; an endpoint that crashes resets the
    /// connection. Without the announcement a truncated body could not be detected.
    fn of(head: &Parts, body: &Incoming) -> Self {
        let length = body.size_hint().exact();
        let has_close = |value: &HeaderValue| {
            value.to_str().is_ok_and(|v| {
                v.split(',')
                    .any(|part| part.trim().eq_ignore_ascii_case("close"))
            })
        };
        let connection = head.headers.get_all(header::CONNECTION);
        let closes = head.version == Version::HTTP_10 || connection.iter().any(has_close);
        let has_explicit_length =
            length.is_some() || head.headers.contains_key(header::TRANSFER_ENCODING);
        Framing {
            length,
            has_explicit_length,
            is_delimited: has_explicit_length || closes,
        }
    }
}

/// Sends a request and reads the complete response, or as much of it as is buffered. A response whose length is not
/// announced is held back until `release` or for some time, and its progress is recorded in `arrival`.
pub async fn exchange(
    sender: &mut SendRequest<RequestBody>,
    request: Request<RequestBody>,
    body_memory: &BodyMemory,
    arrival: &ResponseArrival,
    release: impl Future<Output = ()>,
) -> Result<ExchangeResult, String> {
    let response = sender
        .send_request(request)
        .await
        .map_err(|e| e.to_string())?;
    let (head, mut body) = response.into_parts();
    let framing = Framing::of(&head, &body);
    let length = framing.length;
    // Only a successful response is forwarded; the body of any other is read so that the connection can be reused.
    let is_forwarded = head.status == StatusCode::OK && framing.is_delimited;
    let is_long = length.is_some_and(|n| n > MAX_BUFFERED_BYTES as u64);
    let mut buffer = is_forwarded.then(|| BodyBuffer::new(length));
    let mut size = 0;
    let is_held = is_forwarded && length.is_none();
    if is_held {
        arrival.begin(Instant::now());
    }
    let mut release = pin!(release);
    let large = loop {
        // Without memory a response is forwarded as it arrives.
        let has_memory = |buffer: &mut BodyBuffer| buffer.try_reserve_next(body_memory);
        if is_long || size > MAX_BUFFERED_BYTES || !buffer.as_mut().is_none_or(has_memory) {
            break true;
        }
        let next = if is_held {
            // Boxed, so that responses with a length take no memory for it.
            Box::pin(next_held_frame(&mut body, arrival, release.as_mut())).await
        } else {
            Some(body.frame().await)
        };
        let Some(next) = next else {
            break true;
        };
        let Some(frame) = next else {
            break false;
        };
        if let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() {
            size += data.len();
            if is_held {
                arrival.record(data.len(), Instant::now());
            }
            if let Some(buffer) = &mut buffer {
                buffer.add(&data);
            }
        }
    };
    let received = buffer.map_or_else(BufferedBody::default, BodyBuffer::into_body);
    let not_processed = head
        .headers
        .get("x-not-processed")
        .is_some_and(|v| v.as_bytes().trim_ascii() == b"1");
    let mut headers = head.headers;
    Ok(match head.status {
        StatusCode::OK if !framing.is_delimited => {
            return Err("the response has neither a length nor an announced close".into());
        }
        StatusCode::OK => {
            strip_hop_by_hop(&mut headers);
            let headers = fitted(headers);
            if large {
                return Ok(ExchangeResult::Large(LargeResponse {
                    headers,
                    length,
                    first_part: received,
                    remaining_body: body,
                }));
            }
            ExchangeResult::Complete(
                Outcome::Served,
                Some(EndpointResponse {
                    headers,
                    body: ResponseContent::Buffered(received),
                }),
                framing.has_explicit_length,
            )
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => {
            ExchangeResult::Complete(Outcome::Overloaded, None, !large)
        }
        status => ExchangeResult::Complete(
            Outcome::Error,
            None,
            !large && status != StatusCode::SWITCHING_PROTOCOLS,
        ),
    })
}

/// Returns the next frame of a response that is held back, or `None` once it has to be passed on.
async fn next_held_frame(
    body: &mut Incoming,
    arrival: &ResponseArrival,
    mut release: Pin<&mut impl Future<Output = ()>>,
) -> Option<Option<Result<Frame<Bytes>, hyper::Error>>> {
    loop {
        let next_check = arrival.next_check();
        let check = async {
            match next_check {
                Some(at) => sleep_until(at).await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            frame = body.frame() => return Some(frame),
            () = release.as_mut() => return None,
            () = check => {
                let now = Instant::now();
                arrival.record_pause(now);
                if arrival.is_hold_over(now) {
                    return None;
                }
            }
        }
    }
}

/// Forwards a large response as it arrives, no faster than the client reads. It takes its memory without waiting for it:
/// a response that has begun can't be rejected any more. The connections to endpoints limit the number of responses.
pub async fn stream_response(
    mut first_part: BufferedBody,
    mut remaining_body: Incoming,
    length: Option<u64>,
    pieces: mpsc::Sender<ResponsePiece>,
) -> Outcome {
    let mut passed = 0;
    let is_whole = |passed| length == Some(passed);
    loop {
        // The next piece is read once there is room for it.
        let Ok(room) = pieces.reserve().await else {
            return if is_whole(passed) {
                Outcome::Served
            } else {
                Outcome::Cancelled // the client has disconnected
            };
        };
        let data = match first_part.next_block() {
            Some(data) => data,
            None => tokio::select! {
                frame = timeout(RESPONSE_IDLE_TIMEOUT, remaining_body.frame()) => match frame {
                    Ok(Some(Ok(frame))) => match frame.into_data() {
                        Ok(data) => write_window::compact(data),
                        Err(_) => continue, // trailers are dropped
                    },
                    Ok(None) => {
                        room.send(ResponsePiece::End);
                        return Outcome::Served;
                    }
                    Ok(Some(Err(_))) | Err(_) => return Outcome::Reset,
                },
                () = pieces.closed(), if !is_whole(passed) => return Outcome::Cancelled,
            },
        };
        passed += data.len() as u64;
        if passed > MAX_BODY_BYTES {
            return Outcome::Reset; // over the size limit
        }
        room.send(ResponsePiece::Data(data));
    }
}
