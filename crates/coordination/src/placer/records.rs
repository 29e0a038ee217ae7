//! What this placer writes to the state service, and what it finds there.

use super::*;

/// When something is written: what comes first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    /// Steps of gangs whose members hold room already.
    Ledger,
    /// Ends of jobs that were withdrawn: their users wait for the answer.
    Withdrawn,
    /// Starts.
    Start,
    /// Ends of jobs that are done.
    End,
    /// What only records that attempts ended.
    Rest,
    /// Starts of idle work.
    IdleStart,
    /// The rest of idle work.
    IdleRest,
}

impl Placer {
    /// Loads one chunk of a task record, as an earlier owner left it.
    pub fn load_chunk(&mut self, id: &JobId, chunk: u32, record: &TaskChunkRecord, version: u64) {
        let job = self.jobs.entry(id.clone()).or_insert_with(Job::empty);
        job.team = record.team.clone();
        job.need = record.task_resources;
        job.next = job.next.max(record.next_attempt);
        // Guards against a service that lost most of its replicas with its
        // controller and comes behind others that are whole.
        job.ran |= !record.live_attempts.is_empty();
        let (first, end) = (chunk * CHUNK_TASKS, (chunk + 1) * CHUNK_TASKS);
        job.chunks.insert(
            chunk,
            TaskChunk {
                version,
                loaded: record.gang.clone(),
                ..TaskChunk::default()
            },
        );
        for &(a, b) in &record.done_ranges {
            for task in a.max(first)..=b.min(end - 1) {
                job.set_done(task);
            }
        }
        let shards = self.links.len();
        for l in record
            .live_attempts
            .iter()
            .filter(|l| (first..end).contains(&l.task) && usize::from(l.shard) < shards)
        {
            let live = LiveAttempt {
                attempt: l.attempt,
                machine: l.machine.clone(),
                shard: l.shard,
                zone: l.zone.clone(),
                change: 0,
                standing: None,
                kill: None,
                evict: PreemptionScope::Nobody,
                since: 0,
                over: true,
            };
            self.enter(id, l.task, live);
        }
        self.settle(id, 0);
    }

    /// Token of the owner of a part that was last told what is wanted there.
    pub(crate) fn wants_told_to(&self, shard: u16) -> Option<u64> {
        self.links.get(usize::from(shard)).map(|link| link.to_token)
    }

    /// A key of ours was read again after a conflict.
    pub fn reread(&mut self, id: &JobId, chunk: u32, version: u64) {
        if let Some(c) = self.jobs.get_mut(id).and_then(|j| j.chunks.get_mut(&chunk)) {
            c.version = version;
        }
    }

    /// Chunks of idle work that may get a first start to write: some seconds' worth.
    pub(super) fn idle_room(&self) -> usize {
        let most = IDLE_AHEAD_S * self.idle_writes;
        let idle = self
            .unsaved
            .keys()
            .filter_map(|id| self.jobs.get(id))
            .filter(|j| j.rank() == Priority::Low);
        let waiting = idle
            .flat_map(|j| j.chunks.values())
            .filter(|c| c.start_unwritten())
            .take(most)
            .count();
        most - waiting
    }

