//! Handling of worker heartbeats: what they prove about a machine, and the reply to them.

use super::*;
use lemonweir_model::constants::WORKER_RESPONSE_TIMEOUT_MS;

/// What a heartbeat showed when it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReceiptStatus {
    /// The present state of the machine.
    Current,
    /// The first sign of a machine, which is being queried.
    Unconfirmed,
    /// An older state.
    Late,
}

/// A heartbeat that was received and is to be replied to.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatReceipt {
    pub(super) machine: MachineId,
    sequence: MessageSequence,
    fencing_token: u64,
    /// Number of the controller that relayed it; `None`: it came directly.
    relayed_by: Option<u16>,
    /// When it arrived, ms.
    pub(super) received_at: u64,
    pub(super) status: ReceiptStatus,
    /// Whether it reports tasks that have ended since the status before.
    pub(super) reports_end: bool,
}

impl HeartbeatReceipt {
    /// The heartbeat that is to be replied to.
    pub(crate) fn id(&self) -> HeartbeatId {
        HeartbeatId {
            machine: self.machine.clone(),
            incarnation: self.sequence.session,
            sequence: self.sequence.number,
        }
    }
}

impl Owner {
    /// Returns true if a heartbeat shows the present state of its machine. Only such a
    /// heartbeat proves that workers of its zone reach this controller.
    pub(crate) fn is_current(&self, heartbeat: &Heartbeat) -> bool {
        let freshness = |m: &Machine| {
            m.incarnation.classify(
                MessageSequence::from_heartbeat(heartbeat),
                heartbeat.fencing_token,
                Origin::Heartbeat(None),
            )
        };
        self.machines.get(&heartbeat.machine).map_or(
            heartbeat.fencing_token >> MACHINE_TOKEN_BITS == self.token,
            |m| matches!(freshness(m), Freshness::Current | Freshness::Restarted),
        )
    }

