//! `canvascart lab`: runs scenarios and reports the results.

mod capacity;
mod hollow;
mod hosted;
mod together;

use std::io::{IsTerminal as _, Write as _};
use std::net::{IpAddr, SocketAddr};
use std::num::NonZero;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use ::lab::experiment::{self, Run};
use ::lab::faulty_proxy::{self, ProxyDefect};
use ::lab::price::{self, Price};
use ::lab::scenario::Scenario;
use ::lab::sim::decider::InjectedDefect;
use ::lab::{floods, real, report, shares, shipped};
use indicatif::{ProgressBar, ProgressStyle};

/// Exit code: a rule was broken.
const BROKEN: u8 = 1;
/// Exit code: a run failed, or its report could not be written.
const NOT_RUN: u8 = 3;
/// Maximum of rule violations printed per run of a comparison.
const MAX_SHOWN_VIOLATIONS: usize = 3;
const EXIT_CODES_HELP: &str =
    "Exit codes: 0 all rules kept, 1 a rule broken, 2 wrong usage or scenario, 3 could not run.";

#[derive(clap::Subcommand)]
pub enum Command {
    /// Lists the included scenarios.
    List,
    /// Checks a scenario and reports all its problems.
    #[command(after_help = EXIT_CODES_HELP)]
    Check(ScenarioArguments),
    /// Runs a scenario on real sockets: proxy processes with an emulated fleet on 127.0.0.1.
    #[command(after_help = EXIT_CODES_HELP)]
    Run {
        #[command(flatten)]
        which: ScenarioArguments,
        #[command(flatten)]
        how: RunArguments,
        /// Command that starts a proxy, which reads the configuration named by NODE_CONFIG; without it, the proxy in this program.
        #[arg(long, value_name = "COMMAND")]
        proxy: Option<String>,
    },
    /// Runs a scenario in virtual time with only the decision module.
    #[command(after_help = EXIT_CODES_HELP)]
    Sim {
        #[command(flatten)]
        which: ScenarioArguments,
        #[command(flatten)]
        how: RunArguments,
        /// Injects this defect into the module, to test that the oracle detects it.
        #[arg(long, value_parser = sabotage)]
        sabotage: Option<InjectedDefect>,
    },
    /// Runs a scenario with two settings or two proxies, seed by seed, and prints the difference.
    #[command(after_help = EXIT_CODES_HELP)]
    Compare {
        /// The first side: settings such as load.level=60% (several with commas), "-" for the scenario as it is, or
        /// proxy:COMMAND for a proxy on real sockets ("proxy:-" for the one in this program).
        a: String,
        /// The second side.
        b: String,
        #[command(flatten)]
        which: ScenarioArguments,
        /// Number of seeds.
        #[arg(long, default_value_t = 10)]
        repeat: u64,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Measures the cost of a request through the proxy, compared with a direct connection and a plain pass-through proxy.
    #[command(after_help = EXIT_CODES_HELP)]
    Price {
        /// Numbers of servers, one run for each.
        #[arg(long, value_delimiter = ',', default_value = "10,100,1000")]
        servers: Vec<usize>,
        /// Connections, each of which sends its next request after the response.
        #[arg(long, default_value_t = 64)]
        connections: usize,
        /// Duration of each measurement in seconds.
        #[arg(long, default_value_t = 3)]
        seconds: u64,
        /// Rounds, each of which measures all targets.
        #[arg(long, default_value_t = 3)]
        repeat: usize,
        /// Command that starts a proxy; without it, the proxy in this program.
        #[arg(long, value_name = "COMMAND")]
        proxy: Option<String>,
    },
    /// Prints saved results of runs, one line per run.
    #[command(after_help = EXIT_CODES_HELP)]
    Report {
        /// Directories of runs, or directories that contain them.
        #[arg(required = true)]
        dirs: Vec<PathBuf>,
    },
    /// Floods the hosted service through one of two tenants, and measures the other before and during the flood.
    #[command(after_help = EXIT_CODES_HELP)]
    Floods {
        /// Only this kind of flood.
        #[arg(long, value_parser = flood_kind)]
        kind: Option<floods::Kind>,
        /// Duration of each half of a run in seconds.
        #[arg(long, default_value_t = 4)]
        seconds: u64,
        /// Runs of each kind, with different seeds.
        #[arg(long, default_value_t = 3)]
        repeat: u64,
        /// Floods a second process with the same configuration: shows the effect of the machine without the shared process.
        #[arg(long)]
        apart: bool,
        /// Keeps changing the quiet tenant through the administration API.
        #[arg(long)]
        changing: bool,
        /// Command that starts a service and accepts the arguments of `canvascart`; without it, this program.
        #[arg(long, value_name = "COMMAND")]
        service: Option<String>,
    },
    /// Kills the hosted service repeatedly during changes and checks that one complete version survives each time.
    #[command(after_help = EXIT_CODES_HELP)]
    Kills {
        /// Number of kills.
        #[arg(long, default_value_t = 500)]
        kills: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Changes the policy of a cluster of processes while some are killed, stopped and partitioned.
    #[command(after_help = EXIT_CODES_HELP)]
    Changes {
        /// Number of processes.
        #[arg(long, default_value_t = 12)]
        instances: usize,
        /// Changes per seed.
        #[arg(long, default_value_t = 25)]
        changes: u64,
        /// Number of seeds.
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// First seed.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Fleets that run concurrently, each with its own seed.
        #[arg(long, default_value_t = 1)]
        at_once: usize,
        /// Behaviour of an instance that is cut off from all others.
        #[arg(long, value_name = "refuse|serve", default_value = "refuse")]
        when_cut_off: String,
        /// Measures the cost of a request instead: without [cluster], and at one instance of 1 and of 3, alternately.
        #[arg(long, conflicts_with = "pace")]
        cost: bool,
        /// Measures the latency of changes instead, with each of these numbers of processes and with a standalone process.
        #[arg(long, value_delimiter = ',', value_name = "N,N")]
        pace: Option<Vec<usize>>,
        /// With --pace: also measures this number of instances in virtual time.
        #[arg(long, value_name = "N", requires = "pace")]
        in_virtual_time: Option<usize>,
    },
    /// Kills most processes of a cluster at once under load and measures the recovery.
    #[command(after_help = EXIT_CODES_HELP)]
    Recover {
        /// Number of processes.
        #[arg(long, default_value_t = 12)]
        instances: usize,
        /// Percentage of processes to kill.
        #[arg(long, default_value_t = 70)]
        killed: usize,
        /// Number of seeds, starting at 1.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// Measures the hosted service with many tenants, most of them idle, compared with a single tenant.
    #[command(after_help = EXIT_CODES_HELP)]
    Tenants {
        /// Number of tenants.
        #[arg(long, default_value_t = 1000)]
        count: usize,
        /// Changes under load.
        #[arg(long, default_value_t = 200)]
        changes: u64,
        /// Idle time in seconds before the measurement: a pool is inactive after 10, its connections are closed after 15.
        #[arg(long, default_value_t = 18)]
        idle: u64,
    },
    /// Measures how a fleet in etcd is followed, with an emulated etcd.
    #[command(after_help = EXIT_CODES_HELP)]
    Followers {
        /// Sizes of the server list.
        #[arg(long, value_delimiter = ',', default_value = "100,1000,10000")]
        servers: Vec<usize>,
        /// Number of removals under load.
        #[arg(long, default_value_t = 20)]
        removals: usize,
        /// Skips the measurement of 100 followers that reconnect.
        #[arg(long)]
        no_stampede: bool,
    },
    /// Measures the cost of each part by size, with fitted lines and their values at the operators' target.
    #[command(after_help = EXIT_CODES_HELP)]
    Capacity(capacity::CapacityArguments),
    /// Compares algorithms that share one process between tenants, in virtual time.
    Shares {
        /// Number of seeds.
        #[arg(long, default_value_t = 5)]
        repeat: u64,
        /// Prints JSON: one line per algorithm.
        #[arg(long)]
        json: bool,
    },
    /// Runs emulated cluster members, controlled through standard input.
    #[command(hide = true)]
    Hollow,
    /// Sweeps over numbers of emulated members, or their state sizes.
    #[command(hide = true)]
    Members(hollow::MembersArguments),
    /// Helper processes of the price measurement.
    #[command(subcommand, hide = true)]
    Peer(Peer),
    /// A proxy with a defect, to test that the oracle detects it; a command for `run --proxy`.
    #[command(hide = true)]
    Rogue {
        #[arg(value_parser = wrong)]
        wrong: ProxyDefect,
    },
    /// Runs a scenario with one setting varied, and prints one line per value.
    #[command(after_help = EXIT_CODES_HELP)]
    Sweep {
        #[command(flatten)]
        which: ScenarioArguments,
        /// Setting, such as load.level, fleet.servers or proxies.count.
        key: String,
        /// Values of the setting.
        #[arg(required = true)]
        values: Vec<String>,
        /// Seeds per value.
        #[arg(long, default_value_t = 3)]
        repeat: u64,
        /// Runs one at a time, so that runs do not disturb the CPU times of others.
        #[arg(long)]
        alone: bool,
        /// Prints JSON: one line per value.
        #[arg(long)]
        json: bool,
        /// Writes a directory for each run, by value and seed.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
}

#[derive(clap::Subcommand)]
pub enum Peer {
    /// Responds to each request; prints its addresses as a line of JSON.
    Responder {
        #[arg(long)]
        count: usize,
        /// IP address to listen on.
        #[arg(long, default_value = "127.0.0.1")]
        host: IpAddr,
        /// Delay of a response in milliseconds.
        #[arg(long, default_value_t = 0)]
        work: u64,
    },
    /// Forwards requests to the addresses read as a line of JSON, without routing decisions.
    PassThrough,
}

/// A scenario and overrides of its keys.
#[derive(clap::Args)]
pub struct ScenarioArguments {
    /// Name of an included scenario, or a file.
    scenario: String,
    /// Overrides a key, such as load.level=80%.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    sets: Vec<String>,
}

/// Which seeds are run, and where the results go.
#[derive(clap::Args)]
pub struct RunArguments {
    /// Random seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs, each with the next seed.
    #[arg(long, default_value_t = 1)]
    repeat: u64,
    /// Prints JSON: one line per run.
    #[arg(long)]
    json: bool,
    /// Writes a directory with figures, evidence and a page for each run.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
}

/// Finds a value by its name.
fn named<T: Copy>(all: &[(&str, T)], name: &str) -> Result<T, String> {
    let names = || all.iter().map(|(n, _)| *n).collect::<Vec<_>>().join(", ");
    all.iter()
        .find(|(n, _)| *n == name)
        .map(|(_, t)| *t)
        .ok_or_else(|| format!("one of {}", names()))
}

fn flood_kind(name: &str) -> Result<floods::Kind, String> {
    named(&floods::Kind::ALL, name)
}

fn sabotage(name: &str) -> Result<InjectedDefect, String> {
    named(&InjectedDefect::ALL, name)
}

fn wrong(name: &str) -> Result<ProxyDefect, String> {
    named(&ProxyDefect::ALL, name)
}

impl ScenarioArguments {
    fn read(&self, extra: &[String]) -> Result<Arc<Scenario>, String> {
        let sets: Vec<String> = self.sets.iter().chain(extra).cloned().collect();
        let text = match shipped::text(&self.scenario) {
            Some(text) => text.to_owned(),
            None => std::fs::read_to_string(&self.scenario).map_err(|e| {
                let names = shipped::ALL.map(|(n, _)| n).join(", ");
                format!("{}: {e}; the shipped scenarios are {names}", self.scenario)
            })?,
        };
        experiment::with_settings(&self.scenario, &text, &sets)
            .map(Arc::new)
            .map_err(|e| e.to_string())
    }
}

fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, NonZero::get)
}

fn settings(text: &str) -> Vec<String> {
    if text == "-" {
        Vec::new()
    } else {
        text.split(',').map(str::to_owned).collect()
    }
}

/// Prints and writes the results of runs; returns the exit code.
fn report_runs(runs: &[Run], json: bool, out: Option<&Path>) -> Result<u8, String> {
    let mut to = std::io::stdout().lock();
    for run in runs {
        let text = if json {
            format!("{}\n", report::json(run))
        } else {
            format!("{}\n", report::table(run))
        };
        to.write_all(text.as_bytes()).map_err(|e| e.to_string())?;
        if let Some(out) = out {
            let dir = if runs.len() > 1 {
                out.join(format!("seed-{}", run.seed))
            } else {
                out.to_owned()
            };
            if let Err(e) = report::write(&dir, run) {
                tracing::error!(dir = %dir.display(), error = %e, "the report could not be written");
                return Ok(NOT_RUN);
            }
            if !json {
                writeln!(to, "report: {}", dir.join("report.html").display())
                    .map_err(|e| e.to_string())?;
            }
        }
    }
    Ok(if runs.iter().all(|r| r.broken.is_empty()) {
        0
    } else {
        BROKEN
    })
}

pub fn run(command: Command) -> Result<u8, String> {
    match command {
        Command::List => {
            for (name, text) in shipped::ALL {
                let scenario = Scenario::parse(name, text).map_err(|e| e.to_string())?;
                println!("{name:<18} {}", scenario.title);
            }
            Ok(0)
        }
        Command::Check(which) => {
            let s = which.read(&[])?;
            println!(
                "{}: good; {:.0} first tries a second at {} servers",
                s.title,
                1000.0 * s.rate(),
                s.fleet.servers
            );
            Ok(0)
        }
        Command::Sim {
            which,
            how,
            sabotage,
        } => {
            let scenario = which.read(&[])?;
            let play =
                |n| experiment::simulate(&scenario, &which.scenario, how.seed + n as u64, sabotage);
            let runs = experiment::on_threads(how.repeat as usize, threads(), play);
            report_runs(&runs, how.json, how.out.as_deref())
        }
        Command::Run { which, how, proxy } => run_real(&which, &how, proxy.as_deref()),
        Command::Compare {
            a,
            b,
            which,
            repeat,
            json,
        } => compare(&which, &a, &b, repeat, json),
        Command::Price {
            servers,
            connections,
            seconds,
            repeat,
            proxy,
        } => prices(
            &servers,
            connections,
            Duration::from_secs(seconds),
            repeat,
            proxy.as_deref(),
        ),
        Command::Report { dirs } => Ok(report_saved_runs(&dirs)),
        Command::Peer(peer) => run_peer(peer),
        Command::Hollow => hollow::host(),
        Command::Members(arguments) => hollow::run(&arguments),
        Command::Floods {
            kind,
            seconds,
            repeat,
            apart,
            changing,
            service,
        } => {
            let kinds = floods::Kind::ALL
                .iter()
                .map(|(_, k)| *k)
                .filter(|k| kind.is_none_or(|only| only == *k));
            flood(
                &kinds.collect::<Vec<_>>(),
                Duration::from_secs(seconds),
                repeat,
                [apart, changing],
                service.as_deref(),
            )
        }
        Command::Kills { kills, seed } => hosted::kills(kills, seed),
        Command::Changes {
            changes,
            pace: Some(sizes),
            in_virtual_time,
            ..
        } => together::pace(&sizes, in_virtual_time, changes),
        Command::Recover {
            instances,
            killed,
            seeds,
        } => together::recover(instances, killed, seeds),
        Command::Changes { cost: true, .. } => together::cost(),
        Command::Changes {
            instances,
            changes,
            seeds,
            from,
            at_once,
            when_cut_off,
            pace: None,
            ..
        } => together::changes(instances, changes, (from, seeds), at_once, &when_cut_off),
        Command::Tenants {
            count,
            changes,
            idle,
        } => hosted::tenants(count, Duration::from_secs(idle), changes),
        Command::Capacity(arguments) => capacity::run(&arguments),
        Command::Followers {
            servers,
            removals,
            no_stampede,
        } => Ok(
            hosted::followers(&servers, removals, !no_stampede, &hosted::own_command()?)
                .unwrap_or_else(|e| {
                    tracing::error!(error = %e, "it could not be measured");
                    NOT_RUN
                }),
        ),
        Command::Shares { repeat, json } => {
            print_shares(
                "event loop's time",
                &shares::RATE_COLUMNS,
                &shares::compare_rate_algorithms(repeat),
                json,
            );
            print_shares(
                "stock",
                &shares::POOL_COLUMNS,
                &shares::compare_pool_algorithms(repeat),
                json,
            );
            Ok(0)
        }
        Command::Rogue { wrong } => {
            let config =
                std::env::var_os("NODE_CONFIG").ok_or("NODE_CONFIG names no configuration")?;
            faulty_proxy::run(wrong, Path::new(&config))
                .map(|()| 0)
                .map_err(|e| e.to_string())
        }
        Command::Sweep {
            which,
            key,
            values,
            repeat,
            alone,
            json,
            out,
        } => {
            let runs = sweep(&which, &key, &values, repeat, alone)?;
            print_sweep(&key, &values, &runs, json);
            if let Some(out) = out {
                for (value, run) in runs
                    .iter()
                    .flat_map(|(value, runs)| runs.iter().map(move |r| (value, r)))
                {
                    let dir = out
                        .join(file_name(value))
                        .join(format!("seed-{}", run.seed));
                    if let Err(e) = report::write(&dir, run) {
                        tracing::error!(dir = %dir.display(), error = %e, "the report could not be written");
                        return Ok(NOT_RUN);
                    }
                }
            }
            let kept = runs
                .iter()
                .flat_map(|(_, runs)| runs)
                .all(|r| r.broken.is_empty());
            Ok(if kept { 0 } else { BROKEN })
        }
    }
}

/// Prints the saved results of runs; returns the exit code.
fn report_saved_runs(dirs: &[PathBuf]) -> u8 {
    let mut runs = Vec::new();
    for dir in dirs {
        match report::read::runs(dir) {
            Ok(found) => runs.extend(found),
            Err(e) => {
                tracing::error!(error = %e, "a run could not be read");
                return NOT_RUN;
            }
        }
    }
    println!(
        "{:<18} {:>5} {:<8} {:>8} {:>8} {:>7} {:>8} {:>9} {:>9} {:>7}  folder",
        "scenario",
        "seed",
        "clock",
        "asked",
        "served",
        "share",
        "refused",
        "p50 ms",
        "p99 ms",
        "broken"
    );
    for run in &runs {
        let (whole, clock) = (
            &run.service.whole,
            if run.virtual_time {
                "virtual"
            } else {
                "sockets"
            },
        );
        let mark = match (&run.void, run.partial) {
            (Some(_), _) => " VOID",
            (None, true) => " PARTIAL",
            (None, false) => "",
        };
        println!(
            "{:<18} {:>5} {clock:<8} {:>8} {:>8} {:>7.3} {:>8.3} {:>9.1} {:>9.1} {:>7}  {}{mark}",
            run.scenario,
            run.seed,
            whole.asked,
            whole.served,
            whole.share,
            run.service.refused,
            whole.latency_ms[0],
            whole.latency_ms[2],
            run.broken.len(),
            run.dir.display()
        );
        for broken in run.broken.iter().take(3) {
            println!(
                "  {} at {:.3} s: {}",
                broken.rule,
                broken.at_ms / 1000.0,
                broken.evidence
            );
        }
    }
    if runs.iter().all(|r| r.broken.is_empty()) {
        0
    } else {
        BROKEN
    }
}

/// Returns the command that starts a proxy: the given one, or this program.
fn proxy_command(given: Option<&str>) -> Result<Vec<String>, String> {
    if let Some(given) = given {
        return Ok(given.split_whitespace().map(str::to_owned).collect());
    }
    let own = std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?;
    Ok(vec![own.display().to_string(), "proxy".into()])
}

/// Shows the progress of a run: a bar on a terminal, otherwise a log line at each 10 %.
fn progress(what: &str, quiet: bool) -> impl FnMut(f64) + 'static {
    let bar = (!quiet && std::io::stderr().is_terminal()).then(|| {
        let style = ProgressStyle::with_template("{msg} [{bar:40}] {percent} %");
        let bar = ProgressBar::new(1000).with_message(what.to_owned());
        style.map_or(bar.clone(), |style| bar.with_style(style))
    });
    let (what, mut last_tenths) = (what.to_owned(), 0);
    move |part| {
        let tenths = (part * 10.0) as u32;
        match &bar {
            Some(bar) => bar.set_position((part * 1000.0) as u64),
            None if !quiet && tenths > last_tenths => {
                last_tenths = tenths;
                tracing::info!(played = format_args!("{} %", tenths * 10), "{what}");
            }
            None => {}
        }
    }
}

fn run_real(
    which: &ScenarioArguments,
    how: &RunArguments,
    proxy: Option<&str>,
) -> Result<u8, String> {
    let scenario = which.read(&[])?;
    let command = proxy_command(proxy)?;
    let mut exit_code = 0;
    for seed in how.seed..how.seed + how.repeat.max(1) {
        let stem = Path::new(&which.scenario)
            .file_stem()
            .and_then(|s| s.to_str())
            .unwrap_or("run");
        let dir = match &how.out {
            Some(out) if how.repeat > 1 => out.join(format!("seed-{seed}")),
            Some(out) => out.clone(),
            None => std::env::temp_dir()
                .join("canvascart-lab")
                .join(format!("{stem}-{seed}")),
        };
        let on_progress = progress(&scenario.title, how.json);
        let played = real::run_scenario(
            &scenario,
            &which.scenario,
            seed,
            &command,
            &dir,
            on_progress,
        );
        let written =
            played.and_then(|(run, measured)| report::write(&dir, &run).map(|()| (run, measured)));
        let (run, measured) = match written {
            Ok(played) => played,
            Err(e) => {
                tracing::error!(scenario = which.scenario, error = %e, "it could not be run");
                return Ok(NOT_RUN);
            }
        };
        if how.json {
            println!("{}", report::json(&run));
        } else {
            println!("{}", report::table(&run));
            println!("proxies: {:.0} us of CPU a request", measured.cpu_us);
            println!(
                "load sent late by {:.2} ms, at the 99th percentile {:.2} ms",
                measured.late_ms.0, measured.late_ms.1
            );
            println!("report: {}", dir.join("report.html").display());
        }
        exit_code = exit_code.max(match (&run.void, run.broken.is_empty()) {
            (_, false) => BROKEN,
            (Some(_), true) => NOT_RUN,
            (None, true) => 0,
        });
        if run.partial {
            break;
        }
    }
    Ok(exit_code)
}

fn run_peer(peer: Peer) -> Result<u8, String> {
    // The addresses are the only line on standard output.
    let print_addresses = |addresses: &[SocketAddr]| println!("{}", serde_json::json!(addresses));
    let ended = match peer {
        Peer::Responder { count, host, work } => {
            price::responder(host, count, Duration::from_millis(work), print_addresses)
        }
        Peer::PassThrough => {
            let mut line = String::new();
            std::io::stdin()
                .read_line(&mut line)
                .map_err(|e| e.to_string())?;
            let addresses = serde_json::from_str(&line).map_err(|e| e.to_string())?;
            price::pass_through(addresses, |address| print_addresses(&[address]))
        }
    };
    ended.map(|()| 0).map_err(|e| e.to_string())
}

fn prices(
    servers: &[usize],
    connections: usize,
    span: Duration,
    repeat: usize,
    proxy: Option<&str>,
) -> Result<u8, String> {
    let own = std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?;
    let command = proxy_command(proxy)?;
    let dir = std::env::temp_dir()
        .join("canvascart-lab")
        .join(format!("price-{}", std::process::id()));
    println!(
        "{} cores; {connections} busy connections; mean of {repeat} rounds, least to most",
        threads()
    );
    println!(
        "{:>7} {:<13} {:>9} {:>22} {:>9} {:>9} {:>10} {:>5}",
        "servers", "target", "req/s", "CPU us a request", "p50 us", "p99 us", "memory MB", "bad"
    );
    for &count in servers {
        let mut rounds = Vec::new();
        for _ in 0..repeat.max(1) {
            match price::measure(&own, &command, count, connections, span, &dir) {
                Ok(round) => rounds.push(round),
                Err(e) => {
                    tracing::error!(servers = count, error = %e, "it could not be measured");
                    return Ok(NOT_RUN);
                }
            }
        }
        for target in 0..rounds[0].len() {
            let all: Vec<&Price> = rounds.iter().map(|r| &r[target]).collect();
            let mean =
                |of: fn(&Price) -> f64| all.iter().map(|p| of(p)).sum::<f64>() / all.len() as f64;
            let cpu = all.iter().map(|p| p.cpu_us);
            let (min, max) = cpu.fold((f64::INFINITY, 0.0f64), |(a, b), x| (a.min(x), b.max(x)));
            println!(
                "{count:>7} {:<13} {:>9.0} {:>22} {:>9.0} {:>9.0} {:>10.1} {:>5}",
                all[0].target,
                mean(|p| p.rate),
                format!("{:.1} ({min:.1} to {max:.1})", mean(|p| p.cpu_us)),
                mean(|p| p.latency_us.0),
                mean(|p| p.latency_us.1),
                mean(|p| p.memory_mb),
                all.iter().map(|p| p.non_200).sum::<u64>(),
            );
        }
    }
    Ok(0)
}

/// One side of a comparison: settings on the decision module in virtual time, or a proxy on real sockets.
enum Side {
    Settings(Arc<Scenario>),
    Proxy(Arc<Scenario>, Vec<String>),
}

impl Side {
    /// Reads `key=value,...`, `-`, or `proxy:COMMAND`.
    fn read(text: &str, which: &ScenarioArguments) -> Result<Self, String> {
        match text.strip_prefix("proxy:") {
            Some(command) => Ok(Side::Proxy(
                which.read(&[])?,
                proxy_command((command != "-").then_some(command))?,
            )),
            None => Ok(Side::Settings(which.read(&settings(text))?)),
        }
    }

