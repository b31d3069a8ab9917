//! `canvascart capture replay`: a capture's lines, gathered by start and put back into the order in which the
//! module met them.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write as _};
use std::path::{Path, PathBuf};

use ::capture::{Decision, EndpointRecord, Line, ListUpdate, RequestRecord, SegmentHeader};

use crate::replay::Replay;

/// Decisions differ.
const DIFFERS: u8 = 1;
/// The file can't be read or holds no capture.
const NO_CAPTURE: u8 = 3;
/// Bytes of a line; a longer one is none of a capture's.
const MOST: usize = 1 << 20;
/// Bytes of a time that a log's keeper puts before a line.
const STAMP: usize = 40;

#[derive(clap::Subcommand)]
pub enum Command {
    /// Feeds a capture back through the decision code and prints each line where the decision differs.
    #[command(
        after_help = "Exit codes: 0 no decision differs, 1 some do, 2 wrong usage, 3 the file is no capture.\n\
        Load, health and timing are not kept: differences are expected in busy captures."
    )]
    Replay {
        /// A segment's file, or a log that has captures in it.
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

/// News of the list, and the requests that met the list as it then was.
pub struct Change {
    pub news: Option<ListUpdate>,
    pub servers: Vec<EndpointRecord>,
    pub records: Vec<(usize, RequestRecord<'static>)>,
}

/// All that is left of one start of a proxy.
pub struct Start {
    pub head: SegmentHeader,
    pub settings: Option<String>,
    pub changes: Vec<Change>,
}

/// What a file holds.
#[derive(Default)]
struct Contents {
    starts: Vec<Start>,
    /// Lines that are none of a capture's, or belong to none.
    foreign: usize,
    /// Whether the last line is cut.
    truncated: bool,
}

impl Contents {
    fn read(mut input: impl BufRead) -> io::Result<Self> {
        let mut contents = Contents::default();
        let mut bytes = Vec::new();
        for number in 1.. {
            bytes.clear();
            if io::Read::take(&mut input, MOST as u64).read_until(b'\n', &mut bytes)? == 0 {
                break;
            }
            let line = String::from_utf8_lossy(&bytes);
            let line = unstamped(line.trim_end_matches(['\n', '\r']));
            match Line::parse(line).is_some_and(|parsed| contents.take(number, parsed)) {
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

    /// Puts a line where it belongs; `false` if it belongs nowhere.
    fn take(&mut self, number: usize, line: Line) -> bool {
        if let Line::Header(head) = line {
            let same = |s: &Start| s.head.seed == head.seed && s.head.started_at == head.started_at;
            if !self.starts.last().is_some_and(same) {
                let first = Change {
                    news: None,
                    servers: Vec::new(),
                    records: Vec::new(),
                };
                self.starts.push(Start {
                    head,
                    settings: None,
                    changes: vec![first],
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
            Line::ListUpdate(news) => {
                start.changes.push(Change {
                    news: Some(news),
                    servers: Vec::new(),
                    records: Vec::new(),
                });
            }
            Line::Endpoint(server) => {
                let wanted = |c: &&mut Change| {
                    c.news
                        .as_ref()
                        .is_some_and(|n| c.servers.len() < n.endpoint_count)
                };
                let Some(change) = start.changes.last_mut().filter(wanted) else {
                    return false;
                };
                change.servers.push(server);
            }
            // It ended after news that came while it was under way: it is decided before them.
            Line::Request(record) => {
                let seq = |c: &Change| {
                    c.news
                        .as_ref()
                        .is_some_and(|n| n.version == record.list_version)
                };
                let met = start
                    .changes
                    .iter()
                    .rposition(seq)
                    .unwrap_or(start.changes.len() - 1);
                start.changes[met].records.push((number, record));
            }
        }
        true
    }
}

/// A line without the time that a log's keeper has put before it in brackets.
fn unstamped(line: &str) -> &str {
    let stamp = line.strip_prefix('[').and_then(|l| l.split_once("] "));
    stamp
        .filter(|(stamp, _)| stamp.len() <= STAMP && !stamp.contains(' '))
        .map_or(line, |(_, rest)| rest)
}

/// Replays a file; returns how many decisions differ.
fn replay(file: &Path) -> Result<usize, String> {
    let input = BufReader::new(File::open(file).map_err(|e| e.to_string())?);
    let contents = Contents::read(input).map_err(|e| e.to_string())?;
    if contents.starts.is_empty() {
        return Err("there is no head of a capture in it".into());
    }
    let mut out = io::stdout().lock();
    let (mut all, mut differ, mut unseen) = (0, 0, 0);
    for start in contents.starts {
        let mut replay = Replay::new(&start.head, start.settings.as_deref())?;
        for change in start.changes {
            if let Some(news) = &change.news {
                replay.news(news, &change.servers);
            }
            for (number, then) in change.records {
                let Some(tried) = then.attempts.as_deref() else {
                    unseen += 1; // nothing was decided
                    continue;
                };
                all += 1;
                let now = replay.decide(&then, tried)?;
                if Decision(&now).to_string() != Decision(&then).to_string() {
                    differ += 1;
                    let (then, now) = (Decision(&then), Decision(&now));
                    writeln!(out, "{number}: {}\n  then: {then}\n  now:  {now}", then.0)
                        .map_err(|e| e.to_string())?;
                }
            }
        }
    }
    let (foreign, truncated) = (contents.foreign, usize::from(contents.truncated));
    writeln!(
        out,
        "{differ} of {all} decisions differ; {unseen} never reached the module; skipped: {foreign} foreign \
         lines, {truncated} truncated"
    )
    .map_err(|e| e.to_string())?;
    Ok(differ)
}
