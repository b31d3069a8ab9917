//! Receives the bodies of requests: buffered while there is memory, streamed beyond, or read and dropped.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::{Response, StatusCode};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout, timeout_at};

use crate::body_buffer::BodyBuffer;
use crate::body_memory::BodyMemory;
use crate::client_presence::ClientPresence;
use crate::message::text_response;
use crate::stream::{RequestContent, ResponseBody};
use crate::upload::{self, CLIENT_STALL_TIMEOUT, MAX_BODY_BYTES, MAX_MEMORY_WAIT, Upload};

/// The time limit for reading the rest of an unneeded request body, in addition to its transfer time.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// The largest body that is read completely before it is forwarded.
const MAX_SPOOLED_BYTES: usize = 2 << 20;

/// The reason why a request's body was not read.
pub enum BodyError {
    TooLarge,
    Malformed,
    /// It was not complete in time.
    TooLate,
    /// There was no memory for it in time.
    NoMemory(Incoming),
}

impl BodyError {
    /// Returns the answer for the client.
    pub fn into_response(self) -> Response<ResponseBody> {
        let (status, text) = match self {
            BodyError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            BodyError::Malformed => (StatusCode::BAD_REQUEST, "the body is malformed"),
            BodyError::TooLate => (StatusCode::REQUEST_TIMEOUT, "the body came too late"),
            BodyError::NoMemory(_) => (StatusCode::SERVICE_UNAVAILABLE, "try again"),
        };
        text_response(status, text).map(ResponseBody::from)
    }
}

/// Reads a body as far as it is buffered; the rest is streamed. It must be complete by the deadline plus the transfer
/// time of its size. The wait for memory is taken off the client's timeout, as the client may have sent its last byte
/// before.
pub async fn read_body(
    mut body: Incoming,
    timeout: &mut Duration,
    receive_deadline: Instant,
    body_memory: &BodyMemory,
    client: &ClientPresence,
) -> Result<RequestContent, BodyError> {
    let length = body.size_hint().exact();
    if body.is_end_stream() {
        return Ok(RequestContent::empty());
    }
    if length.is_some_and(|n| n > MAX_BODY_BYTES) {
        return Err(BodyError::TooLarge);
    }
    let mut buffer = BodyBuffer::new(length);
    let mut waited_since = None;
    loop {
        // A slow body would occupy an endpoint's slot while it is received, so it is buffered as long as there is memory.
        let is_spooled = buffer.received_bytes() < MAX_SPOOLED_BYTES;
        if !is_spooled || !buffer.try_reserve_next(body_memory) {
            if !buffer.may_be_short() {
                let upload = Upload::new(
                    buffer,
                    length,
                    body,
                    *timeout,
                    client.clone(),
                    body_memory.place(),
                    waited_since.unwrap_or_else(Instant::now),
                );
                return Ok(RequestContent::Streamed(upload));
            }
            waited_since = Some(Instant::now());
            if !wait_for_memory(&mut buffer, timeout, body_memory).await {
                return Err(BodyError::NoMemory(body));
            }
        }
        let deadline = receive_deadline + upload::transfer_time(buffer.received_bytes());
        match timeout_at(deadline, body.frame()).await {
            // Trailers are dropped.
            Ok(Some(Ok(frame))) => frame.into_data().into_iter().for_each(|d| buffer.add(&d)),
            Ok(None) => return Ok(RequestContent::Buffered(buffer.into_body())),
            Ok(Some(Err(_))) => return Err(BodyError::Malformed),
            Err(_) => return Err(BodyError::TooLate),
        }
    }
}

/// Waits for the memory of a short body for a part of the client's timeout; returns false if there was none.
async fn wait_for_memory(
    buffer: &mut BodyBuffer,
    client_timeout: &mut Duration,
    body_memory: &BodyMemory,
) -> bool {
    let begun = Instant::now();
    let max_wait = client_timeout.mul_f64(MAX_MEMORY_WAIT);
    let reserved = timeout(max_wait, buffer.reserve_rest(body_memory)).await;
    *client_timeout = client_timeout.saturating_sub(begun.elapsed());
    reserved.is_ok()
}

/// Reads the rest of the body of an answered request.
pub fn drain_upload(upload: Rc<Upload>) {
    upload.take_rest().into_iter().for_each(drain_body);
}

/// Reads a body that is not needed, as long as the client sends it. If the connection were closed before, the client
/// could miss the answer, or its next request could be lost.
pub fn drain_body(mut body: Incoming) {
    let begun = Instant::now();
    spawn_local(async move {
        let mut received = 0;
        while received <= MAX_BODY_BYTES as usize {
            let end = begun + DRAIN_TIMEOUT + upload::transfer_time(received);
            let deadline = end.min(Instant::now() + CLIENT_STALL_TIMEOUT);
            let Ok(Some(Ok(frame))) = timeout_at(deadline, body.frame()).await else {
                return;
            };
            received += frame.data_ref().map_or(0, Bytes::len);
        }
    });
}
