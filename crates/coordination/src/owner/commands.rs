//! Commands for workers: launching and stopping attempts, and forgetting exited ones.

use super::*;

/// ms between two calls with the same stop command: the worker needs time to save a
/// checkpoint before it reports the end.
const STOP_REPEAT_MS: u64 = 1_500;

/// The message that carries commands to a worker.
///
/// A launch travels only in the reply to the newest heartbeat, which a worker takes within seconds
/// or not at all. A call may be executed minutes late or once more, by a worker that has restarted
/// since and has no token to refuse it by, so it carries only what does no harm then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CommandChannel {
    /// A call to the worker: stops and forgets.
    Call,
    /// The reply to the newest heartbeat of a worker that has shown this owner's token: launches,
    /// stops and forgets.
    Response,
    /// The reply to another heartbeat: stops.
    LateResponse,
}

impl CommandChannel {
    fn is_response(self) -> bool {
        self != CommandChannel::Call
    }

    fn may_launch(self) -> bool {
        self == CommandChannel::Response
    }

    fn may_forget(self) -> bool {
        self != CommandChannel::LateResponse
    }
}

fn command(kind: CommandKind, id: &AttemptId, grace_s: Option<u32>) -> Command {
    Command {
        kind,
        task: id.task_name(),
        attempt: id.attempt,
        grace_s,
    }
}

/// True if one of the commands is a launch.
pub(super) fn contains_launch(commands: &[Command]) -> bool {
    commands
        .iter()
        .any(|command| command.kind == CommandKind::Start)
}

/// Seconds of grace of a stop command. A stop with no grace would kill a task that is
/// saving its checkpoint, so such a task gets at least one second.
fn repeated_grace_s(grace_s: u32, phase: TaskPhase) -> u32 {
    if phase == TaskPhase::Checkpointing {
        grace_s.max(1)
    } else {
        grace_s
    }
}

impl Owner {
    /// Returns true once every placer's whole desired state has been applied.
    pub(super) fn all_placers_synced(&self) -> bool {
        self.placers.values().filter(|p| p.fully_synced).count() >= usize::from(self.shards)
    }

    /// Returns the commands that are due for a machine, and records launches and the stops of a
    /// call as sent.
    pub(super) fn commands_for(
        &mut self,
        machine: &MachineId,
        now: u64,
        channel: CommandChannel,
    ) -> Vec<Command> {
        let Some(m) = self.machines.get(machine) else {
            return Vec::new();
        };
        let session = m.incarnation.session();
        let stops = self.due_stops(m, now, channel);
        let unwanted = self.commands_for_unwanted(m, channel);
        let launches = self.due_launches(machine, m, channel);
        for id in &launches {
            self.log_launch(id, now);
            if let Some(tracked) = self.attempts.get_mut(id) {
                tracked.stage = AttemptStage::Accepted {
                    launched_in: Some(session),
                    reported: false,
                };
            }
        }
        if channel == CommandChannel::Call {
            for (id, _) in &stops {
                if let Some(tracked) = self.attempts.get_mut(id) {
                    tracked.stop_sent_at = Some(now);
                }
            }
        }
        let mut commands = unwanted;
        commands.extend(
            stops
                .into_iter()
                .map(|(id, grace_s)| (id, CommandKind::Stop, Some(grace_s))),
        );
        // Ordered by attempt, like the machine's tasks.
        commands.sort_by(|(a, ..), (b, ..)| a.cmp(b));
        commands.extend(
            launches
                .into_iter()
                .map(|id| (id, CommandKind::Start, None)),
        );
        commands
            .into_iter()
            .map(|(id, kind, grace_s)| command(kind, &id, grace_s))
            .collect()
    }

