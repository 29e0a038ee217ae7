//! The exchange with one owner: what it has to be sent, and what it acknowledged.

use std::collections::HashMap;

use lemonweir_model::constants::{ENCODED_ATTEMPT_BYTES, MACHINE_TOKEN_BITS, PEER_VERSION};
use lemonweir_model::{AttemptId, MachineId};
use lemonweir_protocol::peer::{
    DesiredAttempt, JobProgress, ObservedState, ProvisionedInstance, SyncRequest, encoded_len,
};

use super::Placer;
use super::accounting::TaskKey;
use crate::change_log::ChangeLog;

/// Bytes that the progress of a job takes in a message, with a usual reason.
const PROGRESS_BYTES: usize = 80;
/// Bytes of stops that a message may hold beyond its other changes.
const MAX_STOPS_BYTES: usize = 4 * 1024;

/// What passes between this placer and one owner.
#[derive(Default)]
pub(super) struct OwnerChannel {
    /// Fencing token of the owner that the desired state is sent to.
    pub(super) recipient_token: u64,
    /// Number of the last message. A shard's numbers rise over all its leaders.
    pub(super) last_sent_seq: u64,
    /// Every recorded attempt on the owner's machines.
    pub(super) desired: ChangeLog<AttemptId, DesiredAttempt>,
    /// State of `desired` that was sent, and that the owner acknowledged.
    pub(super) desired_sent: u64,
    pub(super) desired_acked: u64,
    /// State of the jobs' progress that was sent, and that the owner's node has.
    pub(super) progress_sent: u64,
    pub(super) progress_acked: u64,
    /// Fencing token of the owner whose views are applied, the number of the newest
    /// one, and the states that it brought.
    pub(super) observed_token: u64,
    pub(super) last_view_seq: u64,
    pub(super) observed: ObservedState,
    /// Attempts that the owner has accepted, by machines whose figures have not come
    /// since.
    pub(super) uncounted: HashMap<MachineId, Vec<TaskKey>>,
    /// It is reached through the store only.
    pub(super) via_store: bool,
    /// When its last view came, ms.
    pub(super) last_view_at: Option<u64>,
}

impl OwnerChannel {
    /// A channel of a placer with this fencing token.
    pub(super) fn new(fencing_token: u64) -> Self {
        Self {
            last_sent_seq: fencing_token << MACHINE_TOKEN_BITS,
            ..Self::default()
        }
    }

    /// Begins anew with another owner.
    fn set_recipient(&mut self, token: u64) {
        if self.recipient_token != token {
            (
                self.recipient_token,
                self.desired_acked,
                self.progress_acked,
            ) = (token, 0, 0);
        }
    }

    /// The owner acknowledged a state of `desired`, and the progress that was sent.
    pub(super) fn acknowledge(&mut self, desired_at: u64) {
        // An owner that has less than it once acknowledged starts from nothing.
        self.desired_acked = if desired_at < self.desired_acked {
            0
        } else {
            desired_at
        };
        self.desired.compact(self.desired_acked);
        self.progress_acked = self.progress_acked.max(self.progress_sent);
        if self.desired_acked == 0 {
            self.desired_sent = 0;
        }
    }
}

/// The first of some items, as many as take so many bytes.
///
/// Guards against a message through the store that is too large for it, and so never
/// delivers the stops that it holds.
fn take_fitting<T>(
    items: impl Iterator<Item = T>,
    mut bytes: usize,
    size: impl Fn(&T) -> usize,
) -> Vec<T> {
    let fits = |item: &T| {
        let left = bytes.checked_sub(size(item));
        bytes = left.unwrap_or(0);
        left.is_some()
    };
    items.take_while(fits).collect()
}

/// Stops in the desired state that are newer than a state of it, with their grace in s.
fn stops_after(
    desired: &ChangeLog<AttemptId, DesiredAttempt>,
    upto: u64,
    bytes: usize,
) -> Vec<(AttemptId, u32)> {
    desired
        .newer_than(upto)
        .filter_map(|(id, attempt)| attempt.stop_grace_s.map(|grace| (id.clone(), grace)))
        .take(bytes / ENCODED_ATTEMPT_BYTES)
        .collect()
}

impl Placer {
    /// True if an owner with this token has not been sent all of the desired state.
    pub fn has_unsent_changes(&mut self, to: u16, to_token: u64) -> bool {
        self.publish_changes();
        let channel = &self.owner_channels[usize::from(to)];
        channel.recipient_token != to_token || channel.desired.last() > channel.desired_sent
    }

