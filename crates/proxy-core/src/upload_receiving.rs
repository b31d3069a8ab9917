//! How the rest of an upload is received beside its attempts: as it comes while the request waits, in turn while memory is
//! short, and ahead of an endpoint that takes it slowly.

use std::future::poll_fn;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use balancer::Reception;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout};

use super::{
    CLIENT_STALL_TIMEOUT, MAX_BODY_BYTES, MAX_MEMORY_WAIT, ReceiveChange, Upload, transfer_time,
};
use crate::body_memory::BodyMemory;

/// The interval of attempts to reserve memory while there is none.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The longest wait for memory while all long bodies wait, so that none of them releases any.
const MAX_MEMORY_DEADLOCK: Duration = Duration::from_millis(100);
/// The interval in which a body that is being sent is received further if its endpoint does not keep up.
const READ_AHEAD_INTERVAL: Duration = Duration::from_millis(50);
/// The number of pieces that are received ahead before other tasks run.
const MAX_PIECES_AHEAD_PER_POLL: usize = 32;
/// The time after which a client that is ahead of the endpoint counts as such.
const MIN_LAG: Duration = Duration::from_millis(150);
/// The longest time after which the last byte of a body that is being sent is found, while there is memory.
pub(super) const MAX_LAST_BYTE_DELAY: Duration = MIN_LAG.saturating_add(READ_AHEAD_INTERVAL);

impl Upload {
    /// Receives the rest beside the attempts, as far as there is memory, until there is a change to report.
    pub async fn receive_until_change(&self, memory: &BodyMemory) -> ReceiveChange {
        loop {
            if self.place.take_eviction() {
                self.is_given_up.set(true);
                return ReceiveChange::Evicted;
            }
            if self.is_being_sent() || self.rest.borrow().is_none() {
                self.place.finish();
            }
            let reception = self.reception();
            if self.is_client_stalled(reception) && !self.is_given_up.replace(true) {
                return ReceiveChange::Stalled;
            }
            if !self.is_being_sent() && self.reported.replace(reception) != reception {
                return ReceiveChange::Reception(reception, self.client_deadline_at_latest());
            }
            if let Some(deadline) = self.changed_deadline() {
                return ReceiveChange::Deadline(deadline);
            }
            self.receive_next(memory).await;
        }
    }

    /// Returns whether all that has come of the body is received, and nothing has come for too long.
    fn is_client_stalled(&self, reception: Reception) -> bool {
        let may_stall = reception == Reception::Arriving && self.waits_for_client.get();
        let stalls_at = self.received_at.get() + CLIENT_STALL_TIMEOUT;
        may_stall && !self.is_being_sent() && stalls_at <= Instant::now()
    }

    /// Returns the time at which the client of a body that is being sent gives up, if that is not the one returned before.
    fn changed_deadline(&self) -> Option<Instant> {
        if !self.is_being_sent() || self.is_complete() {
            return None;
        }
        let deadline = self.earliest_client_deadline();
        let changed = self.reported_deadline.replace(deadline) != deadline;
        deadline.filter(|_| changed)
    }

    pub(super) fn reception(&self) -> Reception {
        if self.arrival.is_whole() {
            Reception::Received
        } else if self.place.is_waiting() {
            Reception::Paused
        } else {
            Reception::Arriving
        }
    }

    /// Returns the latest time at which the client of a waiting request gives up.
    fn client_deadline_at_latest(&self) -> Instant {
        let transfer_time = |bytes: u64| transfer_time(bytes as usize);
        self.arrival
            .latest_client_deadline(MAX_BODY_BYTES, transfer_time, Instant::now())
    }

