//! Task states of a job: done, running or waiting.

use lemonweir_protocol::peer::AttemptState;

use super::{Job, LiveAttempt};

impl Job {
    /// True if a task is done.
    pub(crate) fn is_task_done(&self, task: u32) -> bool {
        self.done.get(task as usize).copied().unwrap_or(false)
    }

    /// Marks a task as done; true if it was not done before.
    pub(crate) fn set_task_done(&mut self, task: u32) -> bool {
        if self.done.len() <= task as usize {
            self.done.resize(task as usize + 1, false);
        }
        let is_new = !std::mem::replace(&mut self.done[task as usize], true);
        self.done_count += u32::from(is_new);
        is_new
    }

    /// Marks a task as done and its chunk as changed.
    pub(crate) fn complete_task(&mut self, task: u32) {
        if self.set_task_done(task) {
            self.mark_chunk_dirty(task);
        }
    }

    /// Done tasks in `first..end`, as inclusive ranges.
    pub(super) fn done_ranges(&self, first: u32, end: u32) -> Vec<(u32, u32)> {
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for task in (first..end).filter(|&task| self.is_task_done(task)) {
            match ranges.last_mut() {
                Some(range) if range.1 + 1 == task => range.1 = task,
                _ => ranges.push((task, task)),
            }
        }
        ranges
    }

    /// True if all tasks are done. Services are never complete.
    pub(super) fn is_complete(&self) -> bool {
        self.record.is_some() && self.done_count >= self.tasks && !self.is_service()
    }

    /// True if any task is placed, has run, or is done.
    pub(crate) fn has_started(&self) -> bool {
        self.has_run || self.done_count > 0 || !self.live.is_empty()
    }

    /// True if less than half of its tasks have a live attempt or are done.
    pub(super) fn is_below_half(&self) -> bool {
        2 * (self.done_count as usize + self.live.len()) < self.tasks as usize
    }

    /// Number of tasks to place until half of the tasks have a live attempt or are done.
    pub(crate) fn tasks_missing_to_half(&self) -> u64 {
        u64::from(self.tasks.div_ceil(2))
            .saturating_sub(u64::from(self.done_count) + self.live.len() as u64)
    }

    /// Number of tasks that have no live attempt and are not done.
    pub(crate) fn waiting_count(&self) -> u32 {
        // Saturates: a task of a gang that is done may briefly still have a live attempt.
        self.tasks
            .saturating_sub(self.done_count)
            .saturating_sub(self.live.len() as u32)
    }

    /// Queues a task that was placed before for placement again.
    pub(crate) fn requeue_task(&mut self, task: u32) {
        if task < self.placement_cursor {
            self.requeued.insert(task);
        }
    }

    fn is_waiting(&self, task: u32) -> bool {
        !self.is_task_done(task) && !self.live.contains_key(&task)
    }

    /// The first task that has no live attempt and is not done; requeued tasks come first.
    /// The cursor passes each task once; later tries are found in `requeued`.
    pub(crate) fn next_waiting_task(&mut self) -> Option<u32> {
        while let Some(&task) = self.requeued.first() {
            if self.is_waiting(task) {
                return Some(task);
            }
            self.requeued.pop_first();
        }
        while self.placement_cursor < self.tasks && !self.is_waiting(self.placement_cursor) {
            self.placement_cursor += 1;
        }
        (self.placement_cursor < self.tasks).then_some(self.placement_cursor)
    }

    /// Number of running tasks, and the reason why others wait; empty if none does.
    pub(crate) fn progress(&self) -> (u32, &'static str) {
        let running = self
            .live
            .values()
            .filter(|live| live.state == Some(AttemptState::Running))
            .count() as u32;
        let has_unwritten = || {
            self.live
                .iter()
                .any(|(&task, live)| !self.is_recorded(task, live))
        };
        let reason = if self.is_stopping() {
            "withdrawn; its last attempts are being stopped"
        } else if self.waiting_count() > 0 {
            self.pending_reason
        } else if has_unwritten() {
            "its start waits to be written to the store"
        } else {
            ""
        };
        (running, reason)
    }

    /// Number of live attempts at the same location as `live`, which is included.
    pub(crate) fn colocated_count<K: PartialEq>(
        &self,
        live: &LiveAttempt,
        location: impl Fn(&LiveAttempt) -> &K,
    ) -> u32 {
        self.live
            .values()
            .filter(|other| location(other) == location(live))
            .count() as u32
    }
}
