//! What is known of servers, kinds of machine, requests and other proxies.

use std::collections::VecDeque;

use crate::action::*;
use crate::event::*;
use crate::health_snapshot::*;
use crate::settings::*;
use crate::types::*;

/// How well a server does, as a whole or for one class.
#[derive(Clone)]
pub(crate) struct Health {
    pub fails: f64,         // running mean of failures
    pub faulty: (f64, f64), // the same over a longer span, and its weight
    pub closed: Millis,     // not open before this
    pub backoff: Millis,    // the next closing's length
    pub trial: bool,        // back from a closing, still to prove itself
}

impl Health {
    /// Nothing is held against a server.
    pub fn clean(now: Millis, backoff: Millis) -> Self {
        Health {
            fails: 0.0,
            faulty: (0.0, 0.0),
            closed: now,
            backoff,
            trial: false,
        }
    }
}

/// What is known of a server.
pub(crate) struct Server {
    pub info: Endpoint,
    pub told: Option<Millis>,  // when its drain or end was told
    pub own: u32, // this proxy's attempts there, those given up but plausibly running included
    pub peers: u32, // attempts of other proxies, as told by them
    pub blame: u32, // other proxies that hold it for ill
    pub slow: (f64, f64), // mean latency relative to its classes' means over the fleet, and its weight
    pub health: Health,   // as a whole
    pub by_class: Vec<Health>, // and for each class
    pub full: bool,       // its last failure was mere fullness
    pub progress: Millis, // last answer, or the send that ended its idleness
    pub restarted: bool,  // the list has just told of a new process
    pub fresh: bool,      // seen within its cold span: budgeted
    pub tokens: f64,      // sends that a cold server's budget still allows
    pub tokens_at: Millis,
    pub grant: f64,  // the most that a request may take of it for one send
    pub kind: usize, // its kind of machine; 0 if none is told
    pub cores: f64,  // its cores, as its size tells
    pub room: f64,   // slots for all proxies together
    pub mine: f64,   // those of them that are this proxy's own
    pub owned: Option<(u32, u32)>, // of so many slots, how many are this proxy's own by the hash
    pub band: usize, // the speed band of that cost
    pub warmth: f64, // part of its capacity that it surely has
    pub cost: f64,   // expected latency relative to the fleet's mean, crossing included
    pub weight: f64, // inverse weight in the choice of a key's home
    pub line: VecDeque<RequestId>, // waiting requests of its keys, some perhaps no longer
    pub helps: bool, // open though cold
    pub free: bool,  // a request of its keys may come
    pub wanted: u32, // waiting requests whose key is at home here
}

impl Server {
    pub fn new(info: Endpoint, classes: usize, now: Millis, backoff: Millis) -> Self {
        Server {
            info,
            told: None,
            own: 0,
            peers: 0,
            blame: 0,
            slow: (1.0, 0.0),
            health: Health::clean(now, backoff),
            by_class: vec![Health::clean(now, backoff); classes],
            full: false,
            progress: now,
            restarted: false,
            fresh: false,
            tokens: 0.0,
            tokens_at: now,
            grant: f64::INFINITY,
            kind: 0,
            cores: 1.0,
            room: 1.0,
            mine: 0.0,
            owned: None,
            band: 0,
            warmth: 1.0,
            cost: 1.0,
            weight: 1.0,
            line: VecDeque::new(),
            helps: false,
            free: false,
            wanted: 0,
        }
    }

    /// Whether it is cold: what it is sent comes out of a budget of its own.
    pub fn budgeted(&self) -> bool {
        self.fresh && self.warmth < 1.0
    }

    /// Whether it is in one group with the server of an earlier attempt.
    pub fn drops_repeats_of(&self, first: &Server, group: DeduplicationScope) -> bool {
        match group {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => {
                first.info.zone.is_some() && self.info.zone == first.info.zone
            }
            DeduplicationScope::Cell => {
                first.info.cell.is_some() && self.info.cell == first.info.cell
            }
        }
    }

    /// Nothing is held against it any more.
    pub fn forgive(&mut self, now: Millis, backoff: Millis) {
        self.health = Health::clean(now, backoff);
        self.by_class.fill(Health::clean(now, backoff));
    }

    /// Requests there, as far as this proxy knows.
    pub fn held(&self) -> u32 {
        self.own.saturating_add(self.peers)
    }
}

/// What is known of a kind of machine.
pub(crate) struct Kind {
    pub slow: (f64, f64), // mean relative latency, and its weight
    pub lone: (f64, f64), // mean latency of requests that found a server idle, and its weight
    pub core: Millis,     // mean latency on a core of its own
    pub cores: f64,       // cores of a server, as inferred
    pub calm: Millis,     // the least mean latency of late
    pub throttle: f64,    // the part of its slots that it is given
}

impl Kind {
    /// A kind of which nothing is known, given this part of its slots.
    pub fn new(throttle: f64) -> Self {
        Kind {
            slow: (1.0, 0.0),
            lone: (0.0, 0.0),
            core: f64::INFINITY,
            cores: 1.0,
            calm: f64::INFINITY,
            throttle,
        }
    }
}

pub(crate) struct Attempt {
    pub server: usize,
    pub sent: Millis,
    pub over: bool,
    pub budgeted: bool,   // its server was cold
    pub lone: bool,       // it found the server idle
    pub load: LoadReport, // of its server, as its answer tells
    pub silent: bool,     // it was out for so long that its server was blamed
    pub ran: bool,        // it runs or may have run
}

pub(crate) struct Request {
    pub class: usize,
    pub effect: Idempotency, // as it was when the request came
    pub most: usize,         // attempts that it may have, likewise
    pub whole: bool,         // its last byte has come
    pub spent: bool,         // it can't be sent again
    pub over_share: bool,
    pub size: f64,   // its expected work, relative to its class
    pub aim: Millis, // the clock time until which it earns its full worth
    pub due: Millis, // the clock time at which its client leaves
    pub key: u64,
    pub home: Option<usize>,
    pub attempts: Vec<Attempt>,
    pub waiting: bool,
    pub done: bool,
    pub started: bool,
}

impl Request {
    /// One that waits for its first attempt, and what may be done for it.
    pub fn new(
        class: usize,
        effect: Idempotency,
        most: u32,
        size: f64,
        key: u64,
        home: Option<usize>,
    ) -> Self {
        Request {
            class,
            effect,
            most: most as usize,
            whole: true,
            spent: false,
            over_share: false,
            size,
            aim: 0.0,
            due: 0.0,
            key,
            home,
            attempts: Vec::new(),
            waiting: false,
            done: false,
            started: false,
        }
    }

    pub fn running(&self) -> bool {
        self.attempts.iter().any(|a| !a.over)
    }

    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| a.ran)
    }

    pub fn tried(&self, server: usize) -> bool {
        self.attempts.iter().any(|a| a.server == server)
    }
}

/// How the choices want a new record to begin.
#[derive(Clone, Copy)]
pub(crate) struct Start {
    pub backoff: Millis, // of a server's first closing
    pub throttle: f64,   // part of its slots that a kind gets until it is measured
}

/// What another proxy told last.
pub(crate) struct Peer {
    pub heard: Millis,
    pub holds: Vec<usize>,
    pub blames: Vec<usize>,
}

/// Adds a sample to a mean, given with its weight, over about `most` samples.
pub(crate) fn average(mean: &mut (f64, f64), sample: f64, most: f64) {
    mean.1 = (mean.1 + 1.0).min(most);
    mean.0 += (sample - mean.0) / mean.1;
}
