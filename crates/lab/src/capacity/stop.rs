//! Interruption of a sweep: ends its waits and kills the child processes that it has started.

use std::collections::BTreeMap;
use std::io;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};

/// Interval at which a wait checks for the stop.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Stop signal of a sweep, with the child processes that are killed when it is set.
#[derive(Clone, Debug, Default)]
pub struct Stop(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    set: AtomicBool,
    next: AtomicU64,
    children: Mutex<BTreeMap<u64, OwnedFd>>,
}

/// Registration of a child process that is killed when the sweep is stopped; dropping it ends the registration.
#[derive(Debug)]
pub struct Watched {
    stop: Stop,
    number: u64,
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.stop.children().remove(&self.number);
    }
}

impl Stop {
    fn children(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, OwnedFd>> {
        self.0
            .children
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Kills all registered processes and ends all waits.
    pub fn stop(&self) {
        self.0.set.store(true, Ordering::SeqCst);
        for child in self.children().values() {
            let _ = pidfd_send_signal(child, Signal::KILL); // the process may have ended already
        }
    }

    /// Returns the signal as a flag for code that only polls it.
    pub fn flag(&self) -> &AtomicBool {
        &self.0.set
    }

    /// Returns true if the sweep is to stop.
    pub fn is_set(&self) -> bool {
        self.0.set.load(Ordering::SeqCst)
    }

    /// Returns an error of the kind `Interrupted` if the sweep is to stop.
    ///
    /// # Errors
    /// The sweep is to stop.
    pub fn check(&self) -> io::Result<()> {
        if self.is_set() {
            Err(io::ErrorKind::Interrupted.into())
        } else {
            Ok(())
        }
    }

    /// Sleeps for a duration or until the stop.
    ///
    /// # Errors
    /// The sweep is to stop.
    pub fn sleep(&self, span: Duration) -> io::Result<()> {
        let end = Instant::now() + span;
        loop {
            self.check()?;
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            thread::sleep(left.min(CHECK_INTERVAL));
        }
    }

    /// Registers a child process that has not been waited for. It is killed at once if the sweep is already stopped.
    pub fn watch(&self, id: u32) -> Option<Watched> {
        let child =
            pidfd_open(Pid::from_raw(i32::try_from(id).ok()?)?, PidfdFlags::empty()).ok()?;
        let number = self.0.next.fetch_add(1, Ordering::SeqCst);
        let mut children = self.children();
        if self.is_set() {
            let _ = pidfd_send_signal(&child, Signal::KILL); // the process may have ended already
        }
        children.insert(number, child);
        Some(Watched {
            stop: self.clone(),
            number,
        })
    }
}
