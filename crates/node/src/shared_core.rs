//! The decisions of this controller behind a lock that is never held across an await.

use std::rc::Rc;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lemonweir_coordination::Core;

/// The core, shared by all tasks of the process. Its lock is held for one closure at a
/// time: since a closure can't await, no task can wait for another while it holds it.
#[derive(Clone)]
pub(crate) struct SharedCore {
    core: Rc<Mutex<Core>>,
    started: Instant,
}

impl SharedCore {
    /// Shares a core whose steady clock starts now.
    pub(crate) fn new(core: Core) -> Self {
        Self {
            core: Rc::new(Mutex::new(core)),
            started: Instant::now(),
        }
    }

    /// ms since the process started, by the steady clock.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Runs a step of the core, with the present time of the steady clock in ms. Must not
    /// be called within another step.
    pub(crate) fn with<R>(&self, step: impl FnOnce(&mut Core, u64) -> R) -> R {
        let now_ms = self.now_ms();
        let mut core = self
            .core
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        step(&mut core, now_ms)
    }
}

/// The time of day, ms since 1970.
pub(crate) fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_millis() as u64
}
