//! Threads that write lines out. What hands lines over never waits for them: each kind of line has a bounded
//! buffer, out of which the oldest lines go when it is full.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Wait before a write is tried again where the other side is full and the descriptor doesn't block.
const FULL: Duration = Duration::from_millis(10);

/// Lines that wait, in pieces of whole lines. A piece is one write.
struct Lane {
    pieces: VecDeque<Vec<u8>>,
    bytes: usize,
    most: usize,
    /// Lines taken out unwritten and not yet reported.
    dropped: u64,
}

impl Lane {
    /// Takes lines out, oldest first, until the rest fits.
    fn cut(&mut self) {
        while self.bytes > self.most {
            let Some(oldest) = self.pieces.pop_front() else {
                break;
            };
            self.bytes -= oldest.len();
            self.dropped += oldest.iter().filter(|b| **b == b'\n').count() as u64;
        }
    }
}

struct State {
    lanes: Vec<Lane>,
    /// A piece is being written.
    busy: bool,
}

struct Shared {
    state: Mutex<State>,
    /// Bytes of a piece that lines are added to.
    batch: usize,
    more: Condvar,
    idle: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner) // a panic elsewhere leaves whole lines
    }
}

/// A writer thread and the buffers before it.
#[derive(Clone)]
pub struct LineWriter(Arc<Shared>);

impl LineWriter {
    /// Starts a thread that gives `write` whole lines, those of the first lane first. `most` bounds each lane's
    /// bytes, `batch` those of a write, where one line is no longer than that.
    pub fn start(
        name: &str,
        most: &[usize],
        batch: usize,
        mut write: impl FnMut(&[u8]) + Send + 'static,
    ) -> io::Result<Self> {
        let lane = |most: &usize| Lane {
            pieces: VecDeque::new(),
            bytes: 0,
            most: *most,
            dropped: 0,
        };
        let state = Mutex::new(State {
            lanes: most.iter().map(lane).collect(),
            busy: false,
        });
        let shared = Arc::new(Shared {
            state,
            batch,
            more: Condvar::new(),
            idle: Condvar::new(),
        });
        let outlet = LineWriter(shared.clone());
        std::thread::Builder::new()
            .name(name.into())
            .spawn(move || {
                loop {
                    write(&shared.next());
                }
            })?;
        Ok(outlet)
    }

    /// Hands whole lines over. They go out at the next wake-up.
    pub fn put(&self, lane: usize, lines: &[u8]) {
        let mut state = self.0.lock();
        let lane = &mut state.lanes[lane];
        lane.bytes += lines.len();
        match lane
            .pieces
            .back_mut()
            .filter(|last| last.len() + lines.len() <= self.0.batch)
        {
            Some(last) => last.extend_from_slice(lines),
            None => {
                let mut piece = Vec::with_capacity(lines.len().max(self.0.batch));
                piece.extend_from_slice(lines);
                lane.pieces.push_back(piece);
            }
        }
        lane.cut();
    }

    /// Hands over many whole lines at once, for a write of their own.
    pub fn put_piece(&self, lane: usize, lines: Vec<u8>) {
        let mut state = self.0.lock();
        let lane = &mut state.lanes[lane];
        lane.bytes += lines.len();
        lane.pieces.push_back(lines);
        lane.cut();
    }

    pub fn wake(&self) {
        self.0.more.notify_one();
    }

    /// Lines that a lane has lost since this was last asked.
    pub fn take_dropped(&self, lane: usize) -> u64 {
        std::mem::take(&mut self.0.lock().lanes[lane].dropped)
    }

    /// Waits until all is written, for so long at most; tells whether it is.
    pub fn finish(&self, most: Duration) -> bool {
        self.wake();
        let end = Instant::now() + most;
        let mut state = self.0.lock();
        while state.busy || state.lanes.iter().any(|l| !l.pieces.is_empty()) {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.0.idle.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}

impl Shared {
    /// Waits for lines and takes those of one write.
    fn next(&self) -> Vec<u8> {
        let mut state = self.lock();
        state.busy = false;
        loop {
            if let Some(lane) = state.lanes.iter_mut().find(|l| !l.pieces.is_empty()) {
                let piece = lane.pieces.pop_front().unwrap_or_default();
                lane.bytes -= piece.len();
                state.busy = true;
                return piece;
            }
            self.idle.notify_all();
            state = self
                .more
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// Writes all of it, whether or not the descriptor blocks: half a line would mix with the next one.
pub fn write_whole(out: &mut impl Write, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match out.write(bytes) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => std::thread::sleep(FULL),
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc::channel;

    use super::*;

    const LONG: Duration = Duration::from_secs(30);

    #[test]
    fn a_full_buffer_loses_its_oldest_lines_and_counts_them() {
        let (gate, held) = channel::<()>();
        let (out, written) = channel();
        let write = move |bytes: &[u8]| {
            out.send(bytes.to_vec()).expect("the test listens");
            let _ = held.recv(); // holds the thread until the gate is gone
        };
        let outlet = LineWriter::start("test", &[100, 8], 4, write).expect("a thread");
        outlet.put(1, b"first\n");
        outlet.wake();
        assert_eq!(written.recv_timeout(LONG).expect("a write"), b"first\n");
        for line in ["a\nb\n", "cc\n", "d\n", "e\n"] {
            outlet.put(1, line.as_bytes());
        }
        outlet.put(0, b"log\n");
        assert_eq!(
            (
                outlet.take_dropped(1),
                outlet.take_dropped(1),
                outlet.take_dropped(0)
            ),
            (2, 0, 0)
        );
        assert!(!outlet.finish(Duration::from_millis(1)), "it is held");
        drop(gate);
        assert!(outlet.finish(LONG));
        assert_eq!(
            written.recv_timeout(LONG).expect("the first lane"),
            b"log\n"
        );
        let rest: Vec<Vec<u8>> = written.try_iter().collect();
        assert_eq!(rest, [&b"cc\n"[..], b"d\ne\n"]);
    }

    #[test]
    fn a_write_takes_whole_lines_within_its_bound() {
        let (out, written) = channel();
        let write = move |bytes: &[u8]| out.send(bytes.to_vec()).expect("the test listens");
        let outlet = LineWriter::start("test", &[100], 8, write).expect("a thread");
        for line in ["12\n", "345\n", "6\n", "789012\n"] {
            outlet.put(0, line.as_bytes());
        }
        outlet.put_piece(0, b"1234567890\n".to_vec());
        assert!(outlet.finish(LONG));
        let all: Vec<Vec<u8>> = written.try_iter().collect();
        assert_eq!(
            all,
            [&b"12\n345\n"[..], b"6\n", b"789012\n", b"1234567890\n"]
        );
    }

    /// Takes a byte at a time and says now and then that it is full.
    struct Narrow(Vec<u8>, bool);

    impl Write for Narrow {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.1 = !self.1;
            if self.1 {
                return Err(ErrorKind::WouldBlock.into());
            }
            self.0.push(bytes[0]);
            Ok(1)
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn a_line_is_written_whole_however_little_is_taken_at_once() {
        let mut out = Narrow(Vec::new(), false);
        write_whole(&mut out, b"a line\n").expect("it takes all");
        assert_eq!(out.0, b"a line\n");
    }
}