    /// Handles a heartbeat that came directly or was relayed by the controller
    /// `relayed_by`, and replies to it. Returns `None` if it must not be answered with status
    /// 200.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        relayed_by: Option<u16>,
        now: u64,
    ) -> Option<HeartbeatResponse> {
        let receipt = self.receive_heartbeat(heartbeat, relayed_by, now)?;
        self.reply(&receipt, now)
    }

    /// Applies a heartbeat that came directly or was relayed by the controller `relayed_by`.
    /// Returns `None` if it must not be answered with status 200.
    pub(crate) fn receive_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        relayed_by: Option<u16>,
        now: u64,
    ) -> Option<HeartbeatReceipt> {
        if self.released_machines.contains(&heartbeat.machine) {
            return None;
        }
        if heartbeat.fencing_token >> MACHINE_TOKEN_BITS > self.token {
            // The worker has seen a later owner. A reply would only keep it sending
            // heartbeats here while its lease expires.
            return None;
        }
        let live_before = self.live_task_count(&heartbeat.machine);
        let current = self.apply_heartbeat(heartbeat, Origin::Heartbeat(relayed_by), now);
        if current {
            self.abandon_held(&heartbeat.machine);
        }
        let reports_end = self.live_task_count(&heartbeat.machine) < live_before;
        let m = self.machines.get_mut(&heartbeat.machine)?;
        if current || m.last_heartbeat_at.is_none() {
            // Commands take the route of the newest heartbeat.
            let since = m.relay.map_or(now, |relay| relay.since);
            m.relay = relayed_by.map(|peer| Relay { peer, since });
        }
        let status = match (current, m.last_heartbeat_at) {
            (true, _) => ReceiptStatus::Current,
            (false, None) => ReceiptStatus::Unconfirmed,
            (false, Some(_)) => ReceiptStatus::Late,
        };
        Some(HeartbeatReceipt {
            machine: heartbeat.machine.clone(),
            sequence: MessageSequence::from_heartbeat(heartbeat),
            fencing_token: heartbeat.fencing_token,
            relayed_by,
            received_at: now,
            status,
            reports_end,
        })
    }

    fn live_task_count(&self, machine: &MachineId) -> usize {
        self.machines
            .get(machine)
            .map_or(0, |m| m.live_tasks().count())
    }

    /// Replies to a heartbeat with the commands that are due now. Returns `None` if it must not be
    /// answered with status 200.
    pub(crate) fn reply(
        &mut self,
        receipt: &HeartbeatReceipt,
        now: u64,
    ) -> Option<HeartbeatResponse> {
        let reading = self.lease_reading;
        let m = self.machines.get_mut(&receipt.machine)?;
        // A heartbeat of an expired session gets no reply, unless its token is not trusted: it
        // may then be the first heartbeat of a new incarnation.
        if receipt.sequence.session <= m.expired_session
            && m.incarnation.is_trusted_token(receipt.fencing_token)
        {
            return None;
        }
        let channel = reply_channel(m, receipt, now);
        // A machine without tasks loses nothing with its lease.
        if let Some(reading) = reading.filter(|_| m.live_tasks().next().is_some()) {
            m.incarnation.renew_lease(reading, now);
        }
        m.incarnation.record_reply(
            receipt.sequence,
            receipt.fencing_token,
            receipt.relayed_by,
            now,
        );
        let fencing_token = m.incarnation.reply_token();
        m.incarnation
            .record_sent_token(fencing_token, &self.timing, now);
        let due_commands = self.commands_for(&receipt.machine, now, channel);
        let m = self.machines.get_mut(&receipt.machine)?;
        if contains_launch(&due_commands) {
            m.launches_in_response_to = Some(receipt.sequence.number);
        }
        log_forgets(self.shard, &receipt.machine, m, &due_commands);
        Some(HeartbeatResponse {
            fencing_token,
            commands: due_commands,
        })
    }

    /// Applies a worker's status, from a heartbeat or the response to a call. Returns true
    /// if it shows the present state of the machine.
    pub(super) fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        origin: Origin,
        now: u64,
    ) -> bool {
        let id = &heartbeat.machine;
        if !self.machines.contains_key(id) {
            self.insert_machine(
                id,
                &heartbeat.machine_type,
                &heartbeat.zone,
                heartbeat.spot,
                now,
            );
        }
        self.unseen_machines.remove(id);
        let Some(m) = self.machines.get_mut(id) else {
            return false;
        };
        let sequence = MessageSequence::from_heartbeat(heartbeat);
        let freshness = m
            .incarnation
            .classify(sequence, heartbeat.fencing_token, origin);
        match freshness {
            Freshness::Current if heartbeat.incarnation <= m.expired_session => return false,
            Freshness::Current => {}
            Freshness::Restarted => {
                info!(machine = %id, shard = self.shard, "worker restarted");
                m.reset_after_restart(origin, now);
            }
            Freshness::Stale | Freshness::Unverified => {
                self.apply_unverified(heartbeat, origin, now);
                return false;
            }
        }
        self.register_first_heartbeat(heartbeat, now);
        let Some(m) = self.machines.get_mut(id) else {
            return false;
        };
        if freshness == Freshness::Current && heartbeat.incarnation > m.incarnation.session() {
            begin_session(m, heartbeat);
        }
        let was_reachable = m.incarnation.is_reachable();
        m.incarnation
            .apply(sequence, heartbeat.fencing_token, origin, &self.timing, now);
        if m.incarnation.is_reachable() != was_reachable {
            info!(machine = %id, shard = self.shard, reachable = !was_reachable, "worker reachability changed");
        }
        let known_before = m.last_heartbeat_at.is_some();
        update_liveness(m, heartbeat, now);
        resolve_launches(m, heartbeat, origin);
        let unexplained = replace_tasks(m, heartbeat, &self.attempts);
        if known_before && !unexplained.is_empty() && self.all_placers_synced() {
            self.report_unexplained_tasks(id, &unexplained);
        }
        self.reevaluate(id, now);
        true
    }

    /// Reports and counts tasks that have appeared on a machine though no placer wants their
    /// attempts: their launch was executed again, or later than this owner could know.
    fn report_unexplained_tasks(&mut self, machine: &MachineId, unexplained: &[AttemptId]) {
        let machine_token = self
            .machines
            .get(machine)
            .map_or(0, |m| m.incarnation.shown_token());
        for id in unexplained {
            self.unexplained_tasks += 1;
            warn!(attempt = %id, machine = %machine, shard = self.shard, fencing_token = self.token, machine_token, "attempt reported again after it was forgotten");
        }
    }

    /// Applies a heartbeat that does not prove the present state of its machine.
    ///
    /// Copies of heartbeats arrive up to several lease durations late: the machine may have been
    /// released since, and its reported state may be outdated. Such a heartbeat triggers at
    /// most a query, which is a call without commands.
    fn apply_unverified(&mut self, heartbeat: &Heartbeat, origin: Origin, now: u64) {
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else {
            return;
        };
        let sequence = MessageSequence::from_heartbeat(heartbeat);
        let mut query = false;
        if let Origin::Heartbeat(route) = origin {
            m.incarnation.apply_late_heartbeat(
                sequence,
                heartbeat.fencing_token,
                route,
                &self.timing,
                now,
            );
            query =
                m.incarnation
                    .suspect_restart(sequence, heartbeat.fencing_token, &self.timing, now);
        }
        if m.incarnation.record_unverified(sequence, now) {
            m.address = heartbeat.address.parse().ok();
            query = true;
        }
        if query {
            self.mark_changed(&heartbeat.machine);
        }
    }

    /// Registers a machine on its first current heartbeat.
    fn register_first_heartbeat(&mut self, heartbeat: &Heartbeat, now: u64) {
        let id = &heartbeat.machine;
        let Some(m) = self
            .machines
            .get_mut(id)
            .filter(|m| m.last_heartbeat_at.is_none())
        else {
            return;
        };
        if let Some(images) = self.inherited_images.remove(id) {
            m.images = images;
        }
        if !m.announced {
            info!(machine = %id, shard = self.shard, "machine not listed by a placer or the inventory");
        }
        let boot_elapsed_ms = now.saturating_sub(m.provisioned_at);
        info!(machine = %id, shard = self.shard, boot_elapsed_ms, "machine registered");
        // A machine that ran under an earlier owner booted long before its first heartbeat
        // to this one.
        if m.announced && m.recorded_running_at.is_none() {
            self.boot_times
                .record_boot(&m.machine_type, &m.zone, m.spot, boot_elapsed_ms);
        }
        m.overdue = false;
        if self.catalog.lacks(&heartbeat.machine_type) {
            warn!(machine = %id, machine_type = heartbeat.machine_type, "machine type not in the catalog; excluded from placement");
        }
    }
}

