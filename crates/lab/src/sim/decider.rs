//! What decides in a simulated proxy: the decision module, or one made to break a rule.

use balancer::{Action, Balancer, EndpointId, Event, Millis, Outcome, RequestId, Settings};
use rustc_hash::FxHashMap;

/// Takes events with their time and says what is to be done; [`Balancer::handle`]'s contract.
pub trait Decider {
    /// Takes in one event and appends what is to be done, in order.
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>);
}

impl Decider for Balancer {
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }
}

/// How a decider is broken, so that the oracle can be seen to notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedDefect {
    /// Every 50th request is forgotten, and the proxy's own last resort with it.
    LosesRequests,
    /// What failed is sent again, whether it may have run or not.
    RepeatsAll,
    /// What failed is refused, whether it may have run or not.
    RefusesAll,
    /// The news of drains and ends is not heard.
    IgnoresDrains,
    /// All goes to the newest server.
    FloodsNewest,
}

impl InjectedDefect {
    /// All of them, with the names that the command line has for them.
    pub const ALL: [(&str, InjectedDefect); 5] = [
        ("loses-requests", InjectedDefect::LosesRequests),
        ("repeats-all", InjectedDefect::RepeatsAll),
        ("refuses-all", InjectedDefect::RefusesAll),
        ("ignores-drains", InjectedDefect::IgnoresDrains),
        ("floods-newest", InjectedDefect::FloodsNewest),
    ];
}

/// A decision module with a fault put in.
pub struct DefectiveBalancer {
    inner: Balancer,
    defect: InjectedDefect,
    newest: Option<(Millis, EndpointId)>,
    /// Where each request went last, and how often it was sent again.
    sent: FxHashMap<RequestId, (EndpointId, u32)>,
}

impl DefectiveBalancer {
    /// A module broken in one way.
    pub fn new(settings: Settings, seed: u64, defect: InjectedDefect) -> Self {
        DefectiveBalancer {
            inner: Balancer::new(settings, seed),
            defect,
            newest: None,
            sent: FxHashMap::default(),
        }
    }

    /// Sends a request again to where it has just failed, twice at most.
    fn resend(&mut self, request: RequestId, out: &mut Vec<Action>) -> bool {
        let Some((backend, again)) = self.sent.get_mut(&request).filter(|(_, again)| *again < 2)
        else {
            return false;
        };
        *again += 1;
        out.push(Action::Forward {
            request,
            endpoint: *backend,
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
                if let Some((_, backend)) = self.newest {
                    return out.push(Action::Forward {
                        request: *id,
                        endpoint: backend,
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
                endpoint: backend,
                ..
            } = action
            {
                self.sent.entry(*request).or_insert((*backend, 0)).0 = *backend;
            }
        }
    }
}
