//! Handling of worker heartbeats: what they prove about a machine, and the reply to them.

use super::*;

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
    /// `relayed_by`. Returns `None` if it must not be answered with status 200.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        relayed_by: Option<u16>,
        now: u64,
    ) -> Option<HeartbeatResponse> {
        if self.released_machines.contains(&heartbeat.machine) {
            return None;
        }
        if heartbeat.fencing_token >> MACHINE_TOKEN_BITS > self.token {
            // The worker has seen a later owner. A reply would only keep it sending
            // heartbeats here while its lease expires.
            return None;
        }
        let current = self.apply_heartbeat(heartbeat, Origin::Heartbeat(relayed_by), now);
        let m = self.machines.get_mut(&heartbeat.machine)?;
        // A heartbeat of an expired session gets no reply, unless its token is not trusted: it
        // may then be the first heartbeat of a new incarnation.
        if heartbeat.incarnation <= m.expired_session
            && m.incarnation.is_trusted_token(heartbeat.fencing_token)
        {
            return None;
        }
        if current || m.last_heartbeat_at.is_none() {
            // Commands take the route of the newest heartbeat.
            let since = m.relay.map_or(now, |relay| relay.since);
            m.relay = relayed_by.map(|peer| Relay { peer, since });
        }
        let channel = reply_channel(m, current);
        self.fence_launches_before_forgetting(&heartbeat.machine, channel, now);
        let m = self.machines.get_mut(&heartbeat.machine)?;
        m.incarnation.record_reply(
            MessageSequence::from_heartbeat(heartbeat),
            heartbeat.fencing_token,
            relayed_by,
            now,
        );
        let due_commands = self.commands_for(&heartbeat.machine, now, channel);
        let m = self.machines.get_mut(&heartbeat.machine)?;
        if contains_launch(&due_commands) {
            m.launches_in_response_to = Some(heartbeat.sequence);
        }
        log_forgets(self.shard, &heartbeat.machine, m, &due_commands);
        Some(HeartbeatResponse {
            fencing_token: m.incarnation.reply_token(),
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
        resolve_calls(m, heartbeat, origin);
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
fn reply_channel(m: &Machine, current: bool) -> CommandChannel {
    let call_unresolved = m.unresolved_call_token.is_some() && !m.call_in_progress;
    match (current && m.incarnation.is_confirmed(), call_unresolved) {
        (true, true) => CommandChannel::ResponseWithLaunches,
        (true, false) => CommandChannel::Response,
        (false, _) => CommandChannel::LateResponse,
    }
}

/// Discards unresolved calls of the earlier session, whose commands the worker refuses.
fn begin_session(m: &mut Machine, heartbeat: &Heartbeat) {
    (m.unresolved_call_token, m.unresolved_launch_at) = (None, None);
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

/// Clears calls and launches of unknown outcome that this status proves to be over.
fn resolve_calls(m: &mut Machine, heartbeat: &Heartbeat, origin: Origin) {
    if m.unresolved_call_token
        .is_some_and(|token| m.incarnation.shown_token() > token)
    {
        (m.unresolved_call_token, m.unresolved_launch_at) = (None, None);
    }
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
            highest_launch_token = m.incarnation.highest_launch_token(),
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
