//! The proof of end: how far each attempt of a machine has come.

use super::*;

impl Owner {
    /// Re-judges all attempts of a machine.
    pub(super) fn judge(&mut self, machine: &MachineId, now: u64) {
        self.touch(machine);
        let ids: Vec<AttemptId> = self
            .on
            .get(machine)
            .into_iter()
            .flatten()
            .cloned()
            .collect();
        for id in &ids {
            self.judge_one(id, now);
        }
        // Those who wait may have got their room from an end just found.
        for id in &ids {
            if self
                .held
                .get(id)
                .is_some_and(|h| matches!(h.stage, Stage::Waiting(_)))
            {
                self.judge_one(id, now);
            }
        }
        self.update_idle(machine, now);
    }

    pub(super) fn judge_one(&mut self, id: &AttemptId, now: u64) {
        let Some(held) = self.held.get(id) else {
            return;
        };
        if matches!(held.stage, Stage::Ended(_)) {
            return;
        }
        let machine = held.want.machine.clone();
        let mut stage = self.next_stage(id, held, now);
        if held.stage == Stage::Unjudged
            && stage == Stage::Ended(AttemptState::Refused)
            && self.push_out(id, now)
        {
            stage = Stage::Waiting(now);
        }
        let Some(held) = self.held.get(id) else {
            return;
        };
        let (image, mb, from, same) = (
            held.want.image.clone(),
            held.want.image_mb,
            held.from,
            stage == held.stage,
        );
        // A fetch that is given up leaves nothing: only a task that got past it
        // shows that the machine has the image.
        let past_fetch = |m: &Machine| {
            m.tasks.get(id).is_some_and(|t| {
                t.cause == Some(ExitCause::Done)
                    || !matches!(t.phase, TaskPhase::PullingImage | TaskPhase::Exited)
            })
        };
        let fetches = |m: &Machine| {
            m.tasks
                .get(id)
                .is_some_and(|t| t.phase == TaskPhase::PullingImage)
        };
        if let Some(m) = self.machines.get_mut(&machine) {
            if past_fetch(m) {
                let cache_mb = self.caches.get(&m.kind).copied().unwrap_or(u64::MAX);
                m.remember_image(&image, mb, cache_mb);
            } else if fetches(m) && m.forget_image(&image) {
                info!(machine = %machine, shard = self.shard, image, "image was noted and is not there");
                self.stale.insert(machine.clone());
            }
        }
        if self
            .machines
            .get(&machine)
            .and_then(|m| m.tasks.get(id))
            .is_some_and(|t| t.phase == TaskPhase::Running)
        {
            self.note_running(&machine, id, now);
        }
        if same {
            return;
        }
        if matches!(
            stage,
            Stage::Accepted {
                sent: None,
                seen: false
            }
        ) {
            // Idle work is always there: it does not tell that the part is busy.
            if self
                .held
                .get(id)
                .is_some_and(|h| h.want.priority != Priority::Low)
            {
                self.accepted_at = now;
            }
            // Guards against a whole array on a machine that is on trial.
            if let Some(aside) = self
                .machines
                .get_mut(&machine)
                .and_then(|m| m.aside.as_mut())
            {
                aside.trial = Some(id.clone());
                self.stale.insert(machine.clone());
            }
        }
        if let Stage::Ended(standing) = stage {
            info!(attempt = %id, machine = %machine, shard = self.shard, ?standing, "attempt is over");
            self.refused += u64::from(standing == AttemptState::Refused);
            self.note_end(&machine, id, standing, now);
        }
        self.dirty.insert(from);
        if let Some(h) = self.held.get_mut(id) {
            h.stage = stage;
        }
    }

