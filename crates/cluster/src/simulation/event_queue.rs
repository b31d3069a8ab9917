//! Queue of events in virtual time. Events at the same time are delivered in the order in which they were scheduled.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use crate::message::Message;
use crate::rules::Micros;

/// An event of the simulation. Members are identified by their index.
pub(super) enum Event {
    /// A member processes its timers.
    Tick {
        member: usize,
        /// Incarnation of the member to which the event applies.
        incarnation: u32,
    },
    /// A message arrives.
    Deliver {
        to: usize,
        /// Raft node id of the sender.
        from: u64,
        message: Message,
    },
    /// A member has finished the validation of a change.
    Validated {
        member: usize,
        incarnation: u32,
        change: String,
    },
    /// The invariant checker examines all members.
    Sample,
}

struct ScheduledEvent {
    at: Micros,
    number: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = self.at.cmp(&other.at);
        by_time.then(self.number.cmp(&other.number))
    }
}

/// An event that is due.
pub(super) struct DueEvent {
    pub at: Micros,
    pub event: Event,
}

/// Events ordered by time.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    last_number: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub fn push(&mut self, at: Micros, event: Event) {
        self.last_number += 1;
        self.heap.push(Reverse(ScheduledEvent {
            at,
            number: self.last_number,
            event,
        }));
    }

    /// Takes the next event that is due at or before `end`.
    pub fn pop_until(&mut self, end: Micros) -> Option<DueEvent> {
        let Reverse(next) = self.heap.peek()?;
        if next.at > end {
            return None;
        }
        let Reverse(scheduled) = self.heap.pop()?;
        Some(DueEvent {
            at: scheduled.at,
            event: scheduled.event,
        })
    }
}
