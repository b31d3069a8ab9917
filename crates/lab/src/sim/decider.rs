//! Decision logic of a simulated proxy: the decision module, or a variant with an injected defect.

use balancer::{Action, Balancer, EndpointId, Event, Millis, Outcome, RequestId, Settings};
use rustc_hash::FxHashMap;

/// Handles timestamped events and returns actions, under the contract of [`Balancer::handle`].
pub trait Decider {
    /// Handles one event and appends the resulting actions in order.
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>);
}

impl Decider for Balancer {
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }
}

/// Defect injected into a decision module to test that the oracle detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedDefect {
    /// Drops every 50th request and disables the proxy's final timeout.
    LosesRequests,
    /// Resends failed requests although they may have run.
    RepeatsAll,
    /// Rejects failed requests although they may have run.
    RefusesAll,
    /// Ignores drains and removals.
    IgnoresDrains,
    /// Sends all requests to the server that started last.
    FloodsNewest,
}

impl InjectedDefect {
    /// All defects with their command line names.
    pub const ALL: [(&str, InjectedDefect); 5] = [
        ("loses-requests", InjectedDefect::LosesRequests),
        ("repeats-all", InjectedDefect::RepeatsAll),
        ("refuses-all", InjectedDefect::RefusesAll),
        ("ignores-drains", InjectedDefect::IgnoresDrains),
        ("floods-newest", InjectedDefect::FloodsNewest),
    ];
}

/// Decision module with an injected defect.
pub struct DefectiveBalancer {
    inner: Balancer,
    defect: InjectedDefect,
    newest: Option<(Millis, EndpointId)>,
    /// Last endpoint of each request, and how often the request was resent.
    sent: FxHashMap<RequestId, (EndpointId, u32)>,
}

impl DefectiveBalancer {
    /// Creates a module with the given defect.
    pub fn new(settings: Settings, seed: u64, defect: InjectedDefect) -> Self {
        DefectiveBalancer {
            inner: Balancer::new(settings, seed),
            defect,
            newest: None,
            sent: FxHashMap::default(),
        }
    }

    /// Resends a request to the endpoint where it has just failed, at most twice.
    fn resend(&mut self, request: RequestId, out: &mut Vec<Action>) -> bool {
        let Some((endpoint_id, resends)) = self
            .sent
            .get_mut(&request)
            .filter(|(_, resends)| *resends < 2)
        else {
            return false;
        };
        *resends += 1;
        out.push(Action::Forward {
            request,
            endpoint: *endpoint_id,
            timeout: None,
            start_by: None,
        });
        true
    }
}

impl Decider for DefectiveBalancer {
    fn handle(&mut self, now: Millis, mut event: Event, out: &mut Vec<Action>) {
        if let Event::EndpointUpdate {
            endpoints: entries, ..
        } = &mut event
        {
            for e in entries.iter().filter(|e| e.started_at.is_some()) {
                if self
                    .newest
                    .is_none_or(|(since, _)| e.started_at > Some(since))
                {
                    self.newest = e.started_at.map(|since| (since, e.id));
                }
            }
            if self.defect == InjectedDefect::IgnoresDrains {
                entries
                    .iter_mut()
                    .for_each(|e| e.state = balancer::EndpointState::Up);
            }
        }
        match (self.defect, &event) {
            (
                InjectedDefect::LosesRequests,
                Event::Request {
                    id: RequestId(id), ..
                },
            ) if id % 50 == 0 => return,
            (
                InjectedDefect::RefusesAll,
                Event::AttemptEnded {
                    request,
                    outcome: Outcome::Error | Outcome::Reset | Outcome::TimedOut,
                    ..
                },
            ) => out.push(Action::Reject {
                request: *request,
                retry_after: None,
            }),
            (
                InjectedDefect::RepeatsAll,
                Event::AttemptEnded {
                    request,
                    outcome: Outcome::Reset,
                    ..
                },
            ) if self.resend(*request, out) => {
                return;
            }
            (InjectedDefect::FloodsNewest, Event::Request { id, .. }) => {
                if let Some((_, endpoint_id)) = self.newest {
                    return out.push(Action::Forward {
                        request: *id,
                        endpoint: endpoint_id,
                        timeout: None,
                        start_by: None,
                    });
                }
            }
            _ => {}
        }
        self.inner.handle(now, event, out);
        for action in out.iter() {
            if let Action::Forward {
                request,
                endpoint: endpoint_id,
                ..
            } = action
            {
                self.sent.entry(*request).or_insert((*endpoint_id, 0)).0 = *endpoint_id;
            }
        }
    }
}
