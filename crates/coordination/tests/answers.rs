//! Admission of user queries: no job goes unanswered for long while others are answered.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_coordination::query_admission::{
    LookupQueue, PENDING_REPLIES_MAX, PENDING_REPLY_KEPT_MS, QueryAdmission, QueryKind,
    QueryRefusal, REPLY_PRIORITY_AFTER_MS, RefusalSummary,
};
use lemonweir_coordination::rate_limit::{RESERVED_QUERY_SHARE, RequestBudget, TokenBucket};
use lemonweir_model::JobId;
use lemonweir_model::constants::{MAX_PENDING_LOOKUPS, SUBMISSION_TIMEOUT_MS};

/// Deterministic random numbers from a seed.
struct RandomSource(u64);

impl RandomSource {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

fn id(n: u64) -> JobId {
    JobId::from(format!("req-{n:06}").as_str())
}

// ---- lookup queue against a sorted list ----------------------------------------------

/// Reference model of the queue: a list that is sorted anew for each use.
#[derive(Default)]
struct SortedList(Vec<(u64, JobId, Vec<u32>)>);

impl SortedList {
    fn enqueue(&mut self, id: &JobId, since: u64, waiter: u32, capacity: usize) -> Vec<u32> {
        if let Some((_, _, waiters)) = self.0.iter_mut().find(|(_, other, _)| other == id) {
            waiters.push(waiter);
            return Vec::new();
        }
        self.0.push((since, id.clone(), vec![waiter]));
        if self.0.len() <= capacity {
            return Vec::new();
        }
        // Evicts the job whose reply has been pending for the shortest time: the new one if none
        // is newer, otherwise the one with the highest id.
        let newest = self.0.iter().map(|(since, _, _)| *since).max().unwrap_or(0);
        if newest == since {
            return self
                .0
                .pop()
                .map(|(_, _, waiters)| waiters)
                .unwrap_or_default();
        }
        let at = (0..self.0.len())
            .max_by_key(|&i| (self.0[i].0, self.0[i].1.clone()))
            .unwrap_or(0);
        self.0.remove(at).2
    }

