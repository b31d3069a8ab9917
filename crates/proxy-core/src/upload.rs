//! A request body that is sent while it is received. Its beginning is buffered and can be sent again.
//!
//! While no attempt sends it, the rest is received as far as there is memory: only the end of what a client has sent
//! shows that the client has left. Where memory did not suffice, the rest is received in turn (`memory_queue`), and an
//! attempt does not begin before. While an attempt sends it more slowly than the client, the last byte is looked for, as the
//! client's time counts from it (`body_arrival`).

#[path = "upload_receiving.rs"]
mod receiving;
#[path = "upload_sender.rs"]
mod sender;

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use balancer::Reception;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::body_arrival::BodyArrival;
use crate::body_buffer::{BodyBuffer, BufferedBody};
use crate::client_presence::{Absence, ClientPresence};
use crate::memory_queue::Place;

pub use sender::Sender;

/// The largest body of a request or a response.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// The time without data from the client after which a body is aborted.
pub const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The time for which an endpoint may take nothing of a body that has arrived.
const ENDPOINT_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The lowest mean rate at which a body must arrive since its first byte; sound peers send twice as fast.
pub const MIN_BYTES_PER_SECOND: f64 = 32e3;
/// The age at which it has to be confirmed anew that a client has not left: no attempt may begin over 0.1 s after.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(80);
/// The shortest interval of looks at what the system has received.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The time for which an endpoint takes nothing of a body if it hangs.
const MIN_ENDPOINT_PAUSE: Duration = Duration::from_millis(500);
/// The fraction of a client's timeout for which its request waits for memory for its body before another gives up its
/// own, or it is rejected.
pub const MAX_MEMORY_WAIT: f64 = 0.4;

/// Returns the longest time that this many bytes of a body may take to arrive.
pub fn transfer_time(received: usize) -> Duration {
    Duration::from_secs_f64(received as f64 / MIN_BYTES_PER_SECOND)
}

/// Creates the error of a body that can't be passed on.
pub fn invalid_data(message: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

/// A change in how a body is received until its request has an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveChange {
    /// The body is received in another way, and its client gives up at another time.
    Reception(Reception, Instant),
    /// The body has to give up its memory to an older one.
    Evicted,
    /// The client has stopped in the middle of the body.
    Stalled,
    /// The client gives up at this time, as its last byte has arrived or may have. An attempt is sending the body.
    Deadline(Instant),
}

/// A request body that is received while it is sent.
pub struct Upload {
    /// The buffered beginning, which each attempt sends first. It is released once it can't be sent again.
    prefix: RefCell<BufferedBody>,
    /// What follows the prefix and has been received since the latest attempt began.
    buffer: RefCell<BodyBuffer>,
    rest: RefCell<Option<Incoming>>,
    arrival: BodyArrival,
    /// The number of attempts that are sending the body.
    senders: Cell<usize>,
    /// An attempt began before the whole body was received.
    was_sent_incomplete: Cell<bool>,
    /// Notified when an attempt stops sending the body, or waits for it to be received.
    sender_changed: Notify,
    client: ClientPresence,
    /// The time at which the client was last known not to have left.
    confirmed_at: Cell<Instant>,
    /// The body's place among those that wait for memory.
    place: Place,
    /// How the body is received, as was last returned.
    reported: Cell<Reception>,
    /// The body is not received any more, as its request is about to be rejected unless an attempt has just begun.
    is_given_up: Cell<bool>,
    /// The time since which there is no memory for the body although it is the first one that waits.
    stalled_since: Cell<Option<Instant>>,
    /// Part of the rest has been sent, so the request can't be sent again.
    partly_sent: Cell<bool>,
    /// The client has disconnected or sent an invalid body.
    client_lost: Cell<bool>,
    /// The last byte has been passed on, so the request may be executed.
    complete: Cell<bool>,
    /// The request has its answer, so that no attempt may send the last byte.
    aborted: Cell<bool>,
    /// The time at which a piece was last received.
    received_at: Cell<Instant>,
    /// The time at which a piece was last passed on to an endpoint.
    sent_at: Cell<Instant>,
    /// All that the client has sent so far has been received.
    waits_for_client: Cell<bool>,
    /// The time at which that was so last.
    caught_up_at: Cell<Instant>,
    /// The time at which that was last looked up.
    checked_at: Cell<Instant>,
    /// The time at which the client gives up, as was last returned for a body that is being sent.
    reported_deadline: Cell<Option<Instant>>,
    completed: Notify,
    /// The attempt that waits for data.
    sender_waker: RefCell<Option<Waker>>,
}

