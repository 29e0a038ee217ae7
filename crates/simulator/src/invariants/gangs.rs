//! Checks that at most one attempt of a gang is live at a time.

use lemonweir_model::AttemptId;

use super::InvariantChecker;
use crate::job::is_multi_task_gang;

impl InvariantChecker {
    /// Records that a task's launch command was accepted, and checks that no other attempt of its
    /// gang is live.
    pub fn launched(&mut self, id: &AttemptId, now: u64) {
        if !self
            .specs
            .get(&id.job)
            .is_some_and(|spec| is_multi_task_gang(spec))
        {
            return;
        }
        let attempts = self.live_gang_tasks.entry(id.job.clone()).or_default();
        *attempts.entry(id.attempt).or_default() += 1;
        if attempts.len() > 1 {
            let text = format!(
                "two_attempts: {} starts with {attempts:?} of its gang live",
                id.task_name()
            );
            self.violation(now, text);
        }
    }

    /// Records that a gang's task exited or was lost with its machine.
    pub fn gang_task_over(&mut self, id: &AttemptId) {
        let Some(attempts) = self.live_gang_tasks.get_mut(&id.job) else {
            return;
        };
        if let Some(tasks) = attempts.get_mut(&id.attempt) {
            *tasks -= 1;
        }
        attempts.retain(|_, tasks| *tasks > 0);
    }
}
