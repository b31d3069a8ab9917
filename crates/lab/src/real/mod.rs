//! Runs a scenario on real sockets: proxy processes, and the emulated servers, list and clients on 127.0.0.1.
//!
//! The load is open-loop: arrivals are drawn before the run, and latencies are measured from the intended send time. A
//! run in which the load generator itself was late is reported as void.

mod clients;
mod full_backlog;
pub mod http;
mod list_agent;
mod operator_actions;
mod proxies;
pub mod reserved_port;
mod run_state;
mod servers;

use std::cell::Cell;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::experiment::Run;
use crate::load;
use crate::scenario::Scenario;
use crate::world::ListState;
use clients::Clients;
use list_agent::Agent;
use proxies::Proxy;
pub use proxies::{cpu_seconds, resident_mb, settings_json};
use run_state::{RunEvent, RunState};
use servers::Servers;

/// Tolerance added to the time limits of the rules on real sockets, in ms.
const SOCKET_SLACK_MS: f64 = 50.0;
/// Maximum delay of first attempts at the 99th percentile, in ms; above it, the load generator was the bottleneck.
const MAX_SEND_DELAY_MS: f64 = 25.0;
/// Time from when all proxies are up to the start of the run.
const START_DELAY: Duration = Duration::from_millis(200);

/// Measurements of a run on real sockets, in addition to its score.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measured {
    /// CPU time of all proxies per client attempt, in µs.
    pub cpu_us: f64,
    /// Delay of first attempts against their schedule, in ms: median and 99th percentile.
    pub late_ms: (f64, f64),
}

/// Runs a scenario on real sockets. `command` starts a proxy, which finds its configuration by `NODE_CONFIG`; files are
/// written to `dir`. `tick` is called with the completed fraction of the run.
///
/// # Errors
/// Fails if a proxy can't be started or a socket is not available; everything started is stopped.
pub fn run_scenario(
    scenario: &Arc<Scenario>,
    name: &str,
    seed: u64,
    command: &[String],
    dir: &Path,
    tick: impl FnMut(f64) + 'static,
) -> io::Result<(Run, Measured)> {
    std::fs::create_dir_all(dir)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let outcome = LocalSet::new().block_on(
        &runtime,
        run(scenario.clone(), name, seed, command, dir, tick),
    );
    runtime.shutdown_background();
    outcome
}

async fn run(
    scenario: Arc<Scenario>,
    name: &str,
    seed: u64,
    command: &[String],
    dir: &Path,
    mut tick: impl FnMut(f64) + 'static,
) -> io::Result<(Run, Measured)> {
    // From here on an interrupt is queued until it is received, also while proxies start.
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut rules = (*scenario).clone();
    rules.rules.answer_slack.0 += SOCKET_SLACK_MS;
    rules.rules.drain_grace.0 += SOCKET_SLACK_MS;
    let scenario = Arc::new(rules);
    let requests = load::draw_requests(&scenario, seed);
    // The run's time starts once all proxies are up; until then it is zero.
    let begin = Instant::now() + Duration::from_secs(3600);
    let state = RunState::new(scenario.clone(), seed, requests, begin);
    let servers = Servers::new(state.clone());
    let listed = state.world.borrow().listed();
    for entry in &listed {
        servers.open(entry.server)?;
    }
    let mut proxies = Vec::new();
    let mut agents = Vec::new();
    for number in 0..scenario.proxies.count {
        let agent = Agent::new(state.clone(), servers.clone(), number);
        let discovery = agent.listen().await?;
        let proxy = Proxy::new(
            state.clone(),
            number,
            command.to_vec(),
            discovery,
            agent.clone(),
            seed,
            dir,
        )?;
        agents.push(agent);
        proxies.push(proxy);
    }
    for proxy in &proxies {
        proxy.start().await?;
    }
    state.begin(Instant::now() + START_DELAY);
    let failed: Rc<Cell<Option<io::Error>>> = Rc::default();
    let world_task = spawn_local(
        state
            .clone()
            .drive_world(run_events(&agents, &proxies, &servers, &failed)),
    );
    for proxy in &proxies {
        spawn_local(proxy.clone().watch());
    }
    let clients = Clients::new(state.clone(), proxies.clone(), seed);
    spawn_local(clients.clone().send_garbage());
    spawn_local(log_faults(state.clone()));
    operator_actions::schedule(&state, &proxies, &failed);
    let length = scenario.length.0;
    let progress = state.clone();
    spawn_local(async move {
        loop {
            tick((progress.now() / length).min(1.0));
            sleep(Duration::from_millis(200)).await;
        }
    });
    let cpu = |proxies: &[Rc<Proxy>]| proxies.iter().map(|p| p.cpu_seconds()).sum::<f64>();
    let before = cpu(&proxies);
    let partial = tokio::select! {
        () = clients.clone().send_all() => false,
        _ = interrupt.recv() => true,
    };
    let used = cpu(&proxies) - before;
    state.ledger.borrow_mut().ended_at = state.now();
    // The ledger is copied now; process exits from here on are part of the shutdown.
    let ledger = state.ledger.borrow().clone();
    world_task.abort();
    for proxy in &proxies {
        proxy.stop().await;
    }
    if let Some(e) = failed.take() {
        return Err(e);
    }
    let served: Vec<Option<f64>> = state.served.borrow().iter().map(|(at, _)| *at).collect();
    let sent = ledger.client_attempts.len().max(1) as f64;
    let mut late = clients.send_delays.borrow().clone();
    late.sort_by(f64::total_cmp);
    let at = |q: f64| {
        late.get(((late.len() as f64 * q) as usize).min(late.len().saturating_sub(1)))
            .copied()
    };
    let late_ms = (at(0.5).unwrap_or(0.0), at(0.99).unwrap_or(0.0));
    let mut run = Run::new(
        scenario,
        name,
        seed,
        ledger,
        state.requests.clone(),
        &served,
    );
    run.partial = partial;
    run.void = (late_ms.1 > MAX_SEND_DELAY_MS).then(|| {
        format!(
            "the load generator was late by {:.1} ms at the 99th percentile, {MAX_SEND_DELAY_MS} ms are allowed",
            late_ms.1
        )
    });
    for broken in &run.broken {
        tracing::warn!(at_ms = broken.at, rule = ?broken.rule, "rule broken: {broken}");
    }
    let share = run.score.whole.share;
    tracing::info!(
        seed,
        share,
        broken = run.broken.len(),
        partial,
        void = run.void,
        "run is over"
    );
    Ok((
        run,
        Measured {
            cpu_us: 1e6 * used / sent,
            late_ms,
        },
    ))
}

