//! The start of an instance of a cluster: what is known is looked at until requests may be taken, and operators are told how far it is.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::json;
use startup::{Conditions, Membership, Phase, Readiness, StartupSequence, StartupSettings};
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::call::Reply;
use crate::http::{Api, Order};
use crate::problem::Problem;
use crate::together::{Passed, no_cluster};

/// From one look to the next, until requests are taken.
const LOOK: Duration = Duration::from_millis(20);

/// A start, as the API's thread and its callers share it.
pub struct Starting {
    began: Instant,
    start: Mutex<StartupSequence>,
}

impl Starting {
    /// A process that began then, and has read its store.
    pub fn new(began: Instant, settings: StartupSettings) -> Self {
        let mut start = StartupSequence::new(0, settings);
        start.store_opened(micros(began));
        Starting {
            began,
            start: Mutex::new(start),
        }
    }

    fn with<T>(&self, look: impl FnOnce(&mut StartupSequence, u64) -> T) -> T {
        let now = micros(self.began);
        look(
            &mut self.start.lock().unwrap_or_else(PoisonError::into_inner),
            now,
        )
    }
}

fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}

impl Api {
    /// Lets requests in once they may be taken.
    pub async fn begin(self: Arc<Self>) {
        let Some(together) = self.together() else {
            return;
        };
        let mut last = Phase::Store;
        loop {
            let (tell, told) = oneshot::channel();
            self.give(Order::Known(tell));
            let Ok((open, _tenants, unknown)) = told.await else {
                return;
            };
            let Some(status) = together.status().await else {
                return;
            };
            let conditions = Conditions {
                membership: Membership::new(status.id != 0, status.leader.is_some()),
                is_policy_current: open.is_some() && status.deciding_version == open,
                unknown_lists: unknown,
            };
            let (readiness, report) = together
                .start
                .with(|start, now| (start.update(now, conditions), start.report(now)));
            if report.phase != last {
                last = report.phase;
                let waits_for = report.waits_for.as_str();
                tracing::info!(
                    phase = report.phase.name(),
                    waits_for,
                    "startup phase entered"
                );
            }
            match readiness {
                Readiness::NotReady => sleep(LOOK).await,
                Readiness::Ready => break,
                Readiness::ReadyWithUnknownLists => {
                    let lists = report.unknown_lists.join(", ");
                    tracing::warn!(
                        lists,
                        "takes requests though some tenants' lists are not known: theirs are refused"
                    );
                    break;
                }
            }
        }
        self.give(Order::Take);
    }

    /// How far this instance's start is.
    pub(crate) async fn recovery(&self, passed: &Passed) -> Result<Reply, Problem> {
        let together = self.together().ok_or_else(no_cluster)?;
        self.desk()
            .who(passed.authorization.as_deref(), passed.now_ms)?
            .may(crate::access::Needs::Oversee)?;
        let report = together.start.with(|start, now| start.report(now));
        let status = together.status().await;
        let (name, fenced) = status
            .map(|s| (s.name, s.fenced_reason))
            .unwrap_or_default();
        Ok(Reply::of(
            json!({ "name": name, "fenced": fenced, "start": report }),
        ))
    }
}
