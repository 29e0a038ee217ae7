//! Exchange with the owner of one shard: which changes it has to be sent, and which it has
//! acknowledged.

use std::collections::HashMap;

use lemonweir_model::constants::{ENCODED_ATTEMPT_BYTES, MACHINE_TOKEN_BITS, PEER_VERSION};
use lemonweir_model::{AttemptId, MachineId};
use lemonweir_protocol::peer::{
    DesiredAttempt, JobProgress, ObservedState, ProvisionedInstance, SyncRequest, encoded_len,
};

use super::Placer;
use super::accounting::TaskKey;
use crate::change_log::ChangeLog;

/// Bytes of a job's progress in a message, with a wait reason of typical length.
const PROGRESS_BYTES: usize = 80;
/// Bytes of stops that a message may hold in addition to its other changes.
const MAX_STOPS_BYTES: usize = 4 * 1024;

/// State of the exchange between this placer and one owner.
#[derive(Default)]
pub(super) struct OwnerChannel {
    /// Fencing token of the owner that the desired state is sent to.
    pub(super) recipient_token: u64,
    /// Sequence number of the last message; it increases across all leaders of the shard.
    pub(super) last_sent_seq: u64,
    /// Every recorded attempt on the owner's machines.
    pub(super) desired: ChangeLog<AttemptId, DesiredAttempt>,
    /// Newest change of `desired` that was sent, and that the owner acknowledged.
    pub(super) desired_sent: u64,
    pub(super) desired_acked: u64,
    /// Newest change of the jobs' progress that was sent, and that the owner's node has.
    pub(super) progress_sent: u64,
    pub(super) progress_acked: u64,
    /// Sequence number of the last message that carried progress.
    pub(super) progress_seq: u64,
    /// Fencing token of the owner whose views are applied, the sequence number of the
    /// newest one, and the revisions that it led to.
    pub(super) observed_token: u64,
    pub(super) last_view_seq: u64,
    pub(super) observed: ObservedState,
    /// Accepted attempts that the published usage of their machine does not include yet,
    /// by machine.
    pub(super) accepted_not_in_usage: HashMap<MachineId, Vec<TaskKey>>,
    /// True if the owner is reached only through messages in the store.
    pub(super) via_store: bool,
    /// When the owner's last view arrived, ms.
    pub(super) last_view_at: Option<u64>,
}

impl OwnerChannel {
    /// Creates the channel of a placer with this fencing token.
    pub(super) fn new(fencing_token: u64) -> Self {
        Self {
            last_sent_seq: fencing_token << MACHINE_TOKEN_BITS,
            ..Self::default()
        }
    }

    /// Resets the acknowledgements if the shard has another owner than before.
    fn set_recipient(&mut self, token: u64) {
        if self.recipient_token != token {
            (
                self.recipient_token,
                self.desired_acked,
                self.progress_acked,
            ) = (token, 0, 0);
        }
    }

    /// Applies the answer to message `seq`, which acknowledges `desired` up to a change. It
    /// acknowledges the progress sent only if that message carried it: answers to messages
    /// through the store arrive while a direct one is still out.
    pub(super) fn acknowledge(&mut self, seq: u64, desired_at: u64) {
        // An owner that has less than it once acknowledged is sent everything again.
        self.desired_acked = if desired_at < self.desired_acked {
            0
        } else {
            desired_at
        };
        self.desired.compact(self.desired_acked);
        if seq == self.progress_seq {
            self.progress_acked = self.progress_acked.max(self.progress_sent);
        }
        if self.desired_acked == 0 {
            self.desired_sent = 0;
        }
    }
}

/// Takes items from the front while they fit into `bytes`.
///
/// Guards against a message that is too large for the store, so that the stops in it are
/// never delivered.
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

