//! What the owners are told, and what their answers change.

use super::*;
use lemonweir_storage::records::GangAdmissionStep;

/// The first of some items, as many as take so many bytes.
///
/// Guards against a message through the store that is too large for it, and so never
/// carries the stops that stand in it.
fn fitting<T>(
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

impl Placer {
    /// Notes what changed in what the owners are told.
    pub(super) fn flush(&mut self) {
        for team in std::mem::take(&mut self.regauge) {
            self.gauge(&team);
        }
        for id in std::mem::take(&mut self.changed) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let wants = wants_of(&id, job);
            let told: HashSet<&AttemptId> = wants.iter().map(|(_, w)| &w.id).collect();
            for (shard, attempt) in &job.told {
                if !told.contains(attempt) {
                    self.links[usize::from(*shard)].wants.remove(attempt);
                }
            }
            job.told = wants
                .iter()
                .map(|(shard, w)| (*shard, w.id.clone()))
                .collect();
            for (shard, want) in wants {
                self.links[usize::from(shard)]
                    .wants
                    .put(&want.id.clone(), want);
            }
            if job.over {
                self.notes.erase(&id);
            } else {
                let (running, reason) = reason_of(job, &self.hidden);
                self.notes.put(&id, (job.done_count, running, reason));
            }
        }
    }

    /// Marks what a team runs beyond its guarantee: the guarantee goes to the
    /// highest priority first, then to the oldest.
    pub(super) fn gauge(&mut self, team: &str) {
        // Without a guarantee all is beyond it, as each attempt begins.
        let Some(guarantee) = self
            .guarantees
            .get(team)
            .filter(|g| g.milli_cpus > 0 || g.milli_gpus > 0)
        else {
            return;
        };
        let guarantee = Some(guarantee);
        let mut sum = Resources::default();
        for (_, _, id) in self.running.get(team).into_iter().flatten() {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            // Most jobs are within it or beyond it as a whole, as before.
            let whole = sum.plus(&job.need.times(job.live.len() as u64));
            let alike = if within(&whole, guarantee) {
                Some(false)
            } else {
                (!within(&sum.plus(&job.need), guarantee)).then_some(true)
            };
            if alike.is_some() && alike == job.over_alike {
                sum = whole;
                continue;
            }
            job.over_alike = alike;
            for live in job.live.values_mut() {
                sum = sum.plus(&job.need);
                let over = !within(&sum, guarantee);
                if live.over != over {
                    live.over = over;
                    self.changed.insert(id.clone());
                }
            }
        }
    }

    /// True if an owner with this token has not been sent all that is wanted.
    pub fn unsent(&mut self, to: u16, to_token: u64) -> bool {
        self.flush();
        let link = &self.links[usize::from(to)];
        link.to_token != to_token || link.wants.last() > link.sent
    }

    /// Notes whether an owner is told through the store.
    pub fn by_mail(&mut self, to: u16, by_mail: bool) {
        self.links[usize::from(to)].by_mail = by_mail;
    }

    /// Notes that the last message to an owner was lost.
    pub fn lost(&mut self, to: u16) {
        let link = &mut self.links[usize::from(to)];
        link.sent = link.acked;
        link.notes_sent = link.notes_acked;
    }

    /// What an owner has to be told, in `room` bytes. Notes are for answers at
    /// other nodes only, and go where there is room for them.
    pub fn sync_for(
        &mut self,
        to: u16,
        to_token: u64,
        mut room: usize,
        notes: bool,
        now: u64,
    ) -> SyncRequest {
        self.flush();
        // What stands beside the changes gets a share each: together with them it is twice
        // `room` at the most.
        let beside = room / 4;
        let link = &mut self.links[usize::from(to)];
        if link.to_token != to_token {
            (link.to_token, link.acked, link.notes_acked) = (to_token, 0, 0);
        }
        link.seq += 1;
        let (span, changes) = link.wants.since(link.acked, &mut room, |_, w| {
            w.map_or(ATTEMPT_BYTES, encoded_len)
        });
        link.sent = span.until;
        let (mut wants, mut dropped) = (Vec::new(), Vec::new());
        for (id, want) in changes {
            match want {
                Some(want) => wants.push(want.clone()),
                None => dropped.push(id.clone()),
            }
        }
        // Guards against a stop order that waits behind hundreds of starts
        // where a message holds few.
        let stops = if span.complete {
            Vec::new()
        } else {
            stops_beyond(&link.wants, span.until, room.max(STOPS_BYTES.min(beside)))
        };
        let mut told = Vec::new();
        if notes {
            let (span, changes) = self
                .notes
                .since(link.notes_acked, &mut room, |_, _| NOTE_BYTES);
            link.notes_sent = span.until;
            told = changes
                .into_iter()
                .filter_map(|(job, note)| {
                    note.map(|(done, running, reason)| JobProgress {
                        job: job.clone(),
                        tasks_done: *done,
                        tasks_running: *running,
                        wait_reason: reason.clone().into_owned(),
                    })
                })
                .collect();
        }
        let rented = self
            .promises
            .iter()
            .filter(|p| p.shard == to)
            .map(|p| ProvisionedInstance {
                age_ms: now.saturating_sub(p.at),
                ..p.rented.clone()
            });
        let rented = fitting(rented, beside, encoded_len);
        let field = &self.fields[usize::from(to)];
        SyncRequest {
            version: PEER_VERSION,
            from_shard: self.shard,
            from_fencing_token: self.token,
            to_shard: to,
            to_fencing_token: to_token,
            seq: link.seq,
            store_age_ms: u64::MAX,
            range: span,
            desired: wants,
            withdrawn: dropped,
            stops,
            observed: if link.token == to_token {
                link.have
            } else {
                ObservedState::default()
            },
            misrouted_heartbeats: 0,
            provisioned: rented,
            reserved_machines: fitting(
                self.keep
                    .iter()
                    .filter(|m| field.find(m).is_some())
                    .cloned(),
                beside,
                encoded_len,
            ),
            progress: told,
        }
    }

    /// An owner answered; true if something changed that placing should see.
    pub fn take_view(&mut self, mut view: ShardView, now: u64) -> bool {
        let Some(link) = self.links.get_mut(usize::from(view.shard)) else {
            return false;
        };
        if view.fencing_token < link.token || view.fencing_token == link.token && view.seq <= link.got {
            return false;
        }
        // Guards against an answer to an earlier holder's message that comes late
        // through the store: it acknowledges what this one never said.
        if view.seq <= self.token << FENCE_BITS {
            return false;
        }
        if view.seq > link.seq || view.fencing_token == link.to_token && view.desired_revision > link.wants.last() {
            warn!(
                shard = self.shard,
                from = view.shard,
                "a view with numbers that were never given; not taken"
            );
            return false;
        }
        if view.fencing_token > link.token {
            (link.token, link.have) = (view.fencing_token, ObservedState::default());
        }
        link.got = view.seq;
        link.told_at = Some(now);
        self.take_hidden(view.shard, std::mem::take(&mut view.partitioned_zones), now);
        let Some(link) = self.links.get_mut(usize::from(view.shard)) else {
            return false;
        };
        if view.fencing_token == link.to_token {
            // An owner that has less than it once said starts from nothing.
            link.acked = if view.desired_revision < link.acked {
                0
            } else {
                view.desired_revision
            };
            link.wants.forget(link.acked);
            link.notes_acked = link.notes_acked.max(link.notes_sent);
            if link.acked == 0 {
                link.sent = 0;
            }
        }
        let machines = view.machines_range.continues_from(link.have.machines_revision);
        let attempts = view.attempts_range.continues_from(link.have.attempts_revision);
        if attempts.is_some() {
            link.have.attempts_revision = view.attempts_range.until;
        }
        if machines.is_some() {
            link.have.machines_revision = view.machines_range.until;
        }
        if attempts.is_some() {
            for a in &view.attempts {
                self.moved_on(&a.id, a.state, view.shard, now);
            }
        }
        let shard = view.shard;
        let news = !view.machines.is_empty() || !view.removed_machines.is_empty() || !view.attempts.is_empty();
        match machines {
            Some(Continuation::Snapshot) => {
                self.fields[usize::from(shard)] =
                    fresh_field(self.shard, shard, self.links.len() as u16);
            }
            Some(Continuation::Delta) => {}
            None => return news,
        }
        for id in &view.removed_machines {
            self.fields[usize::from(shard)].remove(id);
        }
        for m in view.machines {
            let (id, leaving) = (m.id.clone(), m.draining);
            let cache_mb = self.caches.get(&m.machine_type).copied().unwrap_or(u64::MAX);
            let spare_mb = self.book.spare_mb(&m.cached_images, cache_mb);
            let field = &mut self.fields[usize::from(shard)];
            field.set(m);
            field.set_spare(&id, spare_mb);
            self.count(&id, shard);
            if leaving {
                self.empty(&id, shard, now);
            }
        }
        if view.machines_range.complete {
            // All figures are as new as what was told of the attempts.
            let machines: Vec<MachineId> = self.links[usize::from(shard)]
                .uncounted
                .keys()
                .cloned()
                .collect();
            for id in machines {
                self.count(&id, shard);
            }
        }
        let field = &self.fields[usize::from(shard)];
        self.promises
            .retain(|p| p.shard != shard || field.find(&p.rented.machine).is_none());
        self.place_again |= news;
        news
    }

    /// The figures of a machine now hold the attempts that its owner has taken.
    pub(super) fn count(&mut self, machine: &MachineId, shard: u16) {
        let counted = self.links[usize::from(shard)]
            .uncounted
            .remove(machine)
            .unwrap_or_default();
        if let Some(here) = self.unseen.get_mut(machine) {
            here.retain(|attempt| !counted.contains(attempt));
            if here.is_empty() {
                self.unseen.remove(machine);
            }
        }
        self.retake(machine, shard);
    }

    /// An attempt stands differently.
    pub(super) fn moved_on(
        &mut self,
        id: &AttemptId,
        standing: AttemptState,
        shard: u16,
        now: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(live) = job
            .live
            .get_mut(&id.task)
            .filter(|l| l.attempt == id.attempt && l.shard == shard)
        else {
            return;
        };
        if live.standing == Some(standing) {
            return;
        }
        debug!(attempt = %id, machine = %live.machine, ?standing, "attempt moved on");
        let first = live.standing.is_none();
        live.standing = Some(standing);
        let machine = live.machine.clone();
        if standing == AttemptState::Running {
            self.fates
                .push(TaskFate::Ran(id.job.clone(), id.task, live.since > 0));
        }
        job.ran |= standing == AttemptState::Running;
        if standing.is_terminal() {
            self.attempt_over(id, standing, now);
            self.settle(&id.job, now);
        } else {
            if first {
                // Guards against placing twice on the same room: the machine's
                // own figures may come in a later message than this.
                self.links[usize::from(shard)]
                    .uncounted
                    .entry(machine)
                    .or_default()
                    .push((id.job.clone(), id.task));
            }
            if job.lasting() {
                self.services.touch(&id.job);
            }
            self.changed.insert(id.job.clone());
            if job.admission.is_some() {
                self.gangs.insert(id.job.clone());
            }
        }
    }

    /// The tasks of a machine that leaves are moved, with a save; the tasks of
    /// a gang all of them.
    pub(super) fn empty(&mut self, machine: &MachineId, shard: u16, now: u64) {
        let ids: BTreeSet<JobId> = self
            .on
            .get(machine)
            .into_iter()
            .flatten()
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.stopping()) else {
                continue;
            };
            let Some(grace) = job.spec().map(JobSpec::stop_grace_s) else {
                continue;
            };
            let gang = job.is(JobKind::Gang);
            for l in job
                .live
                .values_mut()
                .filter(|l| gang || l.shard == shard && &l.machine == machine)
            {
                l.kill.get_or_insert(grace);
            }
            self.settle(&id, now);
        }
    }

    pub(super) fn attempt_over(&mut self, id: &AttemptId, standing: AttemptState, now: u64) {
        let Some(live) = self.leave(&id.job, id.task) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let change = job.touch(id.task);
        job.ending.push(EndingAttempt {
            id: id.clone(),
            machine: live.machine.clone(),
            shard: live.shard,
            change,
        });
        job.wait_again(id.task);
        let gang = job.is(JobKind::Gang);
        let service = job.lasting();
        if service {
            self.fates.push(TaskFate::Lost(id.job.clone(), id.task));
        }
        match standing {
            AttemptState::Exited(ExitCause::Done) if !service => {
                job.failures = 0;
                if gang {
                    // The tasks of a gang complete together.
                    for task in 0..job.tasks {
                        job.mark_done(task);
                    }
                } else {
                    job.mark_done(id.task);
                }
                let touched = self.faults.ran(&id.job, &live.machine, live.since);
                self.suspect(touched.jobs, now);
                return;
            }
            AttemptState::Exited(ExitCause::Failed) => {
                self.note_failure(id, &live, now);
            }
            AttemptState::Refused => {
                // Guards against asking an owner again and again whose state
                // comes through the store, behind what others have taken.
                let by_mail = self
                    .links
                    .get(usize::from(live.shard))
                    .is_some_and(|l| l.by_mail);
                job.not_before = now
                    + if by_mail {
                        REFUSED_MAIL_PAUSE_MS
                    } else {
                        REFUSED_PAUSE_MS
                    };
            }
            AttemptState::Exited(
                ExitCause::InsufficientResources | ExitCause::TaskConflict | ExitCause::UnknownJob | ExitCause::GangIncomplete,
            ) => job.not_before = now + START_REFUSED_PAUSE_MS,
            _ => {}
        }
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if gang && !job.stopping() {
            // Without one task the rest can't go on: they stop, and the gang
            // starts anew once all of them are gone.
            job.stop_all();
            if let Some(admission) = job
                .admission
                .as_mut()
                .filter(|a| a.step != GangAdmissionStep::Released)
            {
                // Written with the ends of its attempts: nothing depends on it.
                admission.go_on(GangAdmissionStep::Released, now + self.wall_offset_ms);
            }
        }
    }
}

