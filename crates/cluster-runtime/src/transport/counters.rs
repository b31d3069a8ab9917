//! Counters of the transport; [`status`](crate::status) defines their names in the administration API and metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use cluster::message::MessageKind;

use crate::status::{ConnectionTotals, MessageTotals};

/// Counters of all connections since the start.
#[derive(Debug, Default)]
pub struct TransportCounters {
    /// Messages sent.
    pub messages_sent: AtomicU64,
    /// Bytes of the messages sent, including frame headers.
    pub bytes_sent: AtomicU64,
    /// Messages dropped because they could not be sent in time.
    pub messages_dropped: AtomicU64,
    /// Inbound connections closed because of invalid data.
    pub connections_rejected: AtomicU64,
    /// Messages sent, in the order of [`MessageKind::ALL`].
    pub sent_by_kind: [Traffic; MessageKind::COUNT],
    /// Messages received, in the order of [`MessageKind::ALL`].
    pub received_by_kind: [Traffic; MessageKind::COUNT],
}

impl TransportCounters {
    /// Returns the totals over all connections.
    pub fn totals(&self) -> ConnectionTotals {
        ConnectionTotals {
            messages_sent: self.messages_sent.load(Ordering::Relaxed),
            bytes_sent: self.bytes_sent.load(Ordering::Relaxed),
            messages_dropped: self.messages_dropped.load(Ordering::Relaxed),
            connections_rejected: self.connections_rejected.load(Ordering::Relaxed),
        }
    }

    /// Counts a sent message of `bytes` bytes, including its frame header.
    pub(super) fn add_sent(&self, kind: MessageKind, bytes: usize) {
        self.messages_sent.fetch_add(1, Ordering::Relaxed);
        self.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
        self.sent_by_kind[kind as usize].add(bytes);
    }
}

/// Counters of the messages of one kind.
#[derive(Debug, Default)]
pub struct Traffic {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Traffic {
    /// Counts a message of `bytes` bytes, including its frame header.
    pub(super) fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the totals since the start.
    pub fn totals(&self) -> MessageTotals {
        MessageTotals {
            messages: self.messages.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}
