//! A scenario's faults as single steps in time.

use balancer::Millis;

use crate::ledger::{ProxyId, ServerId};
use crate::scenario::{FaultKind, Scenario};

/// What happens at one moment. Faults are places in the scenario's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A fault begins at the servers that it strikes.
    Begin(usize),
    /// It ends.
    End(usize),
    /// So many servers are replaced.
    Replace(usize, usize),
    /// A server leaves for good.
    Leave(usize),
    /// A server's process ends.
    Stop(ServerId),
    /// Proxies are killed or told to end.
    Proxies(usize),
    /// A proxy is started.
    Start(ProxyId),
    /// Zones are partitioned, or no longer.
    Part,
    /// An attempt's connection breaks while its server holds it.
    Break(ServerId, u64),
}

/// The steps that are known from the start.
pub fn steps(s: &Scenario) -> Vec<(Millis, Step)> {
    let mut steps = Vec::new();
    for (i, f) in s.faults.iter().enumerate() {
        let servers = s.fleet.servers as f64;
        let struck = ((f.share.map_or(0.0, |s| s.0) * servers).round() as usize).max(1);
        match f.kind {
            FaultKind::RollingDeploy => {
                let batch = ((f.batch.map_or(0.0, |b| b.0) * servers).round() as usize).clamp(1, struck);
                let batches = struck.div_ceil(batch);
                for b in 0..batches {
                    let at = f.at.0 + f.span.0 * b as f64 / batches as f64;
                    steps.push((at, Step::Replace(i, batch.min(struck - b * batch))));
                }
            }
            FaultKind::Shrink => {
                for n in 0..struck {
                    steps.push((f.at.0 + f.span.0 * n as f64 / struck as f64, Step::Leave(i)));
                }
            }
            FaultKind::ProxyKill | FaultKind::ProxyRestart => steps.push((f.at.0, Step::Proxies(i))),
            FaultKind::Slow | FaultKind::Hang | FaultKind::RefuseConnects | FaultKind::Errors => {
                steps.push((f.at.0, Step::Begin(i)));
                steps.push((f.at.0 + f.span.0, Step::End(i)));
            }
            FaultKind::Partition => {
                steps.push((f.at.0, Step::Part));
                steps.push((f.at.0 + f.span.0, Step::Part));
            }
            // These strike messages, the list or the load: they hold while their time does.
            FaultKind::Resets
            | FaultKind::LostAnswers
            | FaultKind::ListSilent
            | FaultKind::ListStale
            | FaultKind::LoadStep
            | FaultKind::Launch
            | FaultKind::Impatient
            | FaultKind::SlowReaders
            | FaultKind::Garbage
            // These are done to processes, not to the world.
            | FaultKind::Upgrade
            | FaultKind::Drain
            | FaultKind::Retune
            | FaultKind::LargeBodies => {}
        }
    }
    steps
}