/// Logs the begin and end of each fault.
async fn log_faults(run: Rc<RunState>) {
    let faults = &run.scenario.faults;
    let begins = faults.iter().map(|f| (f.at.0, f.kind, "fault begins"));
    let ends = faults
        .iter()
        .map(|f| (f.at.0 + f.span.0, f.kind, "fault ends"));
    let mut marks: Vec<_> = begins.chain(ends).collect();
    marks.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at_ms, kind, what) in marks {
        sleep_until(run.instant(at_ms)).await;
        tracing::info!(at_ms, ?kind, "{what}");
    }
}

/// Returns the handler of events that concern servers, agents and proxies.
fn run_events(
    agents: &[Rc<Agent>],
    proxies: &[Rc<Proxy>],
    servers: &Rc<Servers>,
    failed: &Rc<Cell<Option<io::Error>>>,
) -> impl FnMut(RunEvent) + use<> {
    let (agents, proxies, servers, failed) = (
        agents.to_vec(),
        proxies.to_vec(),
        servers.clone(),
        failed.clone(),
    );
    move |event| {
        let outcome = match event {
            RunEvent::ListChanged(entry) => {
                let outcome = match entry.state {
                    ListState::Up => servers.open(entry.server),
                    ListState::Draining => Ok(()),
                    ListState::Removed => {
                        servers.end(entry.server);
                        Ok(())
                    }
                };
                agents.iter().for_each(|a| a.announce(entry.clone()));
                outcome
            }
            RunEvent::RefusingConnections(server, true) => {
                servers.close(server);
                Ok(())
            }
            RunEvent::RefusingConnections(server, false) => servers.open_again(server),
            RunEvent::PartitionChanged => {
                servers.notify_partition_change();
                Ok(())
            }
            RunEvent::KillProxy(proxy) => {
                let proxy = proxies[proxy].clone();
                spawn_local(async move { proxy.kill().await });
                Ok(())
            }
            RunEvent::TerminateProxy(proxy) => {
                proxies[proxy].terminate();
                Ok(())
            }
            RunEvent::StartProxy(proxy) => {
                let (proxy, failed) = (proxies[proxy].clone(), failed.clone());
                spawn_local(async move {
                    proxy.stop().await;
                    if let Err(e) = proxy.start().await {
                        failed.set(Some(e));
                    }
                });
                Ok(())
            }
        };
        if let Err(e) = outcome {
            failed.set(Some(e));
        }
    }
}
