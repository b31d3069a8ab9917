//! Links between processes that can be cut, slowed, stalled and buffered back, one direction apart from the other.

use std::collections::VecDeque;
use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// From one look at what a link does to the next.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Bytes that are buffered back at most, before nothing more is read.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// What a link does with what comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It passes, after the link's delay.
    Pass,
    /// Connections are ended, and no new one comes about.
    Cut,
    /// Nothing passes and nothing ends; what came meanwhile is delivered afterwards.
    Hold,
}

#[derive(Debug, Default)]
struct LinkState {
    mode: AtomicU8,
    delay_us: AtomicU64,
    ended: AtomicBool,
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

/// A link: an address that stands for another.
#[derive(Debug)]
pub struct Link {
    /// Where it is dialled.
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    state: Arc<LinkState>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.state.ended.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address); // wakes the one that accepts
    }
}

impl Link {
    /// A link that leads nowhere yet.
    ///
    /// # Errors
    /// A port can't be had.
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
                if state.ended.load(Ordering::Relaxed) {
                    return;
                }
                let to = *target.lock().unwrap_or_else(PoisonError::into_inner);
                let (Ok(stream), Some(to)) = (stream, to) else {
                    continue;
                };
                let state = state.clone();
                thread::spawn(move || _ = forward_connection(&stream, to, &state)); // an end of either side ends it
            }
        });
        Ok(link)
    }

    /// Where it leads from here on, for connections that come.
    pub fn set_target(&self, to: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(to);
    }

    /// What it does from here on.
    pub fn set_mode(&self, mode: Mode) {
        self.state.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// What passes takes so long from here on, one way.
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
    let (back, forth) = (
        (upstream.try_clone()?, from.try_clone()?),
        (from.try_clone()?, upstream.try_clone()?),
    );
    for stream in [from, &upstream] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(CHECK_INTERVAL))?;
    }
    let other = state.clone();
    let other = thread::spawn(move || copy_direction(back.0, &back.1, &other));
    let ended = copy_direction(forth.0, &forth.1, state);
    let _ = upstream.shutdown(Shutdown::Both); // so that the other way ends as well
    let _ = from.shutdown(Shutdown::Both);
    let _ = other.join();
    ended
}

fn copy_direction(mut from: TcpStream, mut to: &TcpStream, state: &LinkState) -> io::Result<()> {
    let mut buffered: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let mut bytes = 0;
    let mut buffer = vec![0; 64 << 10];
    let mut over = false;
    loop {
        let mode = state.mode();
        if mode == Mode::Cut || state.ended.load(Ordering::Relaxed) || (over && buffered.is_empty())
        {
            return to.shutdown(Shutdown::Both);
        }
        if bytes < MAX_BUFFERED_BYTES && !over {
            match from.read(&mut buffer) {
                Ok(0) => over = true,
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
                Err(_) => over = true,
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
