//! Admission of a job that is a gang.

use std::collections::BTreeSet;

use lemonweir_model::JobKind;
use lemonweir_model::constants::TASKS_PER_CHUNK;
use lemonweir_storage::records::GangAdmissionStep;

use super::{Job, LiveAttempt};
use crate::gang_admission::{self, GangAdmission, GangMembers, InheritedAdmission};

impl Job {
    /// True if its tasks start together or not at all.
    pub(crate) fn is_gang(&self) -> bool {
        self.is_kind(JobKind::Gang) && self.tasks > 1
    }

    /// Resumes at `now`, at this time of day, the admission that an earlier leader of
    /// the shard left.
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
        let since = gang_admission::step_counts_from(step, age_ms, gang_wait_ms, now);
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

    /// Its members together.
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

    /// Advances its admission to a step, in all chunks with members.
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

    /// True if some chunk with members does not hold the newest step yet.
    pub(crate) fn has_unwritten_step(&self) -> bool {
        self.admission.is_some()
            && self
                .chunks
                .values()
                .any(|chunk| chunk.written < chunk.newest_step)
    }

    /// True if it is in the store that all of it may be launched. Guards against a
    /// launch that a successor of this placer knows nothing of, and against one of
    /// a gang that is not admitted in all of its chunks.
    pub(crate) fn is_admitted(&self) -> bool {
        self.admission.as_ref().is_some_and(|admission| {
            matches!(
                admission.step,
                GangAdmissionStep::Admitted | GangAdmissionStep::Other
            )
        }) && !self.has_unwritten_step()
    }
}
