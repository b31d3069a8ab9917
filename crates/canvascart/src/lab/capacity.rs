//! `canvascart lab capacity`: sweeps over sizes, with the lines through what was measured and what they give at the target.

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ::lab::capacity::{
    Machine, Needs, Setting, Stop, Sweep, members, module, restarts, servers, tenants,
};
use clap::builder::RangedU64ValueParser;
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

use super::hosted::{own, place_for};
use super::{NOT_RUN, named};

/// A sweep has so many sizes at least: fewer give a line, and no notion of how far from one it is.
const SIZES: usize = 4;

#[derive(clap::Args)]
pub struct Arguments {
    /// Which sweep; without one, all.
    #[command(subcommand)]
    which: Option<Which>,
    #[command(flatten)]
    how: How,
}

/// The sweeps, each with a plan of its own below.
#[derive(Clone, Copy, PartialEq, Eq, clap::Subcommand)]
pub enum Which {
    /// Tenants, routes and services of one process.
    Tenants {
        /// Only tenants of this shape: four servers of its own each, or the target's with shared services.
        #[arg(long, value_name = "own|shared", value_parser = shape)]
        shape: Option<tenants::Shape>,
        /// What the sizes are of: tenants; or routes or services of so many tenants of the target's shape, by themselves.
        #[arg(long, value_name = "tenants|routes|services", value_parser = by, conflicts_with = "shape")]
        by: Option<tenants::By>,
    },
    /// Servers of one process: known, connected and busy; and the decision module alone.
    Servers,
    /// Members of a cluster, hollow and in virtual time (`lab members` plays each sweep by itself, with more settings).
    Members,
    /// A learner, a voter, the leader and a zone of hollow members restarted.
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

#[derive(Clone, clap::Args)]
pub struct How {
    /// Small sizes and short spans: all sweeps within five minutes.
    #[arg(long, global = true)]
    small: bool,
    /// The sizes of one sweep, four at least.
    #[arg(long, global = true, value_delimiter = ',', value_name = "N,N,N,N", value_parser = RangedU64ValueParser::<usize>::new().range(1..))]
    sizes: Option<Vec<usize>>,
    /// Writes what was measured, the lines and what the machine is.
    #[arg(long, global = true, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Runs a service, as `canvascart` does with the arguments that are put behind; without it, this program.
    #[arg(long, global = true, value_name = "COMMAND")]
    service: Option<String>,
    /// Measures a second build in turn with the first, size by size.
    #[arg(long, global = true, value_name = "COMMAND")]
    beside: Option<String>,
}

/// Plays a sweep, which tells the command that plays it again.
type Play = dyn FnOnce(&Setting, String) -> std::io::Result<Sweep>;

/// What one sweep would do.
struct Plan {
    needs: Needs,
    play: Box<Play>,
}

impl How {
    fn sizes(&self, small: [usize; SIZES], full: [usize; SIZES]) -> Vec<usize> {
        self.sizes
            .clone()
            .unwrap_or_else(|| if self.small { small } else { full }.to_vec())
    }

    /// Sweeps over tenants of one shape, or of both.
    fn tenants(&self, only: Option<tenants::Shape>) -> Vec<Plan> {
        let sizes = self.sizes([50, 100, 200, 400], [1000, 2000, 4000, 8000]);
        let shapes = tenants::Shape::ALL.iter().map(|(_, shape)| *shape);
        let of = |shape| sizes.iter().map(|n| tenants::Size::of(shape, *n)).collect();
        let shapes = shapes.filter(|shape| only.is_none_or(|only| only == *shape));
        shapes
            .map(|shape| self.tenants_by(tenants::By::Tenants, of(shape)))
            .collect()
    }