    fn dequeue(&mut self, count: usize) -> Vec<(JobId, Vec<u32>)> {
        self.0.sort();
        self.0
            .drain(..count.min(self.0.len()))
            .map(|(_, id, waiters)| (id, waiters))
            .collect()
    }
}

#[test]
fn lookup_queue_agrees_with_a_sorted_list() {
    for seed in 0..20 {
        let mut random = RandomSource(seed);
        let (mut queue, mut model) = (LookupQueue::new(12), SortedList::default());
        for waiter in 0..3_000 {
            let (n, since) = (random.below(40), random.below(30));
            if random.below(6) == 0 {
                let count = random.below(8) as usize;
                assert_eq!(
                    queue.dequeue(count),
                    model.dequeue(count),
                    "seed {seed}, {waiter}"
                );
            } else {
                assert_eq!(
                    queue.enqueue(&id(n), since, waiter),
                    model.enqueue(&id(n), since, waiter, 12),
                    "seed {seed}, {waiter}"
                );
            }
        }
    }
}

// ---- time without an answer --------------------------------------------------------

/// One controller's query admission and its queue of lookups.
struct Node {
    admission: QueryAdmission,
    queue: LookupQueue<u64>,
    overloaded: bool,
}

/// Number of distinct queried ids that belong to no job.
const UNKNOWN_IDS: u64 = 6_000;

/// Longest time for which any job goes unanswered, ms. Each of `jobs` jobs is queried every 5 s at
/// a random controller, beside `unknown_ids` queries for ids of no job every 100 ms. With `fair`,
/// pending replies have priority.
fn longest_silence_ms(
    seed: u64,
    nodes: usize,
    jobs: u64,
    unknown_ids: u64,
    overloaded: usize,
    fair: bool,
) -> u64 {
    const LOOKUPS_PER_REQUEST: usize = 24;
    let mut random = RandomSource(seed);
    let mut all: Vec<Node> = (0..nodes)
        .map(|n| Node {
            admission: QueryAdmission::default(),
            queue: LookupQueue::new(MAX_PENDING_LOOKUPS),
            overloaded: n < overloaded,
        })
        .collect();
    let mut answered: Vec<u64> = vec![0; jobs as usize];
    let mut next_polls: Vec<(u64, usize)> = (0..jobs)
        .map(|n| (random.below(5_000), n as usize))
        .collect();
    let mut longest_silence_ms = 0;
    for now in (0..150_000).step_by(100) {
        // Unknown ids are queried in every step; they sort before those of the jobs.
        let mut asked: Vec<(JobId, Option<usize>)> = (0..unknown_ids)
            .map(|_| (id(random.below(UNKNOWN_IDS)), None))
            .collect();
        for (at, n) in next_polls.iter_mut().filter(|(at, _)| *at <= now) {
            asked.push((id(100_000 + *n as u64), Some(*n)));
            *at += 5_000;
        }
        for (id, job) in asked {
            let node = &mut all[random.below(nodes as u64) as usize];
            let since = if fair {
                node.admission.pending_since(&id, now)
            } else {
                0
            };
            if node.overloaded && !(fair && node.admission.has_priority(&id, now)) {
                node.admission
                    .record_refusal(&id, QueryKind::Poll, QueryRefusal::Overloaded, now);
                continue;
            }
            let waiter = job.map_or(u64::MAX, |n| n as u64);
            for refused in node.queue.enqueue(&id, since, waiter) {
                let who = if refused == waiter {
                    id.clone()
                } else if refused == u64::MAX {
                    continue;
                } else {
                    self::id(100_000 + refused)
                };
                node.admission.record_refusal(
                    &who,
                    QueryKind::Poll,
                    QueryRefusal::LookupQueueFull,
                    now,
                );
            }
        }
        for node in &mut all {
            for (id, waiters) in node.queue.dequeue(LOOKUPS_PER_REQUEST) {
                node.admission.record_answer(&id);
                for n in waiters.into_iter().filter(|n| *n != u64::MAX) {
                    longest_silence_ms = longest_silence_ms.max(now - answered[n as usize]);
                    answered[n as usize] = now;
                }
            }
        }
        longest_silence_ms =
            longest_silence_ms.max(answered.iter().map(|at| now - at).max().unwrap_or(0));
    }
    longest_silence_ms
}

/// 1,500 jobs that no controller has cached, twice as many queries for unknown ids as can be looked
/// up, and controllers that are always overloaded: each job is answered within the bound.
#[test]
fn no_job_is_refused_for_long_while_others_are_answered() {
    // The time to look up every id at one controller, 24 in 100 ms, after the job was queried at
    // each controller, once in 5 s.
    let bound = |nodes: usize| 1_000 * (1_500 + UNKNOWN_IDS) / 240 + 5_000 * nodes as u64;
    for (seed, nodes, overloaded) in [(1, 3, 1), (2, 7, 2), (3, 3, 3)] {
        let fair = longest_silence_ms(seed, nodes, 1_500, 48 * nodes as u64, overloaded, true);
        assert!(
            fair <= bound(nodes),
            "{nodes} controllers, {overloaded} overloaded: {fair} ms"
        );
    }
    // Without priority, lookups go by id and jobs with high ids starve.
    assert!(longest_silence_ms(1, 3, 1_500, 48 * 3, 0, false) > 100_000);
}

/// A reply is pending until it is given or nobody has asked for some time, and the number of
/// pending replies is bounded.
#[test]
fn pending_replies_expire_and_are_bounded() {
    let mut admission = QueryAdmission::default();
    admission.record_refusal(&id(1), QueryKind::Poll, QueryRefusal::Overloaded, 1_000);
    admission.record_refusal(
        &id(1),
        QueryKind::Poll,
        QueryRefusal::LookupQueueFull,
        6_000,
    );
    assert!(
        !admission.has_priority(&id(1), 1_000 + REPLY_PRIORITY_AFTER_MS - 1)
            && admission.has_priority(&id(1), 1_000 + REPLY_PRIORITY_AFTER_MS)
    );
    assert_eq!(
        admission.take_refusals(),
        Some(RefusalSummary {
            counts: BTreeMap::from([
                ((QueryKind::Poll, QueryRefusal::Overloaded), 1),
                ((QueryKind::Poll, QueryRefusal::LookupQueueFull), 1)
            ]),
            longest_ms: 5_000,
            longest_job: Some(id(1)),
            progress_gaps: BTreeMap::new(),
        })
    );
    assert_eq!(admission.take_refusals(), None);
    admission.record_answer(&id(1));
    assert_eq!(admission.pending_since(&id(1), 20_000), 20_000);
    // A refusal because the job is being cancelled leaves no pending reply.
    admission.record_refusal(&id(2), QueryKind::Poll, QueryRefusal::JobStopping, 20_000);
    assert!(!admission.has_priority(&id(2), 60_000));
    for n in 0..2 * PENDING_REPLIES_MAX as u64 {
        admission.record_refusal(&id(n), QueryKind::Poll, QueryRefusal::Overloaded, 30_000);
    }
    let pending = (0..2 * PENDING_REPLIES_MAX as u64)
        .filter(|n| admission.pending_since(&id(*n), 50_000) == 30_000)
        .count();
    assert_eq!(pending, PENDING_REPLIES_MAX);
    admission.record_refusal(
        &id(7),
        QueryKind::Poll,
        QueryRefusal::Overloaded,
        40_000 + PENDING_REPLY_KEPT_MS,
    );
    let pending: BTreeSet<u64> = (0..PENDING_REPLIES_MAX as u64)
        .filter(|n| admission.pending_since(&id(*n), u64::MAX) < u64::MAX)
        .collect();
    assert_eq!(pending, BTreeSet::from([7]), "the others have expired");
}

// ---- request budget of the store -----------------------------------------------------

/// However many writes are queued, a query is sent before its user would give up, and writes keep
/// half of the controller's share of requests.
#[test]
fn queries_are_not_starved_by_writes() {
    for (limit, nodes) in [(180.0, 3), (360.0, 3), (180.0, 9)] {
        let mut requests = RequestBudget::new(limit, nodes, 0);
        // The store refuses requests beyond the share.
        let share = limit / nodes as f64;
        let (mut worst, mut written, mut next_query_us) = (0, 0, 0);
        let per_s = (share * RESERVED_QUERY_SHARE).min(25.0) as u64;
        for now_us in (0..60_000_000u64).step_by(10_000) {
            requests.refused();
            // A flood of submissions, each accepted if it has to wait for 0.8 s at most.
            while requests.wait(now_us) <= SUBMISSION_TIMEOUT_MS * 1_000 {
                requests.reserve_request(now_us);
                written += 1;
            }
            if now_us >= next_query_us {
                next_query_us += 1_000_000 / per_s;
                worst = worst.max(requests.reserve_query(now_us));
            }
        }
        assert!(
            worst <= 300_000,
            "limit {limit}, {nodes} controllers: a query waits {worst} us"
        );
        assert!(
            written as f64 >= 60.0 * share * 0.45,
            "limit {limit}, {nodes} controllers: only {written} writes"
        );
    }
}

/// A lowered limit is learned only if the settings name a minimum: a controller that keeps to its
/// equal share is also refused while another one takes more than its own.
#[test]
fn lower_limit_is_learned_only_if_the_settings_name_a_minimum() {
    let rate = |bucket: &mut TokenBucket| {
        for now_us in (0..20_000_000u64).step_by(100_000) {
            bucket.learn_limit_from_refusal();
            bucket.reserve(1.0, now_us);
        }
        // The rate follows from how much longer one more change has to wait.
        bucket.reserve(200.0, 20_000_000);
        let (before, after) = (bucket.wait(20_000_000), bucket.reserve(1.0, 20_000_000));
        1e6 / (after - before) as f64
    };
    let (without_minimum, with_minimum) = (
        rate(&mut TokenBucket::new(60.0, 3, 0)),
        rate(&mut TokenBucket::new(60.0, 3, 0).with_min_limit(42.0)),
    );
    assert!(without_minimum > 19.0, "{without_minimum}");
    assert!((13.0..16.0).contains(&with_minimum), "{with_minimum}");
}
