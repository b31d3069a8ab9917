//! Startup of a cluster member: checks the conditions until requests may be accepted, and reports the progress to
//! operators.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::json;
use startup::{Conditions, Membership, Phase, Readiness, StartupSequence, StartupSettings};
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::call::Reply;
use crate::cluster_api::{ForwardedCall, no_cluster};
use crate::http::{Api, PlaneCommand};
use crate::problem::Problem;

/// Interval between two checks during startup.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Progress of a startup, shared by the API's thread and its callers.
pub struct StartupProgress {
    started: Instant,
    sequence: Mutex<StartupSequence>,
}

impl StartupProgress {
    /// Creates the progress of a process that started at `started` and has opened its store.
    pub fn new(started: Instant, settings: StartupSettings) -> Self {
        let mut sequence = StartupSequence::new(0, settings);
        sequence.store_opened(elapsed_us(started));
        StartupProgress {
            started,
            sequence: Mutex::new(sequence),
        }
    }

    fn update<T>(&self, operation: impl FnOnce(&mut StartupSequence, u64) -> T) -> T {
        let now = elapsed_us(self.started);
        operation(
            &mut self.sequence.lock().unwrap_or_else(PoisonError::into_inner),
            now,
        )
    }
}

fn elapsed_us(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}

impl Api {
    /// Waits until requests may be accepted, and then accepts them.
    pub async fn run_startup(self: Arc<Self>) {
        let Some(cluster) = self.cluster() else {
            return;
        };
        let mut last_phase = Phase::Store;
        loop {
            let (sender, receiver) = oneshot::channel();
            self.send(PlaneCommand::ReportStartup(sender));
            let Ok((open_version, _tenants, unknown)) = receiver.await else {
                return;
            };
            let Some(status) = cluster.status().await else {
                return;
            };
            let conditions = Conditions {
                membership: Membership::new(status.id != 0, status.leader.is_some()),
                is_policy_current: open_version.is_some()
                    && status.deciding_version == open_version,
                unknown_lists: unknown,
            };
            let (readiness, report) = cluster
                .startup
                .update(|sequence, now| (sequence.update(now, conditions), sequence.report(now)));
            if report.phase != last_phase {
                last_phase = report.phase;
                let waits_for = report.waits_for.as_str();
                tracing::info!(
                    phase = report.phase.name(),
                    waits_for,
                    "startup phase entered"
                );
            }
            match readiness {
                Readiness::NotReady => sleep(CHECK_INTERVAL).await,
                Readiness::Ready => break,
                Readiness::ReadyWithUnknownLists => {
                    let lists = report.unknown_lists.join(", ");
                    tracing::warn!(
                        lists,
                        "accepting requests although the lists of some tenants are unknown; their requests are rejected"
                    );
                    break;
                }
            }
        }
        self.send(PlaneCommand::AcceptRequests);
    }

    /// Returns the progress of this instance's startup.
    pub(crate) async fn recovery(&self, forwarded: &ForwardedCall) -> Result<Reply, Problem> {
        let cluster = self.cluster().ok_or_else(no_cluster)?;
        self.admin_state()
            .authenticate(forwarded.authorization.as_deref(), forwarded.now_ms)?
            .authorize(crate::access::Permission::AllTenants)?;
        let report = cluster.startup.update(|sequence, now| sequence.report(now));
        let status = cluster.status().await;
        let (name, fenced) = status
            .map(|s| (s.name, s.fenced_reason))
            .unwrap_or_default();
        Ok(Reply::ok(
            json!({ "name": name, "fenced": fenced, "start": report }),
        ))
    }
}
