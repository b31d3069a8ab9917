//! Rate-limited log lines on standard error, so that a flood of bad input doesn't flood the log.

use std::cell::Cell;
use std::fmt::Arguments;
use std::io::Write as _;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use crate::line_writer::{LineWriter, write_fully};

/// Maximum bytes queued while standard error is not read: log lines, the capture, and metrics.
const LOG_MAX_BYTES: usize = 64 << 10;
pub const CAPTURE_MAX_BYTES: usize = 960 << 10;
pub const METRICS_MAX_BYTES: usize = 240 << 10;
/// Maximum bytes of a batch that is written at once.
const BATCH_BYTES: usize = 4096;
/// Queues of standard error.
const LOG_QUEUE: usize = 0;
pub const CAPTURE_QUEUE: usize = 1;
pub const METRICS_QUEUE: usize = 2;

/// Thread that writes to standard error; it runs if a feature needs it.
static WRITER: OnceLock<LineWriter> = OnceLock::new();

/// Program name that begins each line.
static PROGRAM_NAME: OnceLock<&str> = OnceLock::new();

fn program_name() -> &'static str {
    PROGRAM_NAME.get().copied().unwrap_or("canvascart-proxy")
}

/// Sets the program name; later calls have no effect.
pub fn set_name(name: &'static str) {
    let _ = PROGRAM_NAME.set(name);
}

const MAX_LINES_PER_SECOND: u32 = 20; // further lines are counted and left out

/// The start of the present second and the lines in it.
type Window = Cell<(Option<Instant>, u32)>;

thread_local! {
    static WINDOW: Window = const { Cell::new((None, 0)) };
    /// Lines on single requests have a limit of their own, so that a flood of them leaves the others.
    static REQUEST_WINDOW: Window = const { Cell::new((None, 0)) };
}

/// Writes a line unless the limit of this second is reached.
pub fn line(text: Arguments) {
    WINDOW.with(|window| limited_line(window, text));
}

/// Writes a line on a request unless the limit of such lines is reached in this second.
pub fn request_line(text: Arguments) {
    REQUEST_WINDOW.with(|window| limited_line(window, text));
}

fn limited_line(window: &Window, text: Arguments) {
    let now = Instant::now();
    let (since, count) = window.get();
    let (since, count) = match since {
        Some(since) if now - since < Duration::from_secs(1) => (since, count + 1),
        _ => {
            if count > MAX_LINES_PER_SECOND {
                write(format_args!(
                    "{} lines left out",
                    count - MAX_LINES_PER_SECOND
                ));
            }
            (now, 1)
        }
    };
    window.set((Some(since), count));
    if count <= MAX_LINES_PER_SECOND {
        write(text);
    }
}

/// Writes a line without the rate limit; only the queue of standard error bounds such lines.
pub fn unlimited_line(text: Arguments) {
    write(text);
}

/// Writes a line. Unlike `eprintln!` it doesn't panic if standard error is closed.
fn write(text: Arguments) {
    let Some(writer) = WRITER.get() else {
        let _ = writeln!(std::io::stderr(), "{}: {text}", program_name());
        return;
    };
    let dropped = writer.take_dropped(LOG_QUEUE);
    if dropped > 0 {
        writer.enqueue(
            LOG_QUEUE,
            format!("{}: {dropped} lines lost\n", program_name()).as_bytes(),
        );
    }
    writer.enqueue(
        LOG_QUEUE,
        format!("{}: {text}\n", program_name()).as_bytes(),
    );
    writer.wake();
}

/// Returns the thread that writes to standard error, and starts it at the first call. From then on no other thread blocks
/// on the reader of standard error.
pub fn start_writer_thread() -> std::io::Result<&'static LineWriter> {
    if let Some(writer) = WRITER.get() {
        return Ok(writer);
    }
    // Lines are lost once standard error is closed.
    let write = |lines: &[u8]| write_fully(&mut std::io::stderr(), lines).unwrap_or_default();
    let max_bytes = [LOG_MAX_BYTES, CAPTURE_MAX_BYTES, METRICS_MAX_BYTES];
    let writer = LineWriter::start("stderr", &max_bytes, BATCH_BYTES, write)?;
    Ok(WRITER.get_or_init(|| writer))
}

/// Waits until the writer thread, if there is one, has written the queued lines, or the timeout ends.
pub fn finish(timeout: Duration) {
    if let Some(writer) = WRITER.get() {
        writer.finish(timeout); // lines that are still unread are lost with the process
    }
}

/// Writes a formatted log line, with the rate limit.
macro_rules! note {
    ($($part:tt)*) => { $crate::log::line(format_args!($($part)*)) };
}
pub(crate) use note;

/// Writes a formatted log line on a request, with the rate limit of such lines.
macro_rules! note_request {
    ($($part:tt)*) => { $crate::log::request_line(format_args!($($part)*)) };
}
pub(crate) use note_request;
