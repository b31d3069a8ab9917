//! `canvascart lab capacity`: sweeps over sizes, with fitted lines and their values at the target size.

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ::lab::capacity::{
    Machine, Needs, Setting, Stop, Sweep, members, module, restarts, servers, tenants,
};
use clap::builder::RangedU64ValueParser;
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

use super::hosted::{own_command, temp_dir_for};
use super::{NOT_RUN, named};

/// Minimum number of sizes in a sweep; with fewer, the deviation from the fitted line cannot be estimated.
const MIN_SIZES: usize = 4;

/// Arguments of `lab capacity`.
#[derive(clap::Args)]
pub struct CapacityArguments {
    /// Sweep to run; all if missing.
    #[command(subcommand)]
    which: Option<SweepCommand>,
    #[command(flatten)]
    how: SweepArguments,
}

/// Sweeps, each with its own plans.
#[derive(Clone, Copy, PartialEq, Eq, clap::Subcommand)]
pub enum SweepCommand {
    /// Tenants, routes and services of one process.
    Tenants {
        /// Only tenants of this shape: four servers of its own each, or the target shape with shared services.
        #[arg(long, value_name = "own|shared", value_parser = shape)]
        shape: Option<tenants::Shape>,
        /// What the sizes count: tenants, or only routes or services with a fixed number of tenants of the target shape.
        #[arg(long, value_name = "tenants|routes|services", value_parser = by, conflicts_with = "shape")]
        by: Option<tenants::By>,
    },
    /// Servers of one process: known, connected and busy; and the decision module by itself.
    Servers,
    /// Members of a cluster, emulated and in virtual time (`lab members` runs each sweep separately, with more settings).
    Members,
    /// Restarts of a learner, a voter, the leader and a zone of emulated members.
    Restarts,
    /// All sweeps.
    All,
}

fn shape(name: &str) -> Result<tenants::Shape, String> {
    named(&tenants::Shape::ALL, name)
}

fn by(name: &str) -> Result<tenants::By, String> {
    named(&tenants::By::ALL, name)
}

/// Sizes of the sweeps, and where the results go.
#[derive(Clone, clap::Args)]
pub struct SweepArguments {
    /// Small sizes and short durations: all sweeps within five minutes.
    #[arg(long, global = true)]
    small: bool,
    /// Sizes of one sweep, at least four.
    #[arg(long, global = true, value_delimiter = ',', value_name = "N,N,N,N", value_parser = RangedU64ValueParser::<usize>::new().range(1..))]
    sizes: Option<Vec<usize>>,
    /// Writes the measurements, the fitted lines and a description of the machine.
    #[arg(long, global = true, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Command that starts a service and accepts the arguments of `canvascart`; without it, this program.
    #[arg(long, global = true, value_name = "COMMAND")]
    service: Option<String>,
    /// Measures a second build alternately with the first at each size.
    #[arg(long, global = true, value_name = "COMMAND")]
    beside: Option<String>,
}

/// Runs a sweep; the second argument is the command that repeats it, for the report.
type RunSweep = dyn FnOnce(&Setting, String) -> std::io::Result<Sweep>;

/// A planned sweep and its resource needs.
struct Plan {
    needs: Needs,
    play: Box<RunSweep>,
}

impl SweepArguments {
    fn sizes(&self, small: [usize; MIN_SIZES], full: [usize; MIN_SIZES]) -> Vec<usize> {
        self.sizes
            .clone()
            .unwrap_or_else(|| if self.small { small } else { full }.to_vec())
    }

    /// Plans sweeps over tenants of one or both shapes.
    fn tenants(&self, only: Option<tenants::Shape>) -> Vec<Plan> {
        let sizes = self.sizes([50, 100, 200, 400], [1000, 2000, 4000, 8000]);
        let shapes = tenants::Shape::ALL.iter().map(|(_, shape)| *shape);
        let of = |shape| sizes.iter().map(|n| tenants::Size::of(shape, *n)).collect();
        let shapes = shapes.filter(|shape| only.is_none_or(|only| only == *shape));
        shapes
            .map(|shape| self.tenants_by(tenants::By::Tenants, of(shape)))
            .collect()
    }

    /// Plans a sweep over routes or services with the same number of tenants at each size.
    fn routes_or_services(&self, by: tenants::By) -> Vec<Plan> {
        let (sizes, tenants) = match by {
            tenants::By::Tenants => return self.tenants(Some(tenants::Shape::Shared)),
            tenants::By::Routes => (
                self.sizes([50, 100, 200, 400], [700, 1400, 2800, 5300]),
                [400, 5300],
            ),
            tenants::By::Services => (
                self.sizes([5, 10, 20, 40], [85, 170, 340, 680]),
                [400, 5300],
            ),
        };
        // Each route and each service needs at least one tenant.
        let max_size = sizes.iter().copied().max().unwrap_or(1);
        let tenants = tenants[usize::from(!self.small)].max(max_size);
        vec![
            self.tenants_by(
                by,
                sizes
                    .iter()
                    .map(|n| tenants::Size::with_count(by, *n, tenants))
                    .collect(),
            ),
        ]
    }

