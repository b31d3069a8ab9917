//! Lines on standard error, a few a second at most, so that no flood of bad input becomes a flood of log.

use std::cell::Cell;
use std::fmt::Arguments;
use std::io::Write as _;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use crate::line_writer::{LineWriter, write_whole};

/// Bytes that wait for a standard error that is not read: of the log's own lines, of a capture, of figures.
const LOG_MOST: usize = 64 << 10;
pub const CAPTURE_MOST: usize = 960 << 10;
pub const FIGURES_MOST: usize = 240 << 10;
/// Bytes of one write.
const BATCH: usize = 4096;
/// The lanes of standard error.
const LOG: usize = 0;
pub const CAPTURE: usize = 1;
pub const FIGURES: usize = 2;

/// Standard error behind a thread of its own, where a feature writes there.
static OUTLET: OnceLock<LineWriter> = OnceLock::new();

/// The program's name, before each line.
static NAME: OnceLock<&str> = OnceLock::new();

fn name() -> &'static str {
    NAME.get().copied().unwrap_or("canvascart-proxy")
}

/// Gives the program another name; the first one holds.
pub fn set_name(name: &'static str) {
    let _ = NAME.set(name);
}

const BURST: u32 = 20; // lines in a second; the rest are counted and left out

thread_local! {
    static WINDOW: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// Writes a line unless too many came within this second.
pub fn line(text: Arguments) {
    let now = Instant::now();
    let (since, count) = WINDOW.get();
    let (since, count) = match since {
        Some(since) if now - since < Duration::from_secs(1) => (since, count + 1),
        _ => {
            if count > BURST {
                write(format_args!("{} lines left out", count - BURST));
            }
            (now, 1)
        }
    };
    WINDOW.set((Some(since), count));
    if count <= BURST {
        write(text);
    }
}

/// Writes a line however many came; the buffer before standard error bounds them.
pub fn each(text: Arguments) {
    write(text);
}

/// Writes a line. Unlike `eprintln!` it survives a log that nobody reads any more.
fn write(text: Arguments) {
    let Some(outlet) = OUTLET.get() else {
        let _ = writeln!(std::io::stderr(), "{}: {text}", name());
        return;
    };
    let dropped = outlet.take_dropped(LOG);
    if dropped > 0 {
        outlet.put(
            LOG,
            format!("{}: {dropped} lines lost\n", name()).as_bytes(),
        );
    }
    outlet.put(LOG, format!("{}: {text}\n", name()).as_bytes());
    outlet.wake();
}

/// From here on a thread writes to standard error, and nothing else waits for its reader.
pub fn behind_thread() -> std::io::Result<&'static LineWriter> {
    if let Some(outlet) = OUTLET.get() {
        return Ok(outlet);
    }
    // Where nobody reads any more, it is lost.
    let write = |lines: &[u8]| write_whole(&mut std::io::stderr(), lines).unwrap_or_default();
    let most = [LOG_MOST, CAPTURE_MOST, FIGURES_MOST];
    let outlet = LineWriter::start("stderr", &most, BATCH, write)?;
    Ok(OUTLET.get_or_init(|| outlet))
}

/// Waits until what has been handed over is written, if a thread writes it.
pub fn finish(most: Duration) {
    if let Some(outlet) = OUTLET.get() {
        outlet.finish(most); // what a reader that never comes was owed is lost with the process
    }
}

/// Logs a formatted line, rate-limited.
macro_rules! note {
    ($($part:tt)*) => { $crate::log::line(format_args!($($part)*)) };
}
pub(crate) use note;
