//! Reports of one attempt to the driver, and the connection that it occupies in a process of many tenants.

use std::net::SocketAddr;
use std::rc::Rc;

use balancer::{Outcome, RequestId};
use settings::stable_hash;
use tokio::time::Instant;

use crate::account::TenantAccount;
use crate::inbox::{Inbox, Input};
use crate::message::EndpointResponse;
use crate::upstream::AttemptEvent;

/// A connection reserved at an endpoint that other tenants also use; released when dropped.
pub struct EndpointPermit {
    account: Rc<dyn TenantAccount>,
    endpoint: u64,
}

impl EndpointPermit {
    /// Reserves a connection, or returns `None` if the account has none left.
    pub fn acquire(account: &Rc<dyn TenantAccount>, address: SocketAddr) -> Option<Self> {
        let endpoint = endpoint_number(address);
        account
            .acquire_endpoint_connection(endpoint)
            .then(|| EndpointPermit {
                account: account.clone(),
                endpoint,
            })
    }
}

impl Drop for EndpointPermit {
    fn drop(&mut self) {
        self.account.release_endpoint_connection(self.endpoint);
    }
}

/// Returns the number that identifies an address in all accounts.
pub fn endpoint_number(address: SocketAddr) -> u64 {
    stable_hash(&address.to_string())
}

/// Reports the end of an attempt exactly once; an attempt dropped on the way may have been executed.
pub struct AttemptReport {
    inbox: Inbox,
    request: RequestId,
    /// The index among the attempts of the request.
    pub attempt: u32,
    pub started_at: Instant,
    finished: bool,
}

impl AttemptReport {
    /// Creates the report of an attempt that starts now.
    pub fn new(inbox: Inbox, request: RequestId, attempt: u32) -> Self {
        AttemptReport {
            inbox,
            request,
            attempt,
            started_at: Instant::now(),
            finished: false,
        }
    }

    /// Passes on the progress of the attempt.
    pub fn handle_event(&mut self, event: AttemptEvent) {
        let (request, attempt) = (self.request, self.attempt);
        match event {
            AttemptEvent::MemoryExhausted => self.inbox.send(Input::MemoryExhausted(request)),
            AttemptEvent::ClientLeft => self.inbox.send(Input::ClientDisconnected(request)),
            AttemptEvent::BodyComplete => {
                self.started_at = Instant::now();
                self.inbox.send(Input::BodyComplete(request));
            }
            AttemptEvent::ResponseArriving(progressing) => {
                self.inbox.send(Input::ResponseArriving {
                    request,
                    attempt,
                    progressing,
                });
            }
            AttemptEvent::ResponseStarted(response) => self.inbox.send(Input::ResponseStarted {
                request,
                attempt,
                response,
            }),
            AttemptEvent::Ended(outcome, response) => self.finish(outcome, response),
        }
    }

    /// Reports the end of the attempt.
    pub fn finish(&mut self, outcome: Outcome, response: Option<EndpointResponse>) {
        self.finished = true;
        let latency = self.started_at.elapsed().as_secs_f64() * 1000.0;
        let (request, attempt) = (self.request, self.attempt);
        self.inbox.send(Input::AttemptEnded {
            request,
            attempt,
            latency,
            outcome,
            response,
        });
    }
}

impl Drop for AttemptReport {
    fn drop(&mut self) {
        if !self.finished {
            self.finish(Outcome::Reset, None);
        }
    }
}