    fn tenants_by(&self, by: tenants::By, sizes: Vec<tenants::Size>) -> Plan {
        let care = if self.small {
            tenants::Care::SMALL
        } else {
            tenants::Care::FULL
        };
        Plan {
            needs: sizes
                .iter()
                .map(tenants::Size::needs)
                .fold(Needs::default(), Needs::or),
            play: Box::new(move |setting, command| {
                tenants::sweep(by, &sizes, &care, command, setting)
            }),
        }
    }

    fn servers(&self) -> Vec<Plan> {
        let sizes = self.sizes([100, 200, 400, 800], [1000, 2000, 4000, 12_000]);
        let care = if self.small {
            servers::Care::SMALL
        } else {
            servers::Care::FULL
        };
        let real = |of| {
            let needs = |n: &usize| servers::Size::of(of, *n).needs();
            let sizes = sizes.clone();
            Plan {
                needs: sizes.iter().map(needs).fold(Needs::default(), Needs::or),
                play: Box::new(move |setting, command| {
                    servers::sweep(of, &sizes, &care, command, setting)
                }),
            }
        };
        let module_only = |dealt| {
            let sizes = self.sizes([100, 200, 400, 800], [100, 1000, 4000, 12_000]);
            Plan {
                needs: Needs::default(),
                play: Box::new(move |setting: &Setting, command| {
                    Ok(module::sweep(dealt, &sizes, command, &setting.stop))
                }),
            }
        };
        vec![
            real(servers::Tenancy::One),
            real(servers::Tenancy::Services),
            module_only(module::Distribution::One),
            module_only(module::Distribution::Services),
        ]
    }

    /// Returns the options and sizes of sweeps over emulated members.
    fn member_options(&self) -> (members::Options, Vec<usize>) {
        let play = members::Options {
            command: own_command().ok(),
            rules: members::rules(),
            state_bytes: 100_000,
            change_bytes: 600,
            periods: if self.small { 1 } else { 4 },
            changes: if self.small { 3 } else { 10 },
            peak: Duration::from_secs(if self.small { 0 } else { 60 }),
            with_failures: !self.small,
            concurrent_sizes: self.small,
            dir: temp_dir_for("members"),
        };
        (play, self.sizes([4, 6, 8, 10], [24, 100, 300, 900]))
    }

    fn members(&self) -> Vec<Plan> {
        let (play, sizes) = self.member_options();
        let virtual_sizes = self.sizes([6, 12, 24, 48], [24, 100, 300, 900]);
        let virtual_play = play.clone();
        vec![
            Plan {
                needs: Needs::default(), // members::check_sizes checks these
                play: Box::new(move |setting, _| {
                    members::virtual_sweep(
                        &virtual_play,
                        &virtual_sizes,
                        1,
                        setting.stop.flag(),
                        |_| (),
                    )
                }),
            },
            Plan {
                needs: Needs::default(),
                play: Box::new(move |setting, _| {
                    members::sweep(&play, &sizes, setting.stop.flag(), |_| ())
                }),
            },
        ]
    }

    fn restarts(&self) -> Vec<Plan> {
        let (play, sizes) = self.member_options();
        vec![Plan {
            needs: Needs::default(),
            play: Box::new(move |setting, _| {
                restarts::sweep(&play, &sizes, setting.stop.flag(), |_| ())
            }),
        }]
    }

    fn plans(&self, which: SweepCommand) -> Vec<Plan> {
        match which {
            SweepCommand::Members => self.members(),
            SweepCommand::Restarts => self.restarts(),
            SweepCommand::Tenants { by: Some(by), .. } => self.routes_or_services(by),
            SweepCommand::Tenants { shape, by: None } => self.tenants(shape),
            SweepCommand::Servers => self.servers(),
            SweepCommand::All => {
                // Small sweeps use only the target shape, so that all end within five minutes.
                let shape = self.small.then_some(tenants::Shape::Shared);
                let routes_or_services = [tenants::By::Routes, tenants::By::Services]
                    .map(|by| self.routes_or_services(by));
                let routes_or_services = routes_or_services
                    .into_iter()
                    .flatten()
                    .filter(|_| !self.small)
                    .collect();
                let all = [
                    self.tenants(shape),
                    routes_or_services,
                    self.servers(),
                    self.members(),
                    self.restarts(),
                ];
                all.into_iter().flatten().collect()
            }
        }
    }

