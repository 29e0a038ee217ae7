//! Log of launches: what a placer knew of a job's other attempts when it allowed one to be
//! launched.

use std::collections::BTreeMap;
use std::fmt::Write;

use lemonweir_protocol::peer::DesiredAttempt;
use tracing::{Level, enabled, info};

use super::owner_channel::OwnerChannel;
use crate::job::Job;

/// Logs that an attempt may be launched, if its owner was not told so before: the job's
/// recorded and unrecorded attempts by zone, this one included, and the attempts whose end is
/// not written yet. A new leader still loads the latter as live attempts.
pub(super) fn log_allowed_launch(
    shard: u16,
    fencing_token: u64,
    channel: &OwnerChannel,
    job: &Job,
    desired: &DesiredAttempt,
) {
    let may_launch = desired.may_start && desired.stop_grace_s.is_none();
    if !enabled!(Level::INFO) || !may_launch || job.tasks <= 1 {
        return;
    }
    if channel
        .desired
        .get(&desired.id)
        .is_some_and(|before| before.may_start)
    {
        return;
    }
    let Some(live) = job.live.get(&desired.id.task) else {
        return;
    };
    info!(
        attempt = %desired.id,
        machine = %desired.machine,
        zone = live.zone,
        shard,
        fencing_token,
        placed_by_earlier_leader = live.placed_at == 0,
        state = ?live.state,
        attempts_by_zone = attempts_by_zone(job),
        unwritten_ends = unwritten_ends(job),
        "attempt may be launched"
    );
}

/// Numbers of a job's live attempts by zone, as `zone:recorded+unrecorded`.
fn attempts_by_zone(job: &Job) -> String {
    let mut counts: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for (&task, live) in &job.live {
        let (recorded, unrecorded) = counts.entry(&live.zone).or_default();
        if job.is_recorded(task, live) {
            *recorded += 1;
        } else {
            *unrecorded += 1;
        }
    }
    let mut text = String::new();
    for (zone, (recorded, unrecorded)) in counts {
        // Writing to a `String` can't fail.
        let _ = write!(text, "{zone}:{recorded}+{unrecorded} ");
    }
    text.trim_end().to_owned()
}

/// The attempts of a job whose end is not written yet, each with its machine.
fn unwritten_ends(job: &Job) -> String {
    let mut text = String::new();
    for end in &job.ending {
        // Writing to a `String` can't fail.
        let _ = write!(text, "{}@{} ", end.id, end.machine);
    }
    text.trim_end().to_owned()
}