    fn play(&self, name: &str, seed: u64, dir: &Path) -> Result<Run, String> {
        match self {
            Side::Settings(scenario) => Ok(experiment::simulate(scenario, name, seed, None)),
            Side::Proxy(scenario, command) => {
                real::run_scenario(scenario, name, seed, command, dir, |_| ())
                    .map(|(run, _)| run)
                    .map_err(|e| format!("{}: {e}", command.join(" ")))
            }
        }
    }
}

fn compare(
    which: &ScenarioArguments,
    a: &str,
    b: &str,
    repeat: u64,
    json: bool,
) -> Result<u8, String> {
    let sides = [Side::read(a, which)?, Side::read(b, which)?];
    let dir = std::env::temp_dir()
        .join("canvascart-lab")
        .join(format!("compare-{}", std::process::id()));
    // Both sides run in turn for each seed, so that disturbances of the machine affect both; real runs run one at a time.
    let virtual_time = sides.iter().all(|s| matches!(s, Side::Settings(_)));
    let play =
        |n: usize| sides[n % 2].play(&which.scenario, 1 + n as u64 / 2, &dir.join(n.to_string()));
    let threads = if virtual_time { threads() } else { 1 };
    let (mut first, mut second) = (Vec::new(), Vec::new());
    for (n, run) in experiment::on_threads(2 * repeat as usize, threads, play)
        .into_iter()
        .enumerate()
    {
        let run = match run {
            Ok(run) => run,
            Err(e) => {
                tracing::error!(error = %e, "it could not be run");
                return Ok(NOT_RUN);
            }
        };
        if let Some(why) = &run.void {
            tracing::error!(seed = run.seed, "a run is void: {why}");
            return Ok(NOT_RUN);
        }
        // Prints the evidence of a broken rule, since another run may not break it.
        for broken in run.broken.iter().take(MAX_SHOWN_VIOLATIONS) {
            tracing::error!(
                side = if n % 2 == 0 { a } else { b },
                seed = run.seed,
                "rule broken: {broken}"
            );
        }
        if n % 2 == 0 {
            first.push(run)
        } else {
            second.push(run)
        }
    }
    let broken = |runs: &[Run]| runs.iter().map(|r| r.broken.len()).sum::<usize>();
    let (broken_a, broken_b) = (broken(&first), broken(&second));
    let differences = experiment::compare(&first, &second);
    if json {
        println!(
            "{}",
            serde_json::to_string(&differences).map_err(|e| e.to_string())?
        );
    } else {
        println!("A: {a}\nB: {b}\n{repeat} seeds; B less A with its 95 % interval\n");
        println!(
            "{:<16} {:>10} {:>10} {:>10}   {:<24}",
            "", "A", "B", "B - A", "95 %"
        );
        for d in &differences {
            let e = d.difference;
            let clear = if e.contains_zero() { "" } else { "  differs" };
            let between = format!("{:+.4} to {:+.4}", e.low, e.high);
            println!(
                "{:<16} {:>10.4} {:>10.4} {:>+10.4}   {between:<24}{clear}",
                d.figure, d.a, d.b, e.mean
            );
        }
        println!("{:<16} {broken_a:>10} {broken_b:>10}", "broken rules");
    }
    Ok(if broken_a + broken_b == 0 { 0 } else { BROKEN })
}

/// Converts a value to a directory name.
fn file_name(value: &str) -> String {
    value
        .chars()
        .map(|c| {
            if c.is_ascii_alphanumeric() || matches!(c, '.' | '-') {
                c
            } else {
                '_'
            }
        })
        .collect()
}

/// A run is invalid if the quiet tenant's requests were delayed by more than this at the 99th percentile.
const MAX_FLOOD_SEND_DELAY_MS: f64 = 5.0;

/// Floods a service with each kind of flood and prints the quiet tenant's results of each run.
fn flood(
    kinds: &[floods::Kind],
    span: Duration,
    repeat: u64,
    how: [bool; 2],
    service: Option<&str>,
) -> Result<u8, String> {
    let own = std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?;
    let command: Vec<String> = match service {
        Some(text) => text.split_whitespace().map(str::to_owned).collect(),
        None => vec![own.to_string_lossy().into_owned()],
    };
    let dir = std::env::temp_dir()
        .join("canvascart-lab")
        .join(format!("floods-{}", std::process::id()));
    println!(
        "{} cores; each half {} s; the quiet tenant before the flood > during it",
        threads(),
        span.as_secs()
    );
    println!(
        "{:<13} {:>20} {:>18} {:>18} {:>12} {:>14} {:>8}",
        "flood", "quiet served %", "p50 ms", "p99 ms", "flood sent/s", "flood served/s", "late ms"
    );
    for &kind in kinds {
        for seed in 1..=repeat.max(1) {
            let f = match floods::flood(kind, &command, span, seed, how, &dir) {
                Ok(f) => f,
                Err(e) => {
                    tracing::error!(?kind, error = %e, "it could not be measured");
                    return Ok(NOT_RUN);
                }
            };
            let [before, during] = f.quiet;
            println!(
                "{:<13} {:>20} {:>18} {:>18} {:>12.0} {:>14.0} {:>8.2}{}",
                f.name(),
                format!(
                    "{:.2} > {:.2}",
                    100.0 * before.served,
                    100.0 * during.served
                ),
                format!("{:.1} > {:.1}", before.latency_ms[0], during.latency_ms[0]),
                format!("{:.1} > {:.1}", before.latency_ms[1], during.latency_ms[1]),
                f.sent_per_s,
                f.served_per_s,
                f.late_ms,
                if f.late_ms > MAX_FLOOD_SEND_DELAY_MS {
                    "  void: sent late"
                } else {
                    ""
                },
            );
            if f.changes > 0 {
                println!(
                    "{:<13} {} changes of the quiet tenant meanwhile",
                    "", f.changes
                );
            }
        }
    }
    let _ = std::fs::remove_dir_all(&dir); // best effort: it has only configurations
    Ok(0)
}

/// Prints the figures of sharing algorithms: mean, minimum and maximum over the seeds.
fn print_shares(what: &str, columns: &[&str], rows: &[shares::Row], json: bool) {
    if !json {
        let headers: String = columns.iter().map(|c| format!(" {c:>25}")).collect();
        println!("{what:<24}{headers}");
    }
    for row in rows {
        if json {
            let figures = columns.iter().zip(&row.figures);
            let figures: serde_json::Map<String, serde_json::Value> = figures
                .map(|(c, f)| ((*c).to_owned(), serde_json::json!(f)))
                .collect();
            println!(
                "{}",
                serde_json::json!({ "shared": what, "way": row.algorithm, "mean_least_most": figures })
            );
            continue;
        }
        let cell = |[mean, min, max]: &[f64; 3]| format!("{mean:.2} ({min:.2}..{max:.2})");
        let cells: String = row
            .figures
            .iter()
            .map(|f| format!(" {:>25}", cell(f)))
            .collect();
        println!("{:<24}{cells}", row.algorithm);
    }
}

/// Runs a scenario with each value of a setting, with the same seeds.
fn sweep<'v>(
    which: &ScenarioArguments,
    key: &str,
    values: &'v [String],
    repeat: u64,
    alone: bool,
) -> Result<Vec<(&'v str, Vec<Run>)>, String> {
    let sides = values
        .iter()
        .map(|v| which.read(&[format!("{key}={v}")]))
        .collect::<Result<Vec<_>, String>>()?;
    let seeds = repeat.max(1) as usize;
    let play = |n: usize| {
        experiment::simulate(
            &sides[n / seeds],
            &which.scenario,
            1 + (n % seeds) as u64,
            None,
        )
    };
    let mut runs =
        experiment::on_threads(sides.len() * seeds, if alone { 1 } else { threads() }, play)
            .into_iter();
    Ok(values
        .iter()
        .map(|v| (v.as_str(), runs.by_ref().take(seeds).collect()))
        .collect())
}