    /// The next transaction, if none is under way and something is due. Steps of
    /// gangs go first, then ends of withdrawn jobs, by age, then starts, by priority, then
    /// ends of jobs that are done; what only records that attempts ended waits for company, so that one writing of a chunk tells
    /// of many: nothing depends on it but a successor's start.
    pub fn next_cas(&mut self, now: u64) -> Option<CompareAndSwap> {
        if self.pending.is_some() || self.unsaved.is_empty() {
            return None;
        }
        let mut due: Vec<(Turn, Priority, Urgency, u64, &JobId)> = Vec::new();
        for (id, &since) in &self.unsaved {
            let Some(job) = self.jobs.get(id).filter(|job| now >= job.write_after) else {
                continue;
            };
            if Self::ledger_first(job) {
                due.push((Turn::Ledger, job.rank(), job.urgency(), since, id));
                continue;
            }
            let end = job.finished();
            // Guards against users who give up on their cancellations while starts take
            // every turn, as they do for half a minute after an outage of the store. It
            // keeps no start waiting for long: a job ends once. The oldest goes first,
            // whatever its priority.
            if end == Some(JobPhase::Withdrawn) {
                due.push((Turn::Withdrawn, Priority::Normal, Urgency::Usual, since, id));
                continue;
            }
            // Guards against idle work that starts, makes way and starts again by
            // the hundreds and takes the store's changes from all others.
            if job.rank() == Priority::Low && end.is_none() {
                if now >= self.idle_after {
                    let starts = !job.stopping() && job.starts_unwritten();
                    due.push((
                        if starts {
                            Turn::IdleStart
                        } else {
                            Turn::IdleRest
                        },
                        job.rank(),
                        job.urgency(),
                        since,
                        id,
                    ));
                }
                continue;
            }
            let turn = if !job.stopping() && job.starts_unwritten() {
                Turn::Start
            } else if end.is_some() {
                Turn::End
            } else if now >= since + END_LAG_MS {
                Turn::Rest
            } else {
                continue;
            };
            due.push((turn, job.rank(), job.urgency(), since, id));
        }
        if due.is_empty() {
            return None;
        }
        due.sort_unstable();
        let mut cas = CompareAndSwap {
            conditions: vec![Condition {
                key: shard_key(self.shard),
                version: self.token,
            }],
            writes: Vec::new(),
        };
        let mut pending = Pending::default();
        let (mut bytes, mut idle) = (0, 0);
        'jobs: for (turn, _, _, _, id) in due {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            if let Some(phase) = job.finished() {
                if cas.writes.len() + 2 > self.txn_ops || pending.records() >= self.records_at_once
                {
                    break;
                }
                cas.conditions.push(Condition {
                    key: job_key(id),
                    version: job.version,
                });
                cas.writes.push(Write::Delete { key: job_key(id) });
                cas.writes
                    .push(Write::put(end_key(id), &JobEndRecord { phase }));
                pending.ends.push((id.clone(), phase));
                pending.jobs.push((id.clone(), job.version));
                // Its chunks go once the job is over; no need to write them.
                continue;
            }
            // Guards against a gang that is recorded or admitted by halves where one
            // transaction can hold all of it.
            if !cas.writes.is_empty() && self.splits(job, cas.writes.len(), bytes) {
                break;
            }
            // Guards against starts that wait behind ends of earlier chunks, which
            // are written again and again.
            let starts = |first: bool| {
                job.chunks
                    .iter()
                    .filter(move |(_, c)| c.unsaved() && c.start_unwritten() == first)
            };
            for (&index, chunk) in starts(true).chain(starts(false)) {
                let full = cas.conditions.len() + 2 > CONDITIONS_A_CHANGE * self.txn_ops;
                if cas.writes.len() + 1 > self.txn_ops
                    || full
                    || bytes > TXN_BYTES
                    || pending.records() >= self.records_at_once
                {
                    break 'jobs;
                }
                let creates = chunk.version == 0 && !job.over;
                if creates && job.outdated() {
                    continue;
                }
                // What thousands of jobs leave behind must not keep starts from
                // their turn, nor the other way round.
                let most = if turn == Turn::IdleStart {
                    self.idle_writes.div_ceil(2)
                } else {
                    self.idle_writes
                };
                if turn >= Turn::IdleStart && idle >= most {
                    continue 'jobs;
                }
                idle += usize::from(turn >= Turn::IdleStart);
                let record = job.chunk_record(index);
                let empty = job.over && record.live_attempts.is_empty();
                let key = task_chunk_key(self.shard, id, index);
                if empty && chunk.version == 0 {
                    // Guards against a chunk that stays for ever, since the answer to
                    // its creation was lost: now that the job is over it can't be made
                    // any more, so that a comparison tells.
                    if chunk.unsure {
                        cas.conditions.push(Condition { key, version: 0 });
                    }
                    pending.chunks.push((id.clone(), index, chunk.change, true));
                    continue;
                }
                cas.conditions.push(Condition {
                    key: key.clone(),
                    version: chunk.version,
                });
                // Guards against a transaction that is made late, once the job is over
                // and the chunk removed: that there is no chunk would be true again,
                // and an attempt that nobody knows would come back. A job's key never
                // has the same version twice.
                if creates && pending.jobs.last().is_none_or(|(last, _)| last != id) {
                    cas.conditions.push(Condition {
                        key: job_key(id),
                        version: job.version,
                    });
                    pending.jobs.push((id.clone(), job.version));
                    bytes += RECORD_BYTES;
                }
                if empty {
                    cas.writes.push(Write::Delete { key });
                } else {
                    bytes += RECORD_BYTES
                        + record.live_attempts.len() * LIVE_BYTES
                        + record.done_ranges.len() * RANGE_BYTES;
                    cas.writes.push(Write::Put {
                        key,
                        value: chunk_value(&record, self.records_version),
                        lease: None,
                    });
                }
                pending
                    .chunks
                    .push((id.clone(), index, chunk.change, empty));
            }
        }
        if cas.writes.is_empty() && cas.conditions.len() == 1 {
            // Nothing to write: what was to be removed was never there.
            self.apply_saved(&pending, 0, now);
            return None;
        }
        // Idle work writes what its placer's own share has left: others' stay theirs.
        // A busy while is not held against it for long.
        let paid = self.idle_after.max(now) + (1_000 * cas.writes.len() / self.idle_writes) as u64;
        self.idle_after = paid.min(now + 1_000 * IDLE_AHEAD_S as u64);
        self.pending = Some(pending);
        Some(cas)
    }

    /// True if a gang's step would not fit what is left of a transaction, but fits
    /// a whole one.
    fn splits(&self, job: &Job, writes: usize, bytes: usize) -> bool {
        let chunks = job.chunks.values().filter(|c| c.saved < c.step).count();
        let own = chunks * RECORD_BYTES + job.live.len() * LIVE_BYTES;
        let fits = |writes: usize, bytes: usize| writes <= self.txn_ops && bytes <= TXN_BYTES;
        fits(chunks, own) && !fits(writes + chunks, bytes + own)
    }

    pub(super) fn apply_saved(&mut self, pending: &Pending, revision: u64, now: u64) {
        for (id, index, change, removed) in &pending.chunks {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            if let Some(chunk) = job.chunks.get_mut(index) {
                chunk.saved = *change;
                chunk.version = if *removed { 0 } else { revision };
                chunk.unsure = false;
            }
            let chunks = &job.chunks;
            job.ending.retain(|e| {
                chunks
                    .get(&(e.id.task / CHUNK_TASKS))
                    .is_some_and(|c| c.saved < e.change)
            });
            self.unsaved.remove(id);
            self.settle(id, now);
        }
    }

    /// Takes back starts of jobs that were withdrawn while a transaction with them was
    /// under way, which was not made or may not have been: no owner has heard of them.
    fn drop_unmade(&mut self, pending: &Pending) {
        let withdrawn = |id: &&JobId| self.jobs.get(id).is_some_and(|j| !j.over && j.stopping());
        let ids: BTreeSet<JobId> = pending
            .chunks
            .iter()
            .map(|(id, ..)| id)
            .filter(withdrawn)
            .cloned()
            .collect();
        for id in ids {
            self.drop_unrecorded(&id);
            self.settle(&id, self.passed_at);
        }
    }

    /// The store refused a transaction for its size.
    ///
    /// Guards against one record that is too large and keeps all others from being
    /// written: each is tried by itself, and what is refused by itself waits.
    fn set_apart(&mut self, pending: &Pending, now: u64) {
        if pending.records() > 1 {
            self.records_at_once = 1;
            return;
        }
        let ids = pending
            .chunks
            .iter()
            .map(|(id, ..)| id)
            .chain(pending.ends.iter().map(|(id, _)| id));
        for id in ids {
            warn!(job = %id, shard = self.shard, "the store refuses its record; it is tried again later");
            if let Some(job) = self.jobs.get_mut(id) {
                job.write_after = now + REFUSED_RECORD_MS;
            }
        }
    }

    /// A transaction ended. Returns the jobs whose end is now written.
    pub fn cas_done(
        &mut self,
        outcome: CompareAndSwapOutcome,
        now: u64,
    ) -> (ShardOwnership, Vec<(JobId, JobPhase)>) {
        let Some(pending) = self.pending.take() else {
            return (ShardOwnership::Fine, Vec::new());
        };
        match outcome {
            CompareAndSwapOutcome::Done(revision) => {
                self.records_at_once = self.records_at_once.saturating_mul(2);
                self.apply_saved(&pending, revision, now);
                let ends: Vec<(JobId, JobPhase)> = pending.ends;
                for (id, phase) in &ends {
                    if let Some(job) = self.jobs.get_mut(id) {
                        info!(job = %id, shard = self.shard, ?phase, "job is over");
                        job.over = true;
                        let indices: Vec<u32> = job.chunks.keys().copied().collect();
                        for index in indices {
                            job.touch(index * CHUNK_TASKS);
                        }
                    }
                    self.unsaved.remove(id);
                    self.settle(id, now);
                }
                (ShardOwnership::Fine, ends)
            }
            CompareAndSwapOutcome::Conflict(keys) if keys.contains(&shard_key(self.shard)) => {
                (ShardOwnership::Lost, Vec::new())
            }
            CompareAndSwapOutcome::Conflict(keys) => {
                self.drop_unmade(&pending);
                for (id, version) in pending.jobs {
                    if keys.contains(&job_key(&id)) {
                        if let Some(job) = self.jobs.get_mut(&id) {
                            job.refused = Some(version);
                        }
                        self.settle(&id, now);
                    }
                }
                (ShardOwnership::Fine, Vec::new())
            }
            CompareAndSwapOutcome::Refused => {
                self.set_apart(&pending, now);
                (ShardOwnership::Fine, Vec::new())
            }
            CompareAndSwapOutcome::Again => {
                for (id, index, _, _) in &pending.chunks {
                    if let Some(chunk) = self.jobs.get_mut(id).and_then(|j| j.chunks.get_mut(index))
                    {
                        chunk.unsure |= chunk.version == 0;
                    }
                }
                self.drop_unmade(&pending);
                (ShardOwnership::Fine, Vec::new())
            }
        }
    }
}
