//! An end before the end: what is told to stop ends the processes that it has started.

use std::collections::BTreeMap;
use std::io;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};

/// How often a wait looks whether it is to end.
const LOOK: Duration = Duration::from_millis(50);

/// Whether a sweep is to end, and the processes that then end with it.
#[derive(Clone, Debug, Default)]
pub struct Stop(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    set: AtomicBool,
    next: AtomicU64,
    children: Mutex<BTreeMap<u64, OwnedFd>>,
}

/// A process that ends when the sweep is stopped, for as long as this is kept.
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

    /// Ends all processes that are watched, and lets no wait go on.
    pub fn stop(&self) {
        self.0.set.store(true, Ordering::SeqCst);
        for child in self.children().values() {
            let _ = pidfd_send_signal(child, Signal::KILL); // it may have ended
        }
    }

    /// The same as a flag, for those who only look at it.
    pub fn flag(&self) -> &AtomicBool {
        &self.0.set
    }

    /// Whether it is to end.
    pub fn is_set(&self) -> bool {
        self.0.set.load(Ordering::SeqCst)
    }

    /// Nothing, or an error of the kind `Interrupted` when it is to end.
    ///
    /// # Errors
    /// It is to end.
    pub fn check(&self) -> io::Result<()> {
        if self.is_set() {
            Err(io::ErrorKind::Interrupted.into())
        } else {
            Ok(())
        }
    }

    /// Waits.
    ///
    /// # Errors
    /// It is to end.
    pub fn sleep(&self, span: Duration) -> io::Result<()> {
        let end = Instant::now() + span;
        loop {
            self.check()?;
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            thread::sleep(left.min(LOOK));
        }
    }

    /// Watches a child of this process that has not been waited for; it ends at once if this is stopped already.
    pub fn watch(&self, id: u32) -> Option<Watched> {
        let child =
            pidfd_open(Pid::from_raw(i32::try_from(id).ok()?)?, PidfdFlags::empty()).ok()?;
        let number = self.0.next.fetch_add(1, Ordering::SeqCst);
        let mut children = self.children();
        if self.is_set() {
            let _ = pidfd_send_signal(&child, Signal::KILL); // as above
        }
        children.insert(number, child);
        Some(Watched {
            stop: self.clone(),
            number,
        })
    }
}