    /// Returns the first problem of the arguments; called before any sweep starts.
    fn find_argument_error(
        &self,
        which: SweepCommand,
        plans: &[Plan],
        machine: &Machine,
    ) -> Option<String> {
        if let Some(sizes) = &self.sizes {
            if which == SweepCommand::All {
                return Some(
                    "--sizes: name one sweep, such as tenants: their sizes are not each other's"
                        .into(),
                );
            }
            let mut different = sizes.clone();
            different.sort_unstable();
            different.dedup();
            if different.len() < MIN_SIZES || different != *sizes {
                return Some(format!(
                    "--sizes: {MIN_SIZES} at least, each more than the one before it"
                ));
            }
        }
        if let Some(file) = &self.json {
            if file.is_dir()
                || !file
                    .parent()
                    .is_none_or(|d| d == Path::new("") || d.is_dir())
            {
                return Some(format!("--json: {} can't be written", file.display()));
            }
        }
        for (name, command) in [("--service", &self.service), ("--beside", &self.beside)] {
            if command.as_ref().is_some_and(|c| c.trim().is_empty()) {
                return Some(format!("{name}: it names no command"));
            }
        }
        if matches!(
            which,
            SweepCommand::Members | SweepCommand::Restarts | SweepCommand::All
        ) {
            let (play, sizes) = self.member_options();
            if let Err(e) = members::check_sizes(&play, &sizes) {
                return Some(format!("--sizes: {e}"));
            }
        }
        let needs = plans
            .iter()
            .map(|p| p.needs)
            .fold(Needs::default(), Needs::or);
        needs.beyond(machine).map(|what| format!("--sizes: {what}"))
    }
}

/// Stops the sweeps on SIGINT and SIGTERM.
fn watch_signals(stop: &Stop) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (mut interrupt, mut terminate) = {
        let _inside = runtime.enter();
        (
            signal(SignalKind::interrupt())?,
            signal(SignalKind::terminate())?,
        )
    };
    let stop = stop.clone();
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            runtime.block_on(async {
                tokio::select! { _ = interrupt.recv() => {} _ = terminate.recv() => {} }
            });
            stop.stop();
        })?;
    Ok(())
}

/// Runs the sweeps and prints their results.
pub fn run(arguments: &CapacityArguments) -> Result<u8, String> {
    let (which, how) = (arguments.which.unwrap_or(SweepCommand::All), &arguments.how);
    let split_words = |text: &str| {
        text.split_whitespace()
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let setting = Setting {
        own: std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?,
        service: how
            .service
            .as_deref()
            .map_or_else(own_command, |text| Ok(split_words(text)))?,
        beside: how.beside.as_deref().map(split_words),
        dir: temp_dir_for("capacity"),
        stop: Stop::default(),
    };
    let machine = Machine::here(&setting.dir).map_err(|e| format!("what this machine has: {e}"))?;
    let plans = how.plans(which);
    if let Some(problem) = how.find_argument_error(which, &plans, &machine) {
        return Err(problem);
    }
    watch_signals(&setting.stop).map_err(|e| format!("signals: {e}"))?;
    let command: Vec<String> = std::env::args().skip(1).collect();
    let command = format!("canvascart {}", command.join(" "));
    let mut finished: Vec<Sweep> = Vec::new();
    for plan in plans {
        if setting.stop.is_set() {
            break;
        }
        match (plan.play)(&setting, command.clone()) {
            Ok(sweep) => {
                println!("{}", sweep.table());
                finished.push(sweep);
            }
            Err(e) => {
                tracing::error!(error = %e, "a sweep's files could not be removed");
                return Ok(NOT_RUN);
            }
        }
        // Written after each sweep, so that its results are kept if a later one fails.
        if let Some(file) = &how.json {
            let partial = setting.stop.is_set();
            let json = json!({ "command": command, "machine": machine, "partial": partial, "sweeps": finished });
            if let Err(e) = write(file, &json) {
                tracing::error!(file = %file.display(), error = %e, "the figures could not be written");
                return Ok(NOT_RUN);
            }
        }
    }
    let complete = !setting.stop.is_set() && finished.iter().all(Sweep::is_complete);
    if setting.stop.is_set() {
        println!("partial: it was interrupted, and what is above is all that was measured");
    }
    Ok(if complete { 0 } else { NOT_RUN })
}

fn write(file: &Path, json: &serde_json::Value) -> std::io::Result<()> {
    let mut output = std::fs::File::create(file)?;
    writeln!(output, "{}", serde_json::to_string_pretty(json)?)
}