/// A column of a sweep: name, width and decimals in the table, and the figure whose mean over the seeds is printed.
type Column = (&'static str, usize, usize, fn(&Run) -> f64);

const COLUMNS: [Column; 7] = [
    ("asked", 8, 0, |r| r.requests.len() as f64),
    ("share", 7, 3, |r| r.score.whole.share),
    ("refused", 8, 3, |r| r.score.refused),
    ("p50 ms", 9, 1, |r| r.score.whole.latency_ms[0]),
    ("p99 ms", 9, 1, |r| r.score.whole.latency_ms[2]),
    ("module us", 10, 1, |r| r.module_us),
    ("conns/server", 12, 1, |r| {
        r.counts.connections as f64 / r.scenario.fleet.servers as f64
    }),
];

fn print_sweep(key: &str, values: &[String], runs: &[(&str, Vec<Run>)], json: bool) {
    let key_width = values
        .iter()
        .chain([&key.to_owned()])
        .map(String::len)
        .max()
        .unwrap_or(0)
        .max(18);
    if !json {
        let headers: String = COLUMNS
            .iter()
            .map(|(name, width, ..)| format!(" {name:>width$}"))
            .collect();
        println!("{key:<key_width$}{headers} {:>8}", "broken");
    }
    for (value, runs) in runs {
        let mean = |of: fn(&Run) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
        let broken: usize = runs.iter().map(|r| r.broken.len()).sum();
        if json {
            let mut line = serde_json::json!({ "key": key, "value": value, "seeds": runs.len(), "broken": broken });
            for (name, _, _, of) in COLUMNS {
                line[name.replace(' ', "_").replace('/', "_per_")] = mean(of).into();
            }
            println!("{line}");
        } else {
            let cells: String = COLUMNS
                .iter()
                .map(|(_, width, places, of)| format!(" {:>width$.places$}", mean(*of)))
                .collect();
            println!("{value:<key_width$}{cells} {broken:>8}");
        }
    }
}