    /// Sweeps over routes, and over services, with as many tenants at each size.
    fn apart(&self, by: tenants::By) -> Vec<Plan> {
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
        // Each route and each service has a tenant at least.
        let most = sizes.iter().copied().max().unwrap_or(1);
        let tenants = tenants[usize::from(!self.small)].max(most);
        vec![
            self.tenants_by(
                by,
                sizes
                    .iter()
                    .map(|n| tenants::Size::apart(by, *n, tenants))
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
        let alone = |dealt| {
            let sizes = self.sizes([100, 200, 400, 800], [100, 1000, 4000, 12_000]);
            Plan {
                needs: Needs::default(),
                play: Box::new(move |setting: &Setting, command| {
                    Ok(module::sweep(dealt, &sizes, command, &setting.stop))
                }),
            }
        };
        vec![
            real(servers::Of::One),
            real(servers::Of::Services),
            alone(module::Dealt::One),
            alone(module::Dealt::Services),
        ]
    }

    /// How hollow members are played, and how many.
    fn of_members(&self) -> (members::Play, Vec<usize>) {
        let play = members::Play {
            command: own().ok(),
            rules: members::rules(),
            state_bytes: 100_000,
            change_bytes: 600,
            periods: if self.small { 1 } else { 4 },
            changes: if self.small { 3 } else { 10 },
            peak: Duration::from_secs(if self.small { 0 } else { 60 }),
            hurt: !self.small,
            side_by_side: self.small,
            dir: place_for("members"),
        };
        (play, self.sizes([4, 6, 8, 10], [24, 100, 300, 900]))
    }

    fn members(&self) -> Vec<Plan> {
        let (play, sizes) = self.of_members();
        let seen = self.sizes([6, 12, 24, 48], [24, 100, 300, 900]);
        let virtual_play = play.clone();
        vec![
            Plan {
                needs: Needs::default(), // these are looked at by members::fits
                play: Box::new(move |setting, _| {
                    members::virtual_sweep(&virtual_play, &seen, 1, setting.stop.flag(), |_| ())
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
        let (play, sizes) = self.of_members();
        vec![Plan {
            needs: Needs::default(),
            play: Box::new(move |setting, _| {
                restarts::sweep(&play, &sizes, setting.stop.flag(), |_| ())
            }),
        }]
    }

    fn plans(&self, which: Which) -> Vec<Plan> {
        match which {
            Which::Members => self.members(),
            Which::Restarts => self.restarts(),
            Which::Tenants { by: Some(by), .. } => self.apart(by),
            Which::Tenants { shape, by: None } => self.tenants(shape),
            Which::Servers => self.servers(),
            Which::All => {
                // Among the small ones the target's shape stands for both, so that all end within five minutes.
                let shape = self.small.then_some(tenants::Shape::Shared);
                let apart = [tenants::By::Routes, tenants::By::Services].map(|by| self.apart(by));
                let apart = apart
                    .into_iter()
                    .flatten()
                    .filter(|_| !self.small)
                    .collect();
                let all = [
                    self.tenants(shape),
                    apart,
                    self.servers(),
                    self.members(),
                    self.restarts(),
                ];
                all.into_iter().flatten().collect()
            }
        }
    }

    /// What is wrong with it, before anything starts.
    fn refused(&self, which: Which, plans: &[Plan], machine: &Machine) -> Option<String> {
        if let Some(sizes) = &self.sizes {
            if which == Which::All {
                return Some(
                    "--sizes: name one sweep, such as tenants: their sizes are not each other's"
                        .into(),
                );
            }
            let mut different = sizes.clone();
            different.sort_unstable();
            different.dedup();
            if different.len() < SIZES || different != *sizes {
                return Some(format!(
                    "--sizes: {SIZES} at least, each more than the one before it"
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
        if matches!(which, Which::Members | Which::Restarts | Which::All) {
            let (play, sizes) = self.of_members();
            if let Err(e) = members::fits(&play, &sizes) {
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

/// Stops the sweeps at SIGINT and SIGTERM.
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

/// Plays the sweeps and tells what came of them.
pub fn run(arguments: &Arguments) -> Result<u8, String> {
    let (which, how) = (arguments.which.unwrap_or(Which::All), &arguments.how);
    let words = |text: &str| {
        text.split_whitespace()
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let setting = Setting {
        own: std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?,
        service: how
            .service
            .as_deref()
            .map_or_else(own, |text| Ok(words(text)))?,
        beside: how.beside.as_deref().map(words),
        dir: place_for("capacity"),
        stop: Stop::default(),
    };
    let machine = Machine::here(&setting.dir).map_err(|e| format!("what this machine has: {e}"))?;
    let plans = how.plans(which);
    if let Some(why) = how.refused(which, &plans, &machine) {
        return Err(why);
    }
    watch_signals(&setting.stop).map_err(|e| format!("signals: {e}"))?;
    let command: Vec<String> = std::env::args().skip(1).collect();
    let command = format!("canvascart {}", command.join(" "));
    let mut told: Vec<Sweep> = Vec::new();
    for plan in plans {
        if setting.stop.is_set() {
            break;
        }
        match (plan.play)(&setting, command.clone()) {
            Ok(sweep) => {
                println!("{}", sweep.table());
                told.push(sweep);
            }
            Err(e) => {
                tracing::error!(error = %e, "a sweep's files could not be removed");
                return Ok(NOT_RUN);
            }
        }
        // After each, so that what is there is kept whatever comes next.
        if let Some(file) = &how.json {
            let partial = setting.stop.is_set();
            let json = json!({ "command": command, "machine": machine, "partial": partial, "sweeps": told });
            if let Err(e) = write(file, &json) {
                tracing::error!(file = %file.display(), error = %e, "the figures could not be written");
                return Ok(NOT_RUN);
            }
        }
    }
    let whole = !setting.stop.is_set() && told.iter().all(Sweep::is_whole);
    if setting.stop.is_set() {
        println!("partial: it was interrupted, and what is above is all that was measured");
    }
    Ok(if whole { 0 } else { NOT_RUN })
}

fn write(file: &Path, json: &serde_json::Value) -> std::io::Result<()> {
    let mut to = std::fs::File::create(file)?;
    writeln!(to, "{}", serde_json::to_string_pretty(json)?)
}
