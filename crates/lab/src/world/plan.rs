//! Converts a scenario's faults to scheduled steps.

use balancer::Millis;

use crate::ledger::{ProxyId, ServerId};
use crate::scenario::{FaultKind, Scenario};

/// A scheduled step. Faults are given as indices into the scenario's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A fault begins at its target servers.
    BeginFault(usize),
    /// A fault ends.
    EndFault(usize),
    /// The given number of servers is replaced, for the given fault.
    ReplaceServers(usize, usize),
    /// A server is removed.
    RemoveServer(usize),
    /// A server process exits.
    StopServer(ServerId),
    /// Proxies are killed or told to exit.
    StopProxies(usize),
    /// A proxy is started.
    StartProxy(ProxyId),
    /// A network partition begins or ends.
    PartitionChange,
    /// An attempt's connection breaks while its server processes it.
    BreakConnection(ServerId, u64),
}

/// Returns the steps that are known from the start.
pub fn steps(s: &Scenario) -> Vec<(Millis, Step)> {
    let mut steps = Vec::new();
    for (i, f) in s.faults.iter().enumerate() {
        let servers = s.fleet.servers as f64;
        let targets = ((f.share.map_or(0.0, |s| s.0) * servers).round() as usize).max(1);
        match f.kind {
            FaultKind::RollingDeploy => {
                let batch = ((f.batch.map_or(0.0, |b| b.0) * servers).round() as usize).clamp(1, targets);
                let batches = targets.div_ceil(batch);
                for b in 0..batches {
                    let at = f.at.0 + f.span.0 * b as f64 / batches as f64;
                    steps.push((at, Step::ReplaceServers(i, batch.min(targets - b * batch))));
                }
            }
            FaultKind::Shrink => {
                for n in 0..targets {
                    steps.push((f.at.0 + f.span.0 * n as f64 / targets as f64, Step::RemoveServer(i)));
                }
            }
            FaultKind::ProxyKill | FaultKind::ProxyRestart => steps.push((f.at.0, Step::StopProxies(i))),
            FaultKind::Slow | FaultKind::Hang | FaultKind::RefuseConnects | FaultKind::Errors => {
                steps.push((f.at.0, Step::BeginFault(i)));
                steps.push((f.at.0 + f.span.0, Step::EndFault(i)));
            }
            FaultKind::Partition => {
                steps.push((f.at.0, Step::PartitionChange));
                steps.push((f.at.0 + f.span.0, Step::PartitionChange));
            }
            // These affect messages, the list or the load and are active for their time span.
            FaultKind::Resets
            | FaultKind::LostAnswers
            | FaultKind::ListSilent
            | FaultKind::ListStale
            | FaultKind::LoadStep
            | FaultKind::Launch
            | FaultKind::Impatient
            | FaultKind::SlowReaders
            | FaultKind::Garbage
            // These apply to proxy processes, not to the world.
            | FaultKind::Upgrade
            | FaultKind::Drain
            | FaultKind::Retune
            | FaultKind::LargeBodies => {}
        }
    }
    steps
}