    /// Notes whether an owner is reached through the store only.
    pub fn set_via_store(&mut self, to: u16, via_store: bool) {
        self.owner_channels[usize::from(to)].via_store = via_store;
    }

    /// Notes that the last message to an owner was lost.
    pub fn message_lost(&mut self, to: u16) {
        let channel = &mut self.owner_channels[usize::from(to)];
        channel.desired_sent = channel.desired_acked;
        channel.progress_sent = channel.progress_acked;
    }

    /// Fencing token of the owner of a shard that was last sent the desired state.
    pub(crate) fn recipient_token(&self, shard: u16) -> Option<u64> {
        self.owner_channels
            .get(usize::from(shard))
            .map(|channel| channel.recipient_token)
    }

    /// The next message to an owner, with changes of `room` bytes. Progress of jobs is
    /// for answers at other nodes only, and goes where there is room for it.
    pub fn sync_request(
        &mut self,
        to: u16,
        to_token: u64,
        mut room: usize,
        with_progress: bool,
        now: u64,
    ) -> SyncRequest {
        self.publish_changes();
        // What stands beside the changes gets a share each: together with them it is
        // twice `room` at the most.
        let share = room / 4;
        let channel = &mut self.owner_channels[usize::from(to)];
        channel.set_recipient(to_token);
        channel.last_sent_seq += 1;
        let (span, changes) =
            channel
                .desired
                .changes_since(channel.desired_acked, &mut room, |_, attempt| {
                    attempt.map_or(ENCODED_ATTEMPT_BYTES, encoded_len)
                });
        channel.desired_sent = span.until;
        let (mut wants, mut dropped) = (Vec::new(), Vec::new());
        for (id, attempt) in changes {
            match attempt {
                Some(attempt) => wants.push(attempt.clone()),
                None => dropped.push(id.clone()),
            }
        }
        // Guards against a stop that waits behind hundreds of starts where a message
        // holds few.
        let stops = if span.complete {
            Vec::new()
        } else {
            stops_after(
                &channel.desired,
                span.until,
                room.max(MAX_STOPS_BYTES.min(share)),
            )
        };
        let (seq, have) = (
            channel.last_sent_seq,
            if channel.observed_token == to_token {
                channel.observed
            } else {
                ObservedState::default()
            },
        );
        let notes = if with_progress {
            self.unsent_progress(to, room)
        } else {
            Vec::new()
        };
        SyncRequest {
            version: PEER_VERSION,
            from_shard: self.shard,
            from_fencing_token: self.fencing_token,
            to_shard: to,
            to_fencing_token: to_token,
            seq,
            store_age_ms: u64::MAX,
            range: span,
            desired: wants,
            withdrawn: dropped,
            stops,
            observed: have,
            misrouted_heartbeats: 0,
            provisioned: self.pending_instances_of(to, share, now),
            reserved_machines: self.reserved_machines_of(to, share),
            progress: notes,
        }
    }

    /// Progress of jobs that an owner's node does not have yet, in `room` bytes.
    fn unsent_progress(&mut self, to: u16, mut room: usize) -> Vec<JobProgress> {
        let channel = &mut self.owner_channels[usize::from(to)];
        let (span, changes) =
            self.job_progress
                .changes_since(channel.progress_acked, &mut room, |_, _| PROGRESS_BYTES);
        channel.progress_sent = span.until;
        changes
            .into_iter()
            .filter_map(|(job, progress)| {
                progress.map(|progress| JobProgress {
                    job: job.clone(),
                    tasks_done: progress.done,
                    tasks_running: progress.running,
                    wait_reason: progress.reason.clone().into_owned(),
                })
            })
            .collect()
    }

    /// Instances provisioned for a shard that its owner may not know yet.
    fn pending_instances_of(&self, shard: u16, bytes: usize, now: u64) -> Vec<ProvisionedInstance> {
        let instances = self
            .pending_instances
            .iter()
            .filter(|pending| pending.shard == shard)
            .map(|pending| ProvisionedInstance {
                age_ms: now.saturating_sub(pending.provisioned_at),
                ..pending.instance.clone()
            });
        take_fitting(instances, bytes, encoded_len)
    }

    /// Empty machines of a shard that its owner should keep for expected work.
    fn reserved_machines_of(&self, shard: u16, bytes: usize) -> Vec<MachineId> {
        let index = &self.indexes[usize::from(shard)];
        let machines = self
            .reserved_machines
            .iter()
            .filter(|machine| index.position(machine).is_some())
            .cloned();
        take_fitting(machines, bytes, encoded_len)
    }
}