impl Upload {
    /// Creates the body from its beginning and the rest. `confirmed_at` is the time at which the client was last known not
    /// to have left.
    pub fn new(
        mut beginning: BodyBuffer,
        length: Option<u64>,
        rest: Incoming,
        client_timeout: Duration,
        client: ClientPresence,
        place: Place,
        confirmed_at: Instant,
    ) -> Rc<Self> {
        Rc::new(Upload {
            arrival: BodyArrival::new(length, beginning.received_bytes() as u64, client_timeout),
            prefix: RefCell::new(beginning.take_body()),
            buffer: RefCell::new(beginning),
            rest: RefCell::new(Some(rest)),
            senders: Cell::new(0),
            was_sent_incomplete: Cell::new(false),
            sender_changed: Notify::new(),
            client,
            confirmed_at: Cell::new(confirmed_at),
            place,
            reported: Cell::new(Reception::Received),
            is_given_up: Cell::new(false),
            stalled_since: Cell::new(None),
            partly_sent: Cell::new(false),
            client_lost: Cell::new(false),
            complete: Cell::new(false),
            aborted: Cell::new(false),
            received_at: Cell::new(Instant::now()),
            sent_at: Cell::new(Instant::now()),
            waits_for_client: Cell::new(false),
            caught_up_at: Cell::new(confirmed_at),
            checked_at: Cell::new(confirmed_at),
            reported_deadline: Cell::new(None),
            completed: Notify::new(),
            sender_waker: RefCell::default(),
        })
    }

    /// Returns whether part of the rest has been sent, so that the request can't be sent again.
    pub fn is_partly_sent(&self) -> bool {
        self.partly_sent.get()
    }

    /// Returns whether an attempt is sending the body.
    pub fn is_being_sent(&self) -> bool {
        self.senders.get() > 0
    }

    /// Returns whether the client failed to send the complete body.
    pub fn is_client_lost(&self) -> bool {
        self.client_lost.get()
    }

    /// Returns whether the last byte has been passed on.
    pub fn is_complete(&self) -> bool {
        self.complete.get()
    }

