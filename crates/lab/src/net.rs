//! Links between processes that can be cut, slowed, stalled and held back, one direction apart from the other.

use std::collections::VecDeque;
use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// From one look at what a link does to the next.
const LOOK: Duration = Duration::from_millis(2);
/// Bytes that are held back at most, before nothing more is read.
const HELD: usize = 8 << 20;

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
struct How {
    mode: AtomicU8,
    delay_us: AtomicU64,
    ended: AtomicBool,
}

impl How {
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
    how: Arc<How>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.how.ended.store(true, Ordering::Relaxed);
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
            how: Arc::default(),
        };
        let (target, how) = (link.target.clone(), link.how.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                if how.ended.load(Ordering::Relaxed) {
                    return;
                }
                let to = *target.lock().unwrap_or_else(PoisonError::into_inner);
                let (Ok(stream), Some(to)) = (stream, to) else {
                    continue;
                };
                let how = how.clone();
                thread::spawn(move || _ = carry(&stream, to, &how)); // an end of either side ends it
            }
        });
        Ok(link)
    }

    /// Where it leads from here on, for connections that come.
    pub fn lead(&self, to: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(to);
    }

    /// What it does from here on.
    pub fn set(&self, mode: Mode) {
        self.how.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// What passes takes so long from here on, one way.
    pub fn delay(&self, delay: Duration) {
        self.how
            .delay_us
            .store(delay.as_micros() as u64, Ordering::Relaxed);
    }
}

fn carry(from: &TcpStream, to: SocketAddr, how: &Arc<How>) -> io::Result<()> {
    if how.mode() == Mode::Cut {
        return Ok(());
    }
    let there = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    let (back, forth) = (
        (there.try_clone()?, from.try_clone()?),
        (from.try_clone()?, there.try_clone()?),
    );
    for stream in [from, &there] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LOOK))?;
    }
    let other = how.clone();
    let other = thread::spawn(move || pump(back.0, &back.1, &other));
    let ended = pump(forth.0, &forth.1, how);
    let _ = there.shutdown(Shutdown::Both); // so that the other way ends as well
    let _ = from.shutdown(Shutdown::Both);
    let _ = other.join();
    ended
}

fn pump(mut from: TcpStream, mut to: &TcpStream, how: &How) -> io::Result<()> {
    let mut held: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let mut bytes = 0;
    let mut buffer = vec![0; 64 << 10];
    let mut over = false;
    loop {
        let mode = how.mode();
        if mode == Mode::Cut || how.ended.load(Ordering::Relaxed) || (over && held.is_empty()) {
            return to.shutdown(Shutdown::Both);
        }
        if bytes < HELD && !over {
            match from.read(&mut buffer) {
                Ok(0) => over = true,
                Ok(n) => {
                    let delay = Duration::from_micros(how.delay_us.load(Ordering::Relaxed));
                    held.push_back((Instant::now() + delay, buffer[..n].to_vec()));
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
            thread::sleep(LOOK);
        }
        while mode == Mode::Pass && held.front().is_some_and(|(due, _)| *due <= Instant::now()) {
            let Some((_, piece)) = held.pop_front() else {
                break;
            };
            to.write_all(&piece)?;
            bytes -= piece.len();
        }
    }
}
