//! `canvascart capture replay`: reads the lines of a capture, groups them by start of the proxy, and restores the order in
//! which the decision module received them.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write as _};
use std::path::{Path, PathBuf};

use ::capture::{Decision, EndpointRecord, Line, ListUpdate, RequestRecord, SegmentHeader};

use crate::replay::Replay;

/// Exit code: decisions differ.
const DIFFERS: u8 = 1;
/// Exit code: the file can't be read, or contains no capture.
const NO_CAPTURE: u8 = 3;
/// Longest line in bytes; captures contain no longer one.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Longest timestamp in bytes that a log collector puts before a line.
const MAX_TIMESTAMP_BYTES: usize = 40;

#[derive(clap::Subcommand)]
pub enum Command {
    /// Replays a capture through the decision module and prints each line whose decision differs.
    #[command(
        after_help = "Exit codes: 0 no decision differs, 1 some do, 2 wrong usage, 3 the file is no capture.\n\
        Captures contain no load, health or timing: differences are expected in busy captures."
    )]
    Replay {
        /// Segment file, or a log that contains captures.
        file: PathBuf,
    },
}

pub fn run(command: Command) -> Result<u8, String> {
    let Command::Replay { file } = command;
    match replay(&file) {
        Ok(0) => Ok(0),
        Ok(_) => Ok(DIFFERS),
        Err(e) => {
            eprintln!("canvascart: {}: {e}", file.display());
            Ok(NO_CAPTURE)
        }
    }
}

/// A list update, with the requests that were decided under that list.
pub struct ListEpoch {
    /// `None` before the first list.
    pub update: Option<ListUpdate>,
    pub endpoints: Vec<EndpointRecord>,
    /// Requests with their line numbers.
    pub requests: Vec<(usize, RequestRecord<'static>)>,
}

/// Captured lines of one start of a proxy.
pub struct CapturedStart {
    pub header: SegmentHeader,
    pub settings: Option<String>,
    pub epochs: Vec<ListEpoch>,
}

/// Content of a file.
#[derive(Default)]
struct Contents {
    starts: Vec<CapturedStart>,
    /// Number of lines that are not part of a capture.
    foreign: usize,
    /// The last line is incomplete.
    truncated: bool,
}

impl Contents {
    fn read(mut input: impl BufRead) -> io::Result<Self> {
        let mut contents = Contents::default();
        let mut bytes = Vec::new();
        for number in 1.. {
            bytes.clear();
            if io::Read::take(&mut input, MAX_LINE_BYTES as u64).read_until(b'\n', &mut bytes)? == 0
            {
                break;
            }
            let line = String::from_utf8_lossy(&bytes);
            let line = without_timestamp(line.trim_end_matches(['\n', '\r']));
            match Line::parse(line).is_some_and(|parsed| contents.add_line(number, parsed)) {
                true => {}
                false
                    if !line.is_empty()
                        && Line::has_line_prefix(line)
                        && input.fill_buf()?.is_empty() =>
                {
                    contents.truncated = true;
                }
                false => contents.foreign += 1,
            }
        }
        Ok(contents)
    }

    /// Adds a line to the proxy start that it belongs to; returns `false` if there is none.
    fn add_line(&mut self, number: usize, line: Line) -> bool {
        if let Line::Header(header) = line {
            let is_same = |s: &CapturedStart| {
                s.header.seed == header.seed && s.header.started_at == header.started_at
            };
            if !self.starts.last().is_some_and(is_same) {
                let first = ListEpoch {
                    update: None,
                    endpoints: Vec::new(),
                    requests: Vec::new(),
                };
                self.starts.push(CapturedStart {
                    header,
                    settings: None,
                    epochs: vec![first],
                });
            }
            return true;
        }
        let Some(start) = self.starts.last_mut() else {
            return false;
        };
        match line {
            Line::Header(_) => {}
            Line::Settings(text) => start.settings = Some(text),
            Line::ListUpdate(update) => {
                start.epochs.push(ListEpoch {
                    update: Some(update),
                    endpoints: Vec::new(),
                    requests: Vec::new(),
                });
            }
            Line::Endpoint(endpoint) => {
                let is_incomplete = |epoch: &&mut ListEpoch| {
                    epoch
                        .update
                        .as_ref()
                        .is_some_and(|update| epoch.endpoints.len() < update.endpoint_count)
                };
                let Some(epoch) = start.epochs.last_mut().filter(is_incomplete) else {
                    return false;
                };
                epoch.endpoints.push(endpoint);
            }
            // A request is written when it ends, possibly after later list updates; it was decided under the list of its version.
            Line::Request(record) => {
                let has_version = |epoch: &ListEpoch| {
                    epoch
                        .update
                        .as_ref()
                        .is_some_and(|update| update.version == record.list_version)
                };
                let index = start
                    .epochs
                    .iter()
                    .rposition(has_version)
                    .unwrap_or(start.epochs.len() - 1);
                start.epochs[index].requests.push((number, record));
            }
        }
        true
    }
}

/// Strips the timestamp in brackets that a log collector has put before a line.
fn without_timestamp(line: &str) -> &str {
    let split = line.strip_prefix('[').and_then(|l| l.split_once("] "));
    split
        .filter(|(timestamp, _)| timestamp.len() <= MAX_TIMESTAMP_BYTES && !timestamp.contains(' '))
        .map_or(line, |(_, rest)| rest)
}

/// Replays a file; returns the number of decisions that differ.
fn replay(file: &Path) -> Result<usize, String> {
    let input = BufReader::new(File::open(file).map_err(|e| e.to_string())?);
    let contents = Contents::read(input).map_err(|e| e.to_string())?;
    if contents.starts.is_empty() {
        return Err("no header of a capture in the file".into());
    }
    let mut out = io::stdout().lock();
    let (mut decided, mut differ, mut undecided) = (0, 0, 0);
    for start in contents.starts {
        let mut replay = Replay::new(&start.header, start.settings.as_deref())?;
        for epoch in start.epochs {
            if let Some(update) = &epoch.update {
                replay.apply_list_update(update, &epoch.endpoints);
            }
            for (number, captured) in epoch.requests {
                let Some(attempts) = captured.attempts.as_deref() else {
                    undecided += 1;
                    continue;
                };
                decided += 1;
                let replayed = replay.decide(&captured, attempts)?;
                if Decision(&replayed).to_string() != Decision(&captured).to_string() {
                    differ += 1;
                    let (captured, replayed) = (Decision(&captured), Decision(&replayed));
                    writeln!(
                        out,
                        "{number}: {}\n  then: {captured}\n  now:  {replayed}",
                        captured.0
                    )
                    .map_err(|e| e.to_string())?;
                }
            }
        }
    }
    let (foreign, truncated) = (contents.foreign, usize::from(contents.truncated));
    writeln!(
        out,
        "{differ} of {decided} decisions differ; {undecided} never reached the module; skipped: {foreign} foreign \
         lines, {truncated} truncated"
    )
    .map_err(|e| e.to_string())?;
    Ok(differ)
}