    /// Returns the name of the body's state for the log.
    pub fn state_name(&self) -> &'static str {
        if self.complete.get() {
            "sent"
        } else if self.is_being_sent() {
            "sending"
        } else if self.arrival.is_whole() {
            "received"
        } else if self.place.is_waiting() {
            "paused"
        } else {
            "arriving"
        }
    }

    /// Waits until the last byte has been passed on.
    pub async fn wait_until_complete(&self) {
        while !self.complete.get() {
            self.completed.notified().await;
        }
    }

    /// Returns the time at which the client gives up, if its last byte has arrived by now.
    pub fn client_deadline(&self) -> Instant {
        let deadline = self.arrival.client_deadline();
        deadline.unwrap_or_else(|| Instant::now() + self.arrival.timeout())
    }

    /// Returns the time at which the client gives up, if its last byte has arrived or may have.
    pub fn earliest_client_deadline(&self) -> Option<Instant> {
        let unread_bytes = self.client.unread_bytes();
        self.arrival.earliest_client_deadline(unread_bytes)
    }

    /// Returns the deadline that an attempt announces, which must not be later than the client's: while an attempt sends the
    /// body, its last byte is found some time after it was written.
    pub fn announced_deadline(&self, deadline: Instant) -> Instant {
        let found_late = if self.was_sent_incomplete.get() {
            receiving::MAX_LAST_BYTE_DELAY
        } else {
            Duration::ZERO
        };
        let earliest = self.earliest_client_deadline().unwrap_or(deadline);
        deadline.min(earliest) - found_late - self.arrival.last_byte_uncertainty()
    }

    /// Keeps attempts from sending the last byte, as the request has its answer.
    pub fn abort(&self) {
        self.aborted.set(true);
    }

    /// Returns whether the endpoint of the attempt in progress has taken nothing for so long that it hangs.
    pub fn is_endpoint_stuck(&self) -> bool {
        self.sent_at.get().elapsed() >= MIN_ENDPOINT_PAUSE
    }

    /// Takes the part that has not been received, once the request is answered.
    pub fn take_rest(&self) -> Option<Incoming> {
        self.rest.take()
    }

    /// Returns the time at which the body is aborted unless there is progress.
    pub fn stalls_at(&self) -> Instant {
        if self.waits_for_client.get() && !self.buffer.borrow().has_data() {
            self.received_at.get().max(self.sent_at.get()) + CLIENT_STALL_TIMEOUT
        } else {
            self.sent_at.get() + ENDPOINT_STALL_TIMEOUT
        }
    }

    /// Begins to send the body with an attempt; returns its buffered beginning and the sender of the rest.
    pub fn begin_sending(self: &Rc<Self>) -> (BufferedBody, Sender) {
        self.sent_at.set(Instant::now());
        self.place.finish();
        self.is_given_up.set(false);
        self.senders.set(self.senders.get() + 1);
        let is_incomplete = !self.arrival.is_whole();
        self.was_sent_incomplete
            .set(self.was_sent_incomplete.get() || is_incomplete);
        self.sender_changed.notify_one();
        let mut buffer = self.buffer.borrow_mut();
        let received = buffer.take_body();
        buffer.release_unused();
        let mut prefix = self.prefix.borrow_mut();
        prefix.append(received);
        (prefix.clone(), Sender::new(self.clone()))
    }

    /// Returns a guard of the task that receives the rest while the request waits: without it the body does not wait for
    /// memory.
    pub fn receiving(&self) -> Receiving<'_> {
        Receiving(self)
    }

    /// Makes sure before an attempt begins that the client has not left. What it has sent is received first, unless
    /// the latest confirmation is recent; this takes no longer than until `deadline`.
    ///
    /// # Errors
    /// The client has left, or there is no memory to find out.
    pub async fn confirm_client(&self, deadline: Instant) -> Result<(), Absence> {
        if self.confirmed_at.get().elapsed() < MAX_CONFIRMATION_AGE {
            return Ok(());
        }
        match self.client.confirm(deadline).await {
            // What is unread stands behind the body.
            Err(Absence::Unknown) if self.rest.borrow().is_none() => {}
            result => result?,
        }
        self.confirmed_at.set(Instant::now());
        Ok(())
    }

    /// Records whether all that the client has sent is received. The HTTP library may not have read what the system has.
    fn record_wait_for_data(&self) {
        let now = Instant::now();
        let next_check = self.checked_at.get() + MIN_CHECK_INTERVAL;
        if now < next_check && !self.arrival.is_paused() {
            return;
        }
        self.checked_at.set(now);
        let is_caught_up = self.client.check() != Err(Absence::Unknown);
        self.waits_for_client.set(is_caught_up);
        if !is_caught_up {
            return;
        }
        self.caught_up_at.set(now);
        if self.arrival.is_paused() {
            self.arrival.record_caught_up(now);
            self.stalled_since.set(None);
            self.place.leave();
        }
    }

    /// Receives the next piece into the buffer, unless an attempt has begun to send the body.
    fn poll_receive(&self, cx: &mut Context) -> Poll<()> {
        if self.is_being_sent() {
            return Poll::Pending; // the end of the attempt wakes the task
        }
        match self.poll_data(cx) {
            Poll::Ready(Some(Ok(data))) => self.buffer.borrow_mut().add(&data),
            Poll::Pending if self.reception() == self.reported.get() => {
                return Poll::Pending;
            }
            Poll::Ready(_) | Poll::Pending => {}
        }
        Poll::Ready(())
    }

    /// Polls the next piece for an attempt, which is also woken by what is received ahead.
    fn poll_data_for_sender(&self, cx: &mut Context) -> Poll<Option<io::Result<Bytes>>> {
        let data = self.poll_data(cx);
        if data.is_pending() {
            self.sender_waker.replace(Some(cx.waker().clone()));
        }
        data
    }

    /// Polls the next piece of the rest; `None` after the last.
    fn poll_data(&self, cx: &mut Context) -> Poll<Option<io::Result<Bytes>>> {
        let mut rest = self.rest.borrow_mut();
        loop {
            let Some(body) = rest.as_mut() else {
                let dropped = !self.arrival.is_whole();
                return Poll::Ready(
                    dropped.then(|| Err(invalid_data("the rest of the request body was dropped"))),
                );
            };
            let Poll::Ready(frame) = Pin::new(body).poll_frame(cx) else {
                self.record_wait_for_data();
                return Poll::Pending;
            };
            let now = Instant::now();
            self.received_at.set(now);
            self.waits_for_client.set(false);
            match frame {
                None => {
                    *rest = None;
                    self.arrival.record_end(now);
                    return Poll::Ready(None);
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue; // trailers are dropped
                    };
                    self.arrival.record(data.len() as u64, now);
                    if self.arrival.received_bytes() > MAX_BODY_BYTES {
                        *rest = None;
                        let error = invalid_data("the request body is too large");
                        return Poll::Ready(Some(Err(error)));
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
                Some(Err(error)) => {
                    *rest = None;
                    self.client_lost.set(true);
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
            }
        }
    }

    /// Records that all that has been received is passed on.
    fn record_passed_on(&self) {
        if self.arrival.is_whole() && !self.buffer.borrow().has_data() {
            self.complete.set(true);
            self.completed.notify_waiters();
        }
    }
}

/// Ends the wait for memory when dropped.
pub struct Receiving<'a>(&'a Upload);

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        self.0.place.finish();
    }
}