    async fn receive_next(&self, memory: &BodyMemory) {
        if self.is_given_up.get() || self.rest.borrow().is_none() {
            self.sender_changed.notified().await;
        } else if self.is_being_sent() {
            let _ = timeout(READ_AHEAD_INTERVAL, self.sender_changed.notified()).await;
            let shows_last_byte = || {
                let unread_bytes = self.client.unread_bytes();
                self.arrival.record_unread(unread_bytes, Instant::now())
            };
            if self.is_behind() && !shows_last_byte() {
                self.receive_ahead(memory).await;
            }
        } else if self.try_reserve_next(memory) {
            tokio::select! {
                biased;
                () = poll_fn(|cx| self.poll_receive(cx)) => {}
                () = self.sender_changed.notified() => {}
                () = self.place.changed() => {}
                () = sleep(CLIENT_STALL_TIMEOUT) => {}
            }
        } else if self.place.is_waiting() {
            self.wait_for_memory(memory).await;
        } else {
            self.arrival.pause(Instant::now());
            self.place.join();
        }
    }

    /// Returns whether a body that is being sent is taken more slowly than its client sends it.
    fn is_behind(&self) -> bool {
        let is_behind =
            !self.waits_for_client.get() && self.caught_up_at.get().elapsed() >= MIN_LAG;
        is_behind && self.is_being_sent() && !self.is_complete()
    }

    /// Receives what the client has sent of a body that is being sent, as far as there is memory. Its last byte would not
    /// be seen otherwise.
    async fn receive_ahead(&self, memory: &BodyMemory) {
        for piece in 1.. {
            if !self.is_being_sent() || self.rest.borrow().is_none() {
                break;
            }
            if !self.buffer.borrow_mut().try_reserve_ahead(memory) {
                self.arrival.pause(Instant::now());
                break;
            }
            // The HTTP library reads on once it is asked to.
            let next = poll_fn(|cx| self.poll_ahead(cx));
            if !timeout(READ_AHEAD_INTERVAL, next)
                .await
                .is_ok_and(|more| more)
            {
                break;
            }
            if piece % MAX_PIECES_AHEAD_PER_POLL == 0 {
                yield_now().await;
            }
        }
        self.wake_sender();
    }

    /// Receives the next piece ahead; returns false if none follows.
    fn poll_ahead(&self, cx: &mut Context) -> Poll<bool> {
        let Some(Ok(data)) = ready!(self.poll_data(cx)) else {
            return Poll::Ready(false);
        };
        self.buffer.borrow_mut().add(&data);
        self.wake_sender();
        Poll::Ready(true)
    }

    /// Wakes the attempt that waits for data, as others have received some, or have waited in its place.
    fn wake_sender(&self) {
        self.sender_waker.take().into_iter().for_each(Waker::wake);
    }

    fn try_reserve_next(&self, memory: &BodyMemory) -> bool {
        let mut buffer = self.buffer.borrow_mut();
        buffer.try_reserve_next_in_turn(memory, &self.place)
    }

    /// Waits until there may be memory. If that lasts for long, the youngest of the waiting requests give up theirs, one
    /// after another until the first one has enough.
    async fn wait_for_memory(&self, memory: &BodyMemory) {
        if !self.place.is_first() {
            self.stalled_since.set(None);
            tokio::select! {
                () = self.sender_changed.notified() => {}
                () = self.place.changed() => {}
            }
            return;
        }
        let now = Instant::now();
        let stalled_since = self.stalled_since.get().unwrap_or(now);
        self.stalled_since.set(Some(stalled_since));
        let max_stall = if self.place.all_wait() {
            MAX_MEMORY_DEADLOCK
        } else {
            self.arrival.timeout().mul_f64(MAX_MEMORY_WAIT)
        };
        if now - stalled_since >= max_stall {
            let is_too_large = memory.is_large_share(self.buffer.borrow().reserved_bytes());
            self.place.evict(is_too_large);
        }
        tokio::select! {
            () = self.sender_changed.notified() => {}
            () = self.place.changed() => {}
            () = sleep(MEMORY_CHECK_INTERVAL) => {}
        }
    }
}
