//! TCP links between processes that can be cut, delayed or stalled, each direction independently.

use std::collections::VecDeque;
use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Poll interval for the state of a link.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum number of bytes buffered in one direction; above it, reading stops.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// How a link treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Data is forwarded after the link's delay.
    Pass,
    /// Open connections are closed and new ones are closed at once.
    Cut,
    /// Data is buffered and connections stay open; buffered data is delivered once the mode is `Pass` again.
    Hold,
}

#[derive(Debug, Default)]
struct LinkState {
    mode: AtomicU8,
    delay_us: AtomicU64,
    closed: AtomicBool,
}

impl LinkState {
    fn mode(&self) -> Mode {
        match self.mode.load(Ordering::Relaxed) {
            1 => Mode::Cut,
            2 => Mode::Hold,
            _ => Mode::Pass,
        }
    }
}

/// A forwarding address for a target.
#[derive(Debug)]
pub struct Link {
    /// Address to connect to.
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    state: Arc<LinkState>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.state.closed.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address); // unblocks the accept loop
    }
}

impl Link {
    /// Creates a link without a target.
    ///
    /// # Errors
    /// Fails if no port is available.
    pub fn new() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Link {
            address: listener.local_addr()?,
            target: Arc::default(),
            state: Arc::default(),
        };
        let (target, state) = (link.target.clone(), link.state.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                if state.closed.load(Ordering::Relaxed) {
                    return;
                }
                let to = *target.lock().unwrap_or_else(PoisonError::into_inner);
                let (Ok(stream), Some(to)) = (stream, to) else {
                    continue;
                };
                let state = state.clone();
                thread::spawn(move || _ = forward_connection(&stream, to, &state)); // ends when either side closes
            }
        });
        Ok(link)
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, to: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(to);
    }

    /// Sets the mode.
    pub fn set_mode(&self, mode: Mode) {
        self.state.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// Sets the one-way delay.
    pub fn set_delay(&self, delay: Duration) {
        self.state
            .delay_us
            .store(delay.as_micros() as u64, Ordering::Relaxed);
    }
}

fn forward_connection(from: &TcpStream, to: SocketAddr, state: &Arc<LinkState>) -> io::Result<()> {
    if state.mode() == Mode::Cut {
        return Ok(());
    }
    let upstream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    let (to_client, to_upstream) = (
        (upstream.try_clone()?, from.try_clone()?),
        (from.try_clone()?, upstream.try_clone()?),
    );
    for stream in [from, &upstream] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(CHECK_INTERVAL))?;
    }
    let reverse_state = state.clone();
    let reverse = thread::spawn(move || copy_direction(to_client.0, &to_client.1, &reverse_state));
    let result = copy_direction(to_upstream.0, &to_upstream.1, state);
    let _ = upstream.shutdown(Shutdown::Both); // also ends the opposite direction
    let _ = from.shutdown(Shutdown::Both);
    let _ = reverse.join();
    result
}

fn copy_direction(mut from: TcpStream, mut to: &TcpStream, state: &LinkState) -> io::Result<()> {
    let mut buffered: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let mut bytes = 0;
    let mut buffer = vec![0; 64 << 10];
    let mut read_closed = false;
    loop {
        let mode = state.mode();
        if mode == Mode::Cut
            || state.closed.load(Ordering::Relaxed)
            || (read_closed && buffered.is_empty())
        {
            return to.shutdown(Shutdown::Both);
        }
        if bytes < MAX_BUFFERED_BYTES && !read_closed {
            match from.read(&mut buffer) {
                Ok(0) => read_closed = true,
                Ok(n) => {
                    let delay = Duration::from_micros(state.delay_us.load(Ordering::Relaxed));
                    buffered.push_back((Instant::now() + delay, buffer[..n].to_vec()));
                    bytes += n;
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => read_closed = true,
            }
        } else {
            thread::sleep(CHECK_INTERVAL);
        }
        while mode == Mode::Pass
            && buffered
                .front()
                .is_some_and(|(due, _)| *due <= Instant::now())
        {
            let Some((_, chunk)) = buffered.pop_front() else {
                break;
            };
            to.write_all(&chunk)?;
            bytes -= chunk.len();
        }
    }
}
