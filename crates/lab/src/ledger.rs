//! Record of a run, taken at both ends: clients record attempts and responses, servers record the proxies' attempts and
//! their execution, the server list records what each proxy was notified of. The oracle uses only this record.
//!
//! All times are on one monotonic clock. A client attempt is one request on the wire: a client's retry is a request of
//! its own, with its own id.

use balancer::Millis;

/// Index of a client attempt in the ledger.
pub type ClientAttemptId = usize;
/// Index of a server in the world.
pub type ServerId = usize;
/// Index of a proxy.
pub type ProxyId = usize;

/// Response as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseKind {
    /// Complete response of a server; `genuine` if a server produced it for this client attempt.
    Served {
        /// Whether a server produced it for this client attempt.
        genuine: bool,
    },
    /// Rejected; a retry is safe.
    Refused {
        /// Delay before a retry that the response asks for.
        retry_after: Option<Millis>,
    },
    /// Any other response.
    Failed,
    /// Response that the client can tell is incomplete.
    Broken,
}

/// Outcome of a proxy's attempt, as its server knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server responded.
    Answered,
    /// It certainly did not run: rejected by the server, or not sent completely.
    NeverRan,
    /// It may have run: an error, a broken connection, no response, or cancelled.
    MayHaveRun,
}

/// One attempt of a proxy at a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Target server.
    pub server: ServerId,
    /// Time at which the proxy sent it.
    pub sent: Millis,
    /// Time at which the proxy knew the outcome, and the outcome; `None` while the attempt is in flight.
    pub ended: Option<(Millis, AttemptEnd)>,
    /// Time at which the server completed it.
    pub completed_at: Option<Millis>,
}

/// One attempt of a client, sent to one proxy.
#[derive(Clone, Debug)]
pub struct ClientAttempt {
    /// Index of the client request.
    pub request: usize,
    /// Number of the attempt within the client request, from 1.
    pub number: u32,
    /// Index of the class in the scenario.
    pub class: usize,
    /// Whether the request must not run twice.
    pub at_most_once: bool,
    /// Proxy to which it was sent.
    pub proxy: ProxyId,
    /// Intended send time.
    pub intended: Millis,
    /// Actual send time.
    pub sent: Millis,
    /// Time at which the client gives up.
    pub timeout_at: Millis,
    /// Time at which a proxy accepted it.
    pub accepted_at: Option<Millis>,
    /// Responses, each with the time at which its last byte left the proxy.
    pub responses: Vec<(Millis, ResponseKind)>,
    /// Time at which the client disconnected.
    pub disconnected_at: Option<Millis>,
    /// The proxy's attempts, in send order.
    pub attempts: Vec<Attempt>,
}

/// A proxy was notified of the state of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerNotification {
    /// Notified proxy.
    pub proxy: ProxyId,
    /// Server.
    pub server: ServerId,
    /// Time of the notification.
    pub at: Millis,
    /// Whether the server accepts new requests.
    pub up: bool,
    /// Start time of the server's process; `None` if it was running before the run.
    pub started_at: Option<Millis>,
}

/// A cold server was overloaded and crashed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdOverload {
    /// Server.
    pub server: ServerId,
    /// Time of the crash.
    pub at: Millis,
    /// Fraction of its full capacity that the server had.
    pub warmth: f64,
}

/// A proxy process exited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessExit {
    /// Proxy.
    pub proxy: ProxyId,
    /// Time of the exit.
    pub at: Millis,
    /// Whether the process was killed or asked to exit; otherwise it crashed.
    pub expected: bool,
}

/// Peak resource usage of a process; recorded for real processes only.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Proxy.
    pub proxy: ProxyId,
    /// Time of the last measurement.
    pub at: Millis,
    /// Peak resident memory in MiB.
    pub memory_mb: f64,
    /// Peak number of open file descriptors.
    pub descriptors: usize,
}

/// All records of a run.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Client attempts, in send order.
    pub client_attempts: Vec<ClientAttempt>,
    /// Notifications of server states to proxies.
    pub notifications: Vec<ServerNotification>,
    /// Crashes of overloaded cold servers.
    pub cold_overloads: Vec<ColdOverload>,
    /// Exits of proxy processes.
    pub process_exits: Vec<ProcessExit>,
    /// Peak resource usage by proxy.
    pub usage: Vec<Usage>,
    /// Requests that reached a server but match no client attempt: server, time and description.
    pub unknown_requests: Vec<(ServerId, Millis, String)>,
    /// Time at which recording stopped.
    pub ended_at: Millis,
}

impl Ledger {
    /// Records a sent attempt; returns its index within the client attempt.
    pub fn record_send(&mut self, id: ClientAttemptId, server: ServerId, at: Millis) -> usize {
        let attempts = &mut self.client_attempts[id].attempts;
        attempts.push(Attempt {
            server,
            sent: at,
            ended: None,
            completed_at: None,
        });
        attempts.len() - 1
    }

    /// Records the outcome of an attempt; only the first outcome counts.
    pub fn record_end(&mut self, id: ClientAttemptId, attempt: usize, at: Millis, end: AttemptEnd) {
        let a = &mut self.client_attempts[id].attempts[attempt];
        a.ended = a.ended.or(Some((at, end)));
    }

    /// Records that a server completed an attempt.
    pub fn record_completion(&mut self, id: ClientAttemptId, attempt: usize, at: Millis) {
        self.client_attempts[id].attempts[attempt]
            .completed_at
            .get_or_insert(at);
    }

    /// Returns the first exit of a proxy at or after a time.
    pub fn first_exit(&self, proxy: ProxyId, after: Millis) -> Option<Millis> {
        self.process_exits
            .iter()
            .filter(|e| e.proxy == proxy && e.at >= after)
            .map(|e| e.at)
            .min_by(f64::total_cmp)
    }
}