    /// Logs a launch with what its delay depends on: for how long it was due, and the state of its
    /// machine.
    fn log_launch(&self, id: &AttemptId, now: u64) {
        let Some(tracked) = self.attempts.get(id) else {
            return;
        };
        let Some(m) = self.machines.get(&tracked.desired.machine) else {
            return;
        };
        info!(
            attempt = %id,
            machine = %tracked.desired.machine,
            shard = self.shard,
            fencing_token = self.token,
            placer = tracked.placer,
            placer_fencing_token = self.placers.get(&tracked.placer).map(|placer| placer.token),
            repeated = tracked.stage != AttemptStage::NOT_LAUNCHED,
            due_for_ms = tracked.launch_due_since.map(|since| now.saturating_sub(since)),
            tracked_for_ms = now.saturating_sub(tracked.tracked_since),
            heartbeat_age_ms = m.last_heartbeat_at.map(|at| now.saturating_sub(at)),
            woken_ms_ago = m.woken_at.map(|at| now.saturating_sub(at)),
            live_tasks = m.live_tasks().count(),
            relayed = m.relay.is_some(),
            "attempt launched"
        );
    }

    /// Returns the tasks to stop, with their grace in seconds.
    ///
    /// A stop may count as sent though its call never left the process, for lack of a
    /// socket. The reply to a heartbeat renews the lease, so it carries every stop, whatever
    /// calls were made; only calls wait for [`STOP_REPEAT_MS`]. The worker protocol allows
    /// a stop to be repeated.
    fn due_stops(&self, m: &Machine, now: u64, channel: CommandChannel) -> Vec<(AttemptId, u32)> {
        let due = |tracked: &TrackedAttempt| {
            channel.is_response()
                || tracked
                    .stop_sent_at
                    .is_none_or(|at| now >= at + STOP_REPEAT_MS)
        };
        m.tasks
            .iter()
            .filter(|(_, task)| task.phase != TaskPhase::Exited)
            .filter_map(|(id, task)| {
                let tracked = self.attempts.get(id).filter(|tracked| due(tracked))?;
                let grace_s = tracked.stop_grace_s()?;
                Some((id.clone(), repeated_grace_s(grace_s, task.phase)))
            })
            .collect()
    }

    /// The tasks of a machine that no placer wants; none until all placers have synced.
    fn unwanted_tasks<'a>(
        &'a self,
        m: &'a Machine,
    ) -> impl Iterator<Item = (&'a AttemptId, &'a ReportedTask)> {
        let synced = self.all_placers_synced();
        m.tasks
            .iter()
            .filter(move |(id, _)| synced && !self.attempts.contains_key(*id))
    }

    /// Returns commands to stop or forget the tasks that no placer wants.
    fn commands_for_unwanted(
        &self,
        m: &Machine,
        channel: CommandChannel,
    ) -> Vec<(AttemptId, CommandKind, Option<u32>)> {
        let may_forget = channel.may_forget();
        self.unwanted_tasks(m)
            .filter_map(|(id, task)| match task.phase {
                TaskPhase::Exited if may_forget => Some((id.clone(), CommandKind::Forget, None)),
                TaskPhase::Exited => None,
                _ => Some((id.clone(), CommandKind::Stop, Some(0))),
            })
            .collect()
    }

    /// Returns the attempts to launch. There are none on a machine that receives no replies: its
    /// lease is expiring.
    fn due_launches(
        &self,
        machine: &MachineId,
        m: &Machine,
        channel: CommandChannel,
    ) -> Vec<AttemptId> {
        if !channel.may_launch() || !self.may_launch_on(m) {
            return Vec::new();
        }
        self.awaiting_launch(machine, m)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// True if a reply to the machine could launch attempts now.
    pub(super) fn may_launch_on(&self, m: &Machine) -> bool {
        !self.launches_paused && m.incarnation.may_launch(self.store_answer_at)
    }

    /// True if the next reply to the machine's newest heartbeat carries a launch.
    pub(super) fn has_due_launch(&self, machine: &MachineId, m: &Machine) -> bool {
        self.may_launch_on(m) && self.awaiting_launch(machine, m).next().is_some()
    }

    /// The attempts on the machine that are to be launched.
    pub(super) fn awaiting_launch<'a>(
        &'a self,
        machine: &MachineId,
        m: &'a Machine,
    ) -> impl Iterator<Item = (&'a AttemptId, &'a TrackedAttempt)> {
        self.attempts_on(machine)
            .filter(|(id, tracked)| tracked.awaits_launch(id, m))
    }
}