    pub(super) fn next_stage(&self, id: &AttemptId, held: &Held, now: u64) -> Stage {
        if self.gone.contains(&held.want.machine) {
            return Stage::Ended(AttemptState::Gone);
        }
        let inherited = self.sight.inherited_over(self.word);
        let when = |over: bool| {
            if over {
                Stage::Ended(AttemptState::Gone)
            } else {
                held.stage
            }
        };
        let Some(m) = self.machines.get(&held.want.machine) else {
            return when(inherited);
        };
        // Nobody of ours ever spoke to it: what ran there was kept alive by
        // earlier owners, whose answers have all run out after a while. So have
        // ours to what may have been its reports.
        if m.heard.is_none() {
            return when(
                inherited
                    && (m.worker_session.leased_at().is_none() || m.dead(self.word, &self.timing)),
            );
        }
        if let Some(seen) = m.tasks.get(id) {
            return match seen.cause {
                Some(cause) => Stage::Ended(AttemptState::Exited(cause)),
                None => Stage::Accepted {
                    sent: Some(m.worker_session.session()),
                    seen: true,
                },
            };
        }
        // Absence proves something only once the worker has shown our token:
        // before that, an order of an earlier owner may still arrive.
        if !m.worker_session.fresh() {
            return held.stage;
        }
        match held.stage {
            Stage::Unjudged if held.ending().is_some() => Stage::Ended(AttemptState::Gone),
            Stage::Unjudged => {
                let fits = m.open()
                    && m.worker_session.session() > m.dead_session
                    && self.free(&held.want.machine).covers(&held.want.resources);
                if fits {
                    Stage::Accepted {
                        sent: None,
                        seen: false,
                    }
                } else {
                    Stage::Ended(AttemptState::Refused)
                }
            }
            Stage::Waiting(_) if held.ending().is_some() => Stage::Ended(AttemptState::Gone),
            Stage::Waiting(since) => {
                if !m.open()
                    || m.worker_session.session() <= m.dead_session
                    || now > since + EVICT_WAIT_MS
                {
                    return Stage::Ended(AttemptState::Refused);
                }
                // Its own claim is part of what is taken.
                let free = self.room_without(&held.want.machine, id);
                if free.covers(&held.want.resources) {
                    Stage::Accepted {
                        sent: None,
                        seen: false,
                    }
                } else {
                    held.stage
                }
            }
            Stage::Accepted { sent: None, .. } if held.ending().is_some() => {
                Stage::Ended(AttemptState::Gone)
            }
            Stage::Accepted { sent: None, .. } if m.dead(self.word, &self.timing) => {
                Stage::Ended(AttemptState::Gone)
            }
            // It would wait for a machine that hears nothing; nothing was sent.
            Stage::Accepted { sent: None, .. } if m.worker_session.deaf_since().is_some() => {
                Stage::Ended(AttemptState::Gone)
            }
            Stage::Accepted {
                sent: Some(session),
                ..
            } if session < m.worker_session.session() => Stage::Ended(AttemptState::Gone),
            // Guards against a start that a new life took which nobody has heard yet: its
            // lease began after our last answer, though before the call.
            Stage::Accepted {
                sent: Some(session),
                seen,
            } if session <= m.dead_session => when(seen || m.lost_start.is_none()),
            Stage::Accepted {
                sent: Some(_),
                seen,
            } if m.settled() => {
                // Guards against a start order that arrives late: only a
                // machine with no order of unknown fate proves absence.
                if seen || held.ending().is_some() {
                    Stage::Ended(AttemptState::Gone)
                } else {
                    Stage::Accepted {
                        sent: None,
                        seen: false,
                    }
                }
            }
            stage => stage,
        }
    }

    /// Notes what an attempt's end says of its job and its machine.
    pub(super) fn note_end(
        &mut self,
        machine: &MachineId,
        id: &AttemptId,
        standing: AttemptState,
        now: u64,
    ) {
        let touched = match standing {
            AttemptState::Exited(ExitCause::Failed) => {
                self.faults.failed(&id.job, machine, now).machines
            }
            AttemptState::Exited(ExitCause::Done) => {
                let since = self.held.get(id).and_then(|h| h.ran).unwrap_or(now);
                self.faults.ran(&id.job, machine, since).machines
            }
            _ => BTreeSet::from([machine.clone()]),
        };
        let own_fault = standing == AttemptState::Exited(ExitCause::Failed)
            && self.faults.suspect(&id.job).is_none();
        if let Some(aside) = self
            .machines
            .get_mut(machine)
            .and_then(|m| m.aside.as_mut())
            && aside.trial.as_ref() == Some(id)
        {
            aside.trial = None;
            if own_fault {
                aside.tried_in_vain(now);
            }
        }
        self.weigh(touched, now);
    }

    /// An attempt that has run for long went well, though it may never end.
    pub(super) fn note_running(&mut self, machine: &MachineId, id: &AttemptId, now: u64) {
        let Some(held) = self.held.get_mut(id) else {
            return;
        };
        let since = *held.ran.get_or_insert(now);
        if held.well || now < since + WELL_AFTER_MS {
            return;
        }
        held.well = true;
        let touched = self.faults.ran(&id.job, machine, since).machines;
        self.weigh(touched, now);
    }

    /// Sets machines aside, or takes them up again, as the evidence says.
    fn weigh(&mut self, machines: BTreeSet<MachineId>, now: u64) {
        for id in machines {
            let verdict = self.faults.verdict(&id);
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            match (&mut m.aside, verdict) {
                (None, FaultVerdict::Sound) => continue,
                (Some(_), FaultVerdict::Sound) => {
                    info!(machine = %id, shard = self.shard, "machine is taken up again");
                    m.aside = None;
                }
                (Some(aside), verdict) => aside.faulty = verdict == FaultVerdict::Faulty,
                (None, verdict) => {
                    let jobs = self.faults.against(&id);
                    warn!(machine = %id, shard = self.shard, ?verdict, ?jobs, "machine fails its tasks; set aside");
                    m.aside = Some(Quarantine::new(verdict == FaultVerdict::Faulty, now));
                }
            }
            self.stale.insert(id);
        }
    }
}
