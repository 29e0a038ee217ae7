//! The last known progress of jobs, which is told with its age while nothing newer can be had.
//!
//! The leader of a shard keeps it in the store, where it outlives the leader: what a new leader
//! doesn't know yet of attempts that an earlier one launched, it carries on with the age that it has.
//! So how long a job stays unanswered depends on when its progress was last known, and not on how long
//! a leader or a process has waited (`docs/design.md`, 18).

use lemonweir_model::JobId;
use lemonweir_protocol::last_progress::{LastProgressRow, MAX_PACKED_ROW_BYTES, pack_row};
use lemonweir_storage::last_progress::{
    LastPhase, LastProgress, PackedProgress, write_last_progress,
};

use crate::config::store_message_piece_bytes;
use crate::{Core, Effect};

/// ms between two comparisons of a shard's progress with what was last written.
const COMPARISON_INTERVAL_MS: u64 = 250;
/// ms between two writes of a shard's last known progress, if a job got its first attempt: until then
/// the others call it queued.
const FIRST_ATTEMPT_WRITE_INTERVAL_MS: u64 = 500;
/// The same for any other change, and while some job may begin to run: how long such a job is not told
/// depends on the age.
const CHANGE_WRITE_INTERVAL_MS: u64 = 2_000;
/// ms since its progress was last known for which a job of which an attempt may have begun to run
/// is not called queued: an election and its machines' next heartbeats take less.
pub const MAY_RUN_UNTOLD_MS: u64 = 15_000;

/// What a leader last wrote of its shard's progress.
#[derive(Default)]
pub(crate) struct LastProgressWriter {
    /// When it was last compared with the present progress, ms.
    compared_at: Option<u64>,
    /// When it was last written, ms, and by the time of day.
    written_at: u64,
    known_at_ms: u64,
    rows: Vec<LastProgressRow>,
}

/// What has to be stored soon when it changes: the phase that a job is told to be in, not its counts.
fn phase(row: &LastProgressRow) -> (&JobId, bool, bool) {
    (&row.job, row.tasks_running > 0, row.may_run)
}

impl LastProgressWriter {
    /// True if these rows, sorted by id, have to be written. `stored_at_ms`: the time of day of what
    /// is stored; `write_interval_ms`: the controller's share of the store's writes allows no more.
    fn is_due(
        &self,
        rows: &[LastProgressRow],
        stored_at_ms: Option<u64>,
        write_interval_ms: u64,
        now: u64,
    ) -> bool {
        let written = |ms: u64| now >= self.written_at + ms.max(write_interval_ms);
        if self.compared_at.is_none() || rows.iter().any(|row| row.may_run && !self.lists(&row.job))
        {
            return written(FIRST_ATTEMPT_WRITE_INTERVAL_MS);
        }
        let changed = !rows.iter().map(phase).eq(self.rows.iter().map(phase));
        let is_lost = stored_at_ms != Some(self.known_at_ms);
        (changed || is_lost || rows.iter().any(|row| row.may_run))
            && written(CHANGE_WRITE_INTERVAL_MS)
    }

    fn lists(&self, id: &JobId) -> bool {
        self.rows.binary_search_by(|row| row.job.cmp(id)).is_ok()
    }
}

/// Packs rows into pages of at most `page_bytes`, as many as allowed.
fn pack(rows: &[LastProgressRow], page_bytes: usize, max_pages: usize) -> PackedProgress {
    let mut pages = vec![Vec::new()];
    let mut upto = None;
    for row in rows {
        let page = pages.last().map_or(0, Vec::len);
        if page + MAX_PACKED_ROW_BYTES > page_bytes {
            if pages.len() >= max_pages {
                return PackedProgress { pages, upto };
            }
            pages.push(Vec::new());
        }
        if let Some(page) = pages.last_mut() {
            pack_row(page, row);
        }
        upto = Some(row.job.clone());
    }
    PackedProgress { pages, upto: None }
}

impl Core {
    /// Writes the last known progress of a shard that this controller leads, if it is due.
    pub(crate) fn due_last_progress(&mut self, shard: u16, now: u64) -> Option<Effect> {
        let write_interval_ms = self.last_progress_write_interval_ms(shard);
        let time_of_day_ms = now + self.config.wall_clock_offset_ms;
        let stored_at_ms = self.cache.last_progress.known_at_ms(shard);
        if self.own_progress_outdated(now) {
            return None;
        }
        let led = self.shards.get_mut(&shard)?;
        let compared_at = led.last_progress.compared_at;
        if compared_at.is_some_and(|at| now < at + COMPARISON_INTERVAL_MS) {
            return None;
        }
        let rows = led.placer.last_progress_rows(time_of_day_ms);
        let is_due = led
            .last_progress
            .is_due(&rows, stored_at_ms, write_interval_ms, now);
        led.last_progress.compared_at = Some(now);
        if !is_due {
            return None;
        }
        let page_bytes = store_message_piece_bytes(self.config.value_bytes);
        let progress = pack(&rows, page_bytes, self.config.value_pages_per_cas());
        let pages_before = self.cache.last_progress.page_count(shard);
        let cas = write_last_progress(
            shard,
            led.lease.token,
            &progress,
            time_of_day_ms,
            pages_before,
        );
        led.last_progress = LastProgressWriter {
            compared_at: Some(now),
            written_at: now,
            known_at_ms: time_of_day_ms,
            rows,
        };
        Some(Effect::WriteHint(cas))
    }

    /// ms between two writes of a shard's last known progress that use up this controller's share of
    /// the writes.
    fn last_progress_write_interval_ms(&self, shard: u16) -> u64 {
        let pages = self.cache.last_progress.page_count(shard).max(1) as u64;
        pages * self.progress_write_interval_ms()
    }

    /// Takes over what earlier leaders last knew of the jobs of a shard that this controller has just
    /// acquired, as far as they have attempts that it knows nothing of.
    pub(crate) fn inherit_last_progress(&mut self, shard: u16, now: u64) {
        // Where earlier leaders left nothing, the age counts from now on.
        let unknown = LastProgress {
            tasks_done: 0,
            phase: LastPhase::MayRun,
            known_at_ms: now + self.config.wall_clock_offset_ms,
        };
        let cache = &self.cache.last_progress;
        if let Some(led) = self.shards.get_mut(&shard) {
            led.placer
                .inherit_last_progress(|id| cache.get(shard, id).unwrap_or(unknown));
        }
    }

    /// The last known progress of a job of a shard, if it may be told, and its age, ms. `inherited`:
    /// the leader of its shard does not know whether attempts of an earlier one run.
    pub(crate) fn last_known(
        &self,
        shard: u16,
        id: &JobId,
        inherited: bool,
        now: u64,
    ) -> Option<(LastProgress, u64)> {
        let placer = self.shards.get(&shard).map(|led| &led.placer);
        let last = match placer
            .filter(|_| inherited)
            .and_then(|p| p.inherited_progress(id))
        {
            Some(last) => *last,
            None => self.cache.last_progress.get(shard, id)?,
        };
        let may_run = match last.phase {
            LastPhase::MayRun => true,
            LastPhase::Running(_) => false,
            // It may have an attempt that was recorded later.
            LastPhase::Queued => inherited || placer.is_some_and(|placer| placer.has_attempt(id)),
        };
        let time_of_day_ms = now + self.config.wall_clock_offset_ms;
        let age_ms = time_of_day_ms.saturating_sub(last.known_at_ms);
        (!may_run || age_ms >= MAY_RUN_UNTOLD_MS).then_some((last, age_ms))
    }
}
