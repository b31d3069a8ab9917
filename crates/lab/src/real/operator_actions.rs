//! Operator actions on proxies during a run: upgrades, drains, and temporary settings changes.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use tokio::task::spawn_local;
use tokio::time::sleep_until;

use super::proxies::Proxy;
use super::run_state::RunState;
use crate::scenario::{Fault, FaultKind, Scenario};

/// Returns whether a scenario has a fault of one of these kinds.
pub fn has(scenario: &Scenario, kinds: &[FaultKind]) -> bool {
    scenario.faults.iter().any(|f| kinds.contains(&f.kind))
}

/// Schedules the operator actions of the scenario. An error is stored in `failed`, which makes the run fail.
pub fn schedule(run: &Rc<RunState>, proxies: &[Rc<Proxy>], failed: &Rc<Cell<Option<io::Error>>>) {
    for (number, fault) in run.scenario.faults.iter().enumerate() {
        if !matches!(
            fault.kind,
            FaultKind::Upgrade | FaultKind::Drain | FaultKind::Retune
        ) {
            continue;
        }
        let share = fault.share.map_or(0.0, |s| s.0);
        let count = ((share * proxies.len() as f64).round() as usize).clamp(1, proxies.len());
        // Consecutive faults affect different proxies.
        for place in 0..count {
            let proxy = proxies[(number + place) % proxies.len()].clone();
            let (run, fault, failed) = (run.clone(), fault.clone(), failed.clone());
            spawn_local(async move {
                if let Err(e) = perform(&run, &fault, &proxy).await {
                    failed.set(Some(e));
                }
            });
        }
    }
}

async fn perform(run: &RunState, fault: &Fault, proxy: &Proxy) -> io::Result<()> {
    sleep_until(run.instant(fault.at.0)).await;
    let end = run.instant(fault.at.0 + fault.span.0);
    match fault.kind {
        FaultKind::Upgrade => proxy.upgrade().await,
        FaultKind::Drain => {
            proxy.drain(true).await?;
            sleep_until(end).await;
            proxy.drain(false).await
        }
        _ => {
            proxy.reconfigure(true)?;
            sleep_until(end).await;
            proxy.reconfigure(false)
        }
    }
}