impl Placer {
    /// An attempt failed, by its job's fault or its machine's.
    fn note_failure(&mut self, id: &AttemptId, live: &LiveAttempt, now: u64) {
        // What has run there for long vouches for the machine.
        let well: Vec<(JobId, u64)> = self
            .on
            .get(&live.machine)
            .into_iter()
            .flatten()
            .filter_map(|(other, task)| {
                let l = self.jobs.get(other)?.live.get(task)?;
                let well = l.standing == Some(AttemptState::Running)
                    && l.since > 0
                    && now >= l.since + 2 * WELL_AFTER_MS;
                (well && *other != id.job).then(|| (other.clone(), l.since))
            })
            .collect();
        for (other, since) in well {
            self.faults.ran(&other, &live.machine, since);
        }
        let touched = self.faults.failed(&id.job, &live.machine, now);
        self.suspect(touched.jobs, now);
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let wait = job.fail(live.since, now);
        warn!(attempt = %id, machine = %live.machine, failures = job.failures, suspect = ?job.suspect, "attempt failed");
        job.shun(&live.machine);
        if wait > 0 {
            job.not_before = job.not_before.max(now + wait);
            job.reason = "its tasks failed; it is tried again after a pause";
        }
    }

    /// Takes up what the evidence now says of jobs.
    fn suspect(&mut self, jobs: BTreeSet<JobId>, now: u64) {
        for id in jobs {
            let suspect = self.faults.suspect(&id);
            let Some(job) = self.jobs.get_mut(&id).filter(|j| j.suspect != suspect) else {
                continue;
            };
            if job.suspect.is_none() {
                info!(job = %id, shard = self.shard, machines = suspect, "job is the suspect; one try at a time");
            } else if suspect.is_none() {
                info!(job = %id, shard = self.shard, "job is no suspect any more");
                job.not_before = 0;
                self.place_again = true;
            }
            job.suspect = suspect;
            self.settle(&id, now);
        }
    }
}

/// Stops among the wants that are newer than a number.
fn stops_beyond(
    wants: &ChangeLog<AttemptId, DesiredAttempt>,
    upto: u64,
    room: usize,
) -> Vec<(AttemptId, u32)> {
    wants
        .beyond(upto)
        .filter_map(|(id, w)| w.stop_grace_s.map(|grace| (id.clone(), grace)))
        .take(room / ATTEMPT_BYTES)
        .collect()
}
