//! Shared access to the coordination core behind a lock that is never held across an await.

use std::rc::Rc;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lemonweir_coordination::Core;

/// The core, shared by all tasks of the process. The lock is held only while a closure
/// runs: a closure can't await, so no task waits for another while it holds the lock.
#[derive(Clone)]
pub(crate) struct SharedCore {
    core: Rc<Mutex<Core>>,
    started: Instant,
}

impl SharedCore {
    /// Wraps a core and starts its monotonic clock.
    pub(crate) fn new(core: Core) -> Self {
        Self {
            core: Rc::new(Mutex::new(core)),
            started: Instant::now(),
        }
    }

    /// ms since the process started, by the monotonic clock.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Runs a closure on the core, with the current time of the monotonic clock in ms. Must
    /// not be called from within another closure: the lock is not reentrant.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut Core, u64) -> R) -> R {
        let now_ms = self.now_ms();
        let mut core = self
            .core
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        f(&mut core, now_ms)
    }
}

/// Wall-clock time, ms since the Unix epoch.
pub(crate) fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_millis() as u64
}
