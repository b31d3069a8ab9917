//! What happened, noted at both ends: clients note tries and answers, servers note attempts and effects, the list
//! notes what each proxy was told. The oracle judges by these notes alone.
//!
//! All times are on one clock that never runs backwards. A try is one request of a client: a client's further try is
//! a request of its own, with an id of its own.

use balancer::Millis;

/// A try, as numbered by the driver.
pub type ClientAttemptId = usize;
/// A server, as numbered by the world.
pub type ServerId = usize;
/// A proxy's number.
pub type ProxyId = usize;

/// An answer as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseKind {
    /// A server's answer, whole; `genuine` if it is one that a server made for this very try.
    Served {
        /// Whether a server made it for this very try.
        genuine: bool,
    },
    /// Refused: trying again is harmless.
    Refused {
        /// How long the client is asked to wait.
        retry_after: Option<Millis>,
    },
    /// Any other answer.
    Failed,
    /// An answer that the client can tell is not whole.
    Broken,
}

/// How an attempt ended, as its server knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It was answered.
    Answered,
    /// It surely never ran: turned away, or never written whole.
    NeverRan,
    /// It may have run: an error, a broken connection, silence, given up.
    MayHaveRun,
}

/// One attempt at a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Where.
    pub server: ServerId,
    /// When its proxy sent it.
    pub sent: Millis,
    /// When its proxy knew how it ended, and how; `None` while it is out.
    pub ended: Option<(Millis, AttemptEnd)>,
    /// When the server had done it.
    pub ran: Option<Millis>,
}

/// One try of a client.
#[derive(Clone, Debug)]
pub struct ClientAttempt {
    /// The client's ask that it belongs to.
    pub request: usize,
    /// Which try of that ask, from 1.
    pub number: u32,
    /// Its class, a place in the scenario's.
    pub class: usize,
    /// Whether it must never run twice.
    pub once: bool,
    /// The proxy that it was sent to.
    pub proxy: ProxyId,
    /// When it should have been sent, and when it was.
    pub intended: Millis,
    /// When it was sent.
    pub sent: Millis,
    /// When its client gives up.
    pub due: Millis,
    /// When a proxy had taken it.
    pub taken: Option<Millis>,
    /// Each answer, and when its last byte left the proxy.
    pub answers: Vec<(Millis, ResponseKind)>,
    /// When the client went away.
    pub left: Option<Millis>,
    /// Its attempts, in the order of sends.
    pub attempts: Vec<Attempt>,
}

/// A proxy was told of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerNotification {
    /// Who.
    pub proxy: ProxyId,
    /// Of which server.
    pub server: ServerId,
    /// When.
    pub at: Millis,
    /// Whether the server takes new work.
    pub up: bool,
    /// When its process started, if it is a fresh one.
    pub born: Option<Millis>,
}

/// A cold server was pushed over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdOverload {
    /// Which.
    pub server: ServerId,
    /// When.
    pub at: Millis,
    /// The part of its capacity that it had.
    pub warmth: f64,
}

/// A proxy's process ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessExit {
    /// Which.
    pub proxy: ProxyId,
    /// When.
    pub at: Millis,
    /// Whether it was killed or told to end; else it crashed.
    pub expected: bool,
}

/// What a process took at most; real processes only.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Which proxy.
    pub proxy: ProxyId,
    /// When it was highest.
    pub at: Millis,
    /// Resident memory in MiB.
    pub memory_mb: f64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Everything noted in a run.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// All tries, in the order of their sends.
    pub client_attempts: Vec<ClientAttempt>,
    /// What proxies were told.
    pub notifications: Vec<ServerNotification>,
    /// Cold servers that fell over.
    pub cold_overloads: Vec<ColdOverload>,
    /// Proxies that ended.
    pub process_exits: Vec<ProcessExit>,
    /// What processes took.
    pub usage: Vec<Usage>,
    /// Attempts with an id that no client sent.
    pub unknown_requests: Vec<(ServerId, Millis, String)>,
    /// When the last note was made.
    pub ended_at: Millis,
}

impl Ledger {
    /// Notes a send; returns the attempt's number in its try.
    pub fn send(&mut self, id: ClientAttemptId, server: ServerId, at: Millis) -> usize {
        let attempts = &mut self.client_attempts[id].attempts;
        attempts.push(Attempt {
            server,
            sent: at,
            ended: None,
            ran: None,
        });
        attempts.len() - 1
    }

    /// Notes how an attempt ended, once.
    pub fn end(&mut self, id: ClientAttemptId, attempt: usize, at: Millis, end: AttemptEnd) {
        let a = &mut self.client_attempts[id].attempts[attempt];
        a.ended = a.ended.or(Some((at, end)));
    }

    /// Notes that a server has done an attempt.
    pub fn ran(&mut self, id: ClientAttemptId, attempt: usize, at: Millis) {
        self.client_attempts[id].attempts[attempt]
            .ran
            .get_or_insert(at);
    }

    /// When a proxy was alive no longer, after this time.
    pub fn end_of(&self, proxy: ProxyId, after: Millis) -> Option<Millis> {
        self.process_exits
            .iter()
            .filter(|e| e.proxy == proxy && e.at >= after)
            .map(|e| e.at)
            .min_by(f64::total_cmp)
    }
}