/// Stops in the desired state newer than change `upto`, with their grace in s, as many as
/// fit into `bytes`.
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
    /// True if the owner with this fencing token has not been sent all of the desired state.
    pub fn has_unsent_changes(&mut self, to: u16, to_token: u64) -> bool {
        self.publish_changes();
        let channel = &self.owner_channels[usize::from(to)];
        channel.recipient_token != to_token || channel.desired.last() > channel.desired_sent
    }

    /// Records whether an owner is reached only through messages in the store.
    pub fn set_via_store(&mut self, to: u16, via_store: bool) {
        self.owner_channels[usize::from(to)].via_store = via_store;
    }

    /// Marks everything that an owner has not acknowledged as unsent, after its last message
    /// was lost.
    pub fn message_lost(&mut self, to: u16) {
        let channel = &mut self.owner_channels[usize::from(to)];
        channel.desired_sent = channel.desired_acked;
        channel.progress_sent = channel.progress_acked;
    }

    /// Fencing token of the owner that was last sent the desired state of a shard.
    pub(crate) fn recipient_token(&self, shard: u16) -> Option<u64> {
        self.owner_channels
            .get(usize::from(shard))
            .map(|channel| channel.recipient_token)
    }

    /// Builds the next message to an owner, with changes of up to `budget` bytes. Progress of
    /// jobs only serves status answers at other nodes, so it takes the bytes that are left.
    pub fn sync_request(
        &mut self,
        to: u16,
        to_token: u64,
        mut budget: usize,
        with_progress: bool,
        now: u64,
    ) -> SyncRequest {
        self.publish_changes();
        // Stops, instances and reserved machines get a share each in addition to the
        // changes: the message is at most twice `budget`.
        let share = budget / 4;
        let channel = &mut self.owner_channels[usize::from(to)];
        channel.set_recipient(to_token);
        channel.last_sent_seq += 1;
        let (sent_range, changes) =
            channel
                .desired
                .changes_since(channel.desired_acked, &mut budget, |_, attempt| {
                    attempt.map_or(ENCODED_ATTEMPT_BYTES, encoded_len)
                });
        channel.desired_sent = sent_range.until;
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        for (id, attempt) in changes {
            match attempt {
                Some(attempt) => changed.push(attempt.clone()),
                None => removed.push(id.clone()),
            }
        }
        // Guards against a stop that waits behind hundreds of starts when a message holds
        // only a few.
        let stops = if sent_range.complete {
            Vec::new()
        } else {
            stops_after(
                &channel.desired,
                sent_range.until,
                budget.max(MAX_STOPS_BYTES.min(share)),
            )
        };
        let (seq, observed_state) = (
            channel.last_sent_seq,
            if channel.observed_token == to_token {
                channel.observed
            } else {
                ObservedState::default()
            },
        );
        let job_progress = if with_progress {
            self.unsent_progress(to, budget)
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
            range: sent_range,
            desired: changed,
            withdrawn: removed,
            stops,
            observed: observed_state,
            misrouted_heartbeats: 0,
            provisioned: self.pending_instances_of(to, share, now),
            reserved_machines: self.reserved_machines_of(to, share),
            progress: job_progress,
        }
    }

    /// Progress of jobs that an owner's node does not have yet, up to `budget` bytes.
    fn unsent_progress(&mut self, to: u16, mut budget: usize) -> Vec<JobProgress> {
        let channel = &mut self.owner_channels[usize::from(to)];
        let (range, changes) =
            self.job_progress
                .changes_since(channel.progress_acked, &mut budget, |_, _| PROGRESS_BYTES);
        channel.progress_sent = range.until;
        channel.progress_seq = channel.last_sent_seq;
        changes
            .into_iter()
            .filter_map(|(job, progress)| {
                // A row of a sync can't say that it is not known whether a task runs.
                let progress = progress.filter(|progress| progress.known)?;
                Some(JobProgress {
                    job: job.clone(),
                    tasks_done: progress.done,
                    tasks_running: progress.running,
                    wait_reason: progress.reason.clone().into_owned(),
                })
            })
            .collect()
    }

    /// Instances provisioned for a shard that no view of its owner has shown yet, up to
    /// `bytes`.
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

    /// Empty machines of a shard that its owner should keep for expected work, up to
    /// `bytes`.
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
