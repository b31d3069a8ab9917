//! Simulated network: delays, message loss, cut links, and traffic counters.

use std::collections::{BTreeMap, BTreeSet};

use crate::message::{Message, MessageKind};
use crate::rules::Micros;

/// Bytes that a connection adds to a raft message: frame header with authentication tag, and sender. Valid for members with short names and
/// loopback addresses.
const RAFT_OVERHEAD_BYTES: usize = 126;
/// Total size of a report between such members.
const REPORT_BYTES: usize = 227;
/// Total size of a grant, or of any other message, between such members.
const GRANT_BYTES: usize = 190;

/// Properties of links, clocks and disks.
#[derive(Clone, Copy, Debug)]
pub struct Environment {
    /// Minimum one-way delay of a message.
    pub delay: Micros,
    /// Maximum random addition to the delay.
    pub jitter: Micros,
    /// Lost messages per thousand.
    pub lost_per_thousand: u32,
    /// Maximum deviation of a clock's rate, in parts per million.
    pub clock_drift_ppm: u32,
    /// Maximum duration of a validation.
    pub validation_duration: Micros,
    /// Duration of a disk write.
    pub write_duration: Micros,
}

impl Default for Environment {
    fn default() -> Self {
        Environment {
            delay: 500,
            jitter: 500,
            lost_per_thousand: 0,
            clock_drift_ppm: 10_000,
            validation_duration: 5_000,
            write_duration: 1_000,
        }
    }
}

/// Messages that were sent, including lost ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Total size of the messages in bytes.
    pub bytes: u64,
    /// Messages by kind, in the order of [`MessageKind::ALL`].
    pub messages_by_kind: [u64; MessageKind::COUNT],
}

impl Traffic {
    /// Counts a message.
    pub(super) fn count(&mut self, message: &Message) {
        self.messages += 1;
        self.bytes += size_bytes(message) as u64;
        self.messages_by_kind[message.kind() as usize] += 1;
    }
}

fn size_bytes(message: &Message) -> usize {
    match message {
        Message::Raft(bytes) => bytes.len() + RAFT_OVERHEAD_BYTES,
        Message::Report(_) => REPORT_BYTES,
        _ => GRANT_BYTES,
    }
}

/// One direction of a connection between two members, identified by their indexes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Link {
    pub from: usize,
    pub to: usize,
}

/// State of all links.
#[derive(Default)]
pub(super) struct Network {
    cut_links: BTreeSet<Link>,
    extra_delays: BTreeMap<Link, Micros>,
}

impl Network {
    /// Cuts or repairs a link.
    pub fn set_cut(&mut self, link: Link, is_cut: bool) {
        if is_cut {
            self.cut_links.insert(link);
        } else {
            self.cut_links.remove(&link);
        }
    }

    /// Sets the additional delay of a link.
    pub fn set_extra_delay(&mut self, link: Link, delay: Micros) {
        self.extra_delays.insert(link, delay);
    }

    /// Draws the delay of a message; `None` if the message is lost.
    pub fn draw_delay(
        &self,
        link: Link,
        environment: &Environment,
        random: &mut fastrand::Rng,
    ) -> Option<Micros> {
        if self.cut_links.contains(&link) || random.u32(..1000) < environment.lost_per_thousand {
            return None;
        }
        let extra = self.extra_delays.get(&link).copied().unwrap_or(0);
        let jitter = random.u64(..=environment.jitter);
        Some(environment.delay + extra + jitter)
    }
}