/// Returns which commands the reply to a heartbeat may carry.
///
/// The worker may still wait for the reply to a heartbeat that the response to a call
/// overtook, or that does not show this owner's token. Both replies renew the lease, so both
/// carry the stops.
pub(super) fn reply_channel(m: &Machine, receipt: &HeartbeatReceipt, now: u64) -> CommandChannel {
    let awaited = m.incarnation.awaits_reply(receipt.sequence)
        && receipt.status != ReceiptStatus::Late
        && now <= receipt.received_at + WORKER_RESPONSE_TIMEOUT_MS;
    if awaited && m.incarnation.is_confirmed() {
        CommandChannel::Response
    } else {
        CommandChannel::LateResponse
    }
}

/// Discards launches in replies to heartbeats of the earlier session, which the worker drops.
fn begin_session(m: &mut Machine, heartbeat: &Heartbeat) {
    m.launches_in_response_to = None;
    if m.incarnation.session() > 0 {
        info!(machine = %heartbeat.machine, session = heartbeat.incarnation, "worker session started");
    }
}

fn update_liveness(m: &mut Machine, heartbeat: &Heartbeat, now: u64) {
    m.address = heartbeat.address.parse().ok();
    m.last_heartbeat_at = Some(now);
    if std::mem::take(&mut m.silent) {
        // The machine is available again; the time it was silent does not count as idle.
        m.idle_since = m.idle_since.map(|_| now);
    }
    if heartbeat.reclaim_notice_s.is_some() && !m.termination_notice {
        m.termination_notice = true;
        info!(machine = %heartbeat.machine, notice_s = heartbeat.reclaim_notice_s, "termination notice received");
    }
}

/// Clears launches in a reply for which the worker no longer waits once it sends a later heartbeat.
fn resolve_launches(m: &mut Machine, heartbeat: &Heartbeat, origin: Origin) {
    if matches!(origin, Origin::Heartbeat(_))
        && m.launches_in_response_to
            .is_some_and(|seq| heartbeat.sequence > seq)
    {
        m.launches_in_response_to = None;
    }
}

fn log_forgets(shard: u16, machine: &MachineId, m: &Machine, commands: &[Command]) {
    let forgets = commands
        .iter()
        .filter(|command| command.kind == CommandKind::Forget);
    for command in forgets {
        info!(
            attempt = format!("{}#{}", command.task, command.attempt),
            machine = %machine,
            shard,
            machine_token = m.incarnation.reply_token(),
            "attempt forgotten"
        );
    }
}

/// Replaces the tasks by those in the heartbeat. Returns those that have appeared since the last
/// status, have not exited, and belong to none of the tracked attempts.
fn replace_tasks(
    m: &mut Machine,
    heartbeat: &Heartbeat,
    attempts: &HashMap<AttemptId, TrackedAttempt>,
) -> Vec<AttemptId> {
    let before = std::mem::take(&mut m.tasks);
    let mut unexplained = Vec::new();
    for t in &heartbeat.tasks {
        let Some(id) = AttemptId::parse(&t.task, t.attempt) else {
            warn!(machine = %heartbeat.machine, task = t.task, "invalid task ID in heartbeat; task ignored");
            continue;
        };
        let cause =
            (t.phase == TaskPhase::Exited).then(|| ExitCause::from_wire(t.exit_cause.as_deref()));
        if cause.is_none() && !attempts.contains_key(&id) && !before.contains_key(&id) {
            unexplained.push(id.clone());
        }
        m.tasks.insert(
            id,
            ReportedTask {
                phase: t.phase,
                cause,
            },
        );
    }
    unexplained
}
