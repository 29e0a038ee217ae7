//! Admission of gang jobs.

use std::collections::BTreeSet;

use lemonweir_model::JobKind;
use lemonweir_model::constants::TASKS_PER_CHUNK;
use lemonweir_storage::records::GangAdmissionStep;

use super::{Job, LiveAttempt};
use crate::gang_admission::{self, GangAdmission, GangMembers, InheritedAdmission};

impl Job {
    /// True if all tasks must start together (all or nothing).
    pub(crate) fn is_gang(&self) -> bool {
        self.is_kind(JobKind::Gang) && self.tasks > 1
    }

    /// Resumes the admission that an earlier leader of the shard left. `time_of_day_ms` is
    /// the time of day at `now`.
    pub(crate) fn resume_admission(&mut self, gang_wait_ms: u64, now: u64, time_of_day_ms: u64) {
        if !self.is_gang() || self.admission.is_some() || self.live.is_empty() {
            return;
        }
        let loaded = |(task, live): (&u32, &LiveAttempt)| {
            (
                live.attempt,
                self.chunks
                    .get(&(task / TASKS_PER_CHUNK))
                    .and_then(|chunk| chunk.loaded_admission.as_ref()),
            )
        };
        let Some(InheritedAdmission { step, at, attempt }) =
            gang_admission::inherited_admission(self.live.iter().map(loaded))
        else {
            return;
        };
        let age_ms = time_of_day_ms.saturating_sub(at);
        let since = gang_admission::inherited_step_start(step, age_ms, gang_wait_ms, now);
        self.admission = Some(GangAdmission {
            step,
            at,
            attempt,
            since: Some(since),
        });
        if step == GangAdmissionStep::Released {
            self.stop_all();
        }
    }

    /// Counts of its members by state.
    pub(crate) fn gang_members(&self) -> GangMembers {
        let mut members = GangMembers {
            needed: self.tasks.saturating_sub(self.done_count),
            ..GangMembers::default()
        };
        for live in self.live.values() {
            members.add(live.state, live.stop_grace_s.is_some());
        }
        members
    }

    /// Advances its admission to a step and marks all chunks with members as dirty.
    pub(crate) fn advance_admission(&mut self, step: GangAdmissionStep, time_of_day_ms: u64) {
        let Some(admission) = &mut self.admission else {
            return;
        };
        admission.advance(step, time_of_day_ms);
        let chunks: BTreeSet<u32> = self
            .live
            .keys()
            .map(|task| task / TASKS_PER_CHUNK)
            .collect();
        for index in chunks {
            let change = self.mark_chunk_dirty(index * TASKS_PER_CHUNK);
            if let Some(chunk) = self.chunks.get_mut(&index) {
                chunk.newest_step = change;
            }
        }
    }

    /// True if the newest step is not written in some chunk.
    pub(crate) fn has_unwritten_step(&self) -> bool {
        self.admission.is_some()
            && self
                .chunks
                .values()
                .any(|chunk| chunk.written < chunk.newest_step)
    }

    /// True if the admission of the whole gang is written, so that it may be launched. Prevents
    /// a launch that a successor of this placer would not know of, and a launch of a gang that
    /// is not admitted in all of its chunks.
    pub(crate) fn is_admitted(&self) -> bool {
        self.admission.as_ref().is_some_and(|admission| {
            matches!(
                admission.step,
                GangAdmissionStep::Admitted | GangAdmissionStep::Other
            )
        }) && !self.has_unwritten_step()
    }
}
