//! The simulated world: controllers with the real core, the store, the cloud,
//! workers and users, and the network between them, as one queue of events.
//!
//! Everything happens on one thread in the order of its time and, at the same
//! time, of its making, and every draw comes from one seeded generator: the
//! same scenario, load and seed give the same history.

mod controllers;
mod requests;
mod sending;
mod services;
mod troubles;
mod users;
mod waiting;
mod ways;
mod workers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::sync::Arc;

use lemonweir_coordination::dependencies::DependencyAdmission;
use lemonweir_coordination::election::ElectionAction;
use lemonweir_coordination::job_status::Answer;
use lemonweir_coordination::owner::{CommandCall, CommandResult, SyncError};
use lemonweir_coordination::placer::CompareAndSwapOutcome;
use lemonweir_coordination::{
    Effect, HeartbeatAnswer, ProvisioningResult, ShardLease, keys_to_reread, mail_piece_bytes,
};
use lemonweir_model::constants::*;
use lemonweir_model::{JobId, MachineId};
use lemonweir_protocol::cloud::ProvisioningRequest;
use lemonweir_protocol::kv_store::{CompareAndSwap, KeyValue, Write, from_value};
use lemonweir_protocol::links::Service;
use lemonweir_protocol::peer::{self, ShardView, SyncRequest};
use lemonweir_protocol::users::{JobPhase, unschedulable_reason, quota_limit};
use lemonweir_protocol::worker::{Heartbeat, HeartbeatResponse};
use lemonweir_storage::dependencies::blocked_job_key;
use lemonweir_storage::packed_chunk::read_chunk;
use lemonweir_storage::records::*;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checker::Checker;
use crate::cloud::Cloud;
use crate::ground::{Call, Ground, Load};
use crate::history::History;
use crate::host::{For, Host, Input, Reading};
use crate::measures::Measures;
use crate::scenario::{LATE_WRITES, Link, Scenario, Trouble};
use crate::store::{Store, TxnAnswer};
use crate::worker::{NEVER, Worker};
use services::followed;
use ways::Way;

/// µs of a ms.
const MS: u64 = 1_000;
/// Messages worked off before a pump that is owed.
const PUMP_EVERY: usize = 32;
/// µs between two looks at what must be gone in time.
const LOOK_US: u64 = 500 * MS;
/// µs that a machine which never comes up takes: longer than any run.
const NEVER_UP_US: u64 = 1 << 50;
/// µs for which a user repeats a submission (protocol page).
const PATIENCE_US: u64 = 60_000 * MS;
/// µs for which a user waits for the answer to a poll (protocol page).
const ANSWER_US: u64 = 2_000 * MS;

/// A job with the time of its submission.
pub struct Planned {
    /// When, µs.
    pub at_us: u64,
    /// What.
    pub load: Load,
    /// When its user withdraws it, µs.
    pub withdraw_us: Option<u64>,
}

enum Event {
    /// Something for a controller in this life.
    To(usize, u64, Box<Input>),
    /// It goes on with its inbox.
    Wake(usize, u64),
    Tick(usize, u64),
    Read(usize, u64),
    Holds(usize, u64),
    ListSoon(usize, u64),
    /// A request reaches the store.
    PlacementRequest(usize, u64, Request, Way),
    /// The store carries it out; its answer takes so long, `None`: none comes.
    Serve(usize, u64, Request, Option<u64>),
    Orders(usize, u64, ShardLease, Box<CommandCall>, bool),
    Worker(usize),
    /// A report arrives a second time.
    Copy(usize, usize, Box<Heartbeat>),
    Answer(usize, u64, u64, Box<HeartbeatAnswer>),
    Call(Call),
    Rent(usize, u64, ShardLease, Box<ProvisioningRequest>, Way),
    Release(usize, u64, ShardLease, Vec<MachineId>, Way),
    List(usize, u64, Way),
    /// The direct way to a service is tried.
    Probe(usize, u64, Service),
    Submit(JobId, u64),
    /// A user hears; the question reached the controller at that time.
    Reply(JobId, Option<JobPhase>, u16, u64),
    Poll(JobId),
    Withdraw(JobId),
    Boot(usize),
    Fault(usize),
    /// A link goes down or comes up.
    Flap(Link, bool),
    FaultOver(usize, Vec<usize>),
    TakeMachine(usize),
    /// Users send odd requests while this trouble lasts.
    OddRequests(usize),
    Look,
}

/// What a controller asks of the store.
enum Request {
    CompareAndSwap(For, Box<CompareAndSwap>),
    /// The changes of the followed keys since a revision; when it was asked for.
    Reading(Option<u64>, u64),
    /// A hold is renewed, or opened.
    Hold(Option<u64>),
}

struct Timed {
    at: u64,
    seq: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// What a user knows of a job.
#[derive(Default)]
struct UserJob {
    first_try: u64,
    accepted: Option<u64>,
    over: bool,
    /// When it asked last, and when it will ask next.
    asked: u64,
    next: u64,
    /// When it will submit again.
    again: u64,
    /// When it first asked for the job's end.
    withdrew: Option<u64>,
}

/// The world.
pub struct World {
    /// Time, µs.
    pub now: u64,
    /// Events worked off.
    pub events: u64,
    /// The scenario.
    pub scenario: Arc<Scenario>,
    /// The state service.
    pub store: Store,
    /// Machines, by number; `None` before they are rented and once they are gone.
    pub workers: Vec<Option<Worker>>,
    /// The cloud.
    pub cloud: Cloud,
    /// What the workers share.
    pub ground: Ground,
    /// Controllers.
    pub hosts: Vec<Host>,
    /// Links that are down.
    pub down: BTreeSet<Link>,
    /// Zones that are cut off from everything.
    pub cut_zones: BTreeSet<String>,
    /// Figures.
    pub measures: Measures,
    /// Bytes of the largest message that went through the store.
    pub largest_mail: usize,
    /// Machines that are rented now take so many times as long, or never come up
    /// with this chance, in one zone or all.
    pub boots: Option<(f64, f64, Option<String>)>,
    /// Users ask so many times as often, a third of them for jobs of nobody.
    pub asked_often: f64,
    /// Reports that arrived a second time.
    pub copies: u64,
    /// Writes that the store carried out late, without an answer.
    pub late_writes: u64,
    /// Calls to machines, and answers to their reports, that were held up.
    pub held: u64,
    /// Machines that each trouble under way struck.
    struck: BTreeMap<usize, BTreeSet<usize>>,
    /// When something was last not as it should be.
    troubled_at: u64,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<Timed>>,
    seq: u64,
    users: HashMap<JobId, UserJob>,
    /// Copies of reports that are kept for the next leader, with their machines.
    kept_reports: Vec<Heartbeat>,
    /// Jobs that fit no machine.
    unfit: BTreeSet<JobId>,
    waiting: waiting::WaitingJobs,
    plan: HashMap<JobId, Planned>,
}

impl World {
    /// A world at time 0, with its load to come.
    pub fn new(scenario: Arc<Scenario>, load: Vec<Planned>, seed: u64, history: History) -> Self {
        let limits = scenario
            .teams
            .iter()
            .map(|t| (t.name.clone(), quota_limit(t)))
            .collect();
        let checker = Checker::new(limits, (scenario.workers.cancellation_deadline_s * 1e6) as u64);
        let mut world = Self {
            now: 0,
            events: 0,
            store: Store::new(&scenario.state),
            workers: vec![None],
            cloud: Cloud::new(&scenario),
            ground: Ground::new(scenario.workers.clone(), checker, history),
            hosts: (0..usize::from(scenario.shards))
                .map(|_| Host::new(&scenario))
                .collect(),
            down: BTreeSet::new(),
            cut_zones: BTreeSet::new(),
            measures: Measures::default(),
            largest_mail: 0,
            boots: None,
            asked_often: 1.0,
            copies: 0,
            late_writes: 0,
            held: 0,
            struck: BTreeMap::new(),
            troubled_at: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            seq: 0,
            users: HashMap::new(),
            kept_reports: Vec::new(),
            unfit: BTreeSet::new(),
            waiting: waiting::WaitingJobs::default(),
            plan: HashMap::new(),
            scenario,
        };
        for host in 0..world.hosts.len() {
            world.at(host as u64 * 37 * MS, Event::Boot(host));
        }
        world.start_machines();
        for planned in load {
            world.submit_at(planned);
        }
        for (i, fault) in world.scenario.clone().faults.iter().enumerate() {
            world.at((fault.at_s * 1e6) as u64, Event::Fault(i));
        }
        world.at(LOOK_US, Event::Look);
        world
    }

    /// A job that comes at its time, or now if that is past.
    pub fn submit_at(&mut self, planned: Planned) {
        let id = planned.load.spec.id.clone();
        let at = planned.at_us.max(self.now);
        self.push(at, Event::Submit(id.clone(), 0));
        if let Some(at) = planned.withdraw_us {
            self.push(at, Event::Withdraw(id.clone()));
        }
        self.plan.insert(id, planned);
    }

    /// A job's user asks for its end now, and again until it is told.
    pub fn withdraw(&mut self, id: &JobId) {
        self.push(self.now, Event::Withdraw(id.clone()));
    }

    fn start_machines(&mut self) {
        let scenario = self.scenario.clone();
        for (k, kind) in scenario.kinds.iter().enumerate() {
            for zone in &scenario.zones {
                for _ in 0..kind.at_start {
                    let up = self.rng.random_range(0..3_000 * MS);
                    self.add_machine(k, zone, false, 0, up);
                }
            }
        }
    }

    fn add_machine(
        &mut self,
        kind: usize,
        zone: &str,
        spot: bool,
        rented: u64,
        up: u64,
    ) -> MachineId {
        let number = self.workers.len();
        let speed = 0.95 + 0.1 * self.rng.random::<f64>();
        let machine = &self.scenario.kinds[kind].machine;
        let mut worker = Worker::new(
            number,
            machine,
            zone,
            spot,
            up,
            speed,
            &self.scenario.workers,
        );
        worker.node = number % self.hosts.len();
        let id = worker.id.clone();
        self.cloud
            .add(number, kind, zone, spot, rented, up, worker.id.clone());
        self.workers.push(Some(worker));
        self.wake_worker(number);
        id
    }

    // ---- the queue -------------------------------------------------------------

    fn push(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse(Timed {
            at,
            seq: self.seq,
            event,
        }));
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.push(self.now + delay, event);
    }

    fn travel(&mut self) -> u64 {
        let l = self.scenario.latency;
        self.rng.random_range(l.low_us..=l.high_us)
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }

    /// Lets `ms` pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > end {
                break;
            }
            let Some(Reverse(Timed { at, event, .. })) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.events += 1;
            self.handle(event);
        }
        self.now = end;
    }

    fn alive(&self, host: usize, life: u64) -> bool {
        self.hosts
            .get(host)
            .is_some_and(|h| h.life == life && h.core.is_some())
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::To(host, life, input) => {
                if self.alive(host, life) {
                    self.deliver(host, *input);
                } else {
                    self.unheard(host, *input);
                }
            }
            Event::Wake(host, life) => {
                if self.alive(host, life) {
                    self.wake(host);
                }
            }
            Event::Tick(host, life) => {
                if self.alive(host, life) {
                    self.deliver(host, Input::Tick);
                    let hurried = self.hosts[host]
                        .core
                        .as_ref()
                        .is_some_and(|c| c.hurried(now / MS));
                    self.at(
                        if hurried { SHORT_TICK_MS } else { TICK_MS } * MS,
                        Event::Tick(host, life),
                    );
                }
            }
            // What a process that stands still would have begun.
            Event::Read(host, life) if self.hosts[host].frozen_until > now => {
                self.hosts[host].read_due = self.hosts[host].frozen_until;
                self.push(self.hosts[host].frozen_until, Event::Read(host, life));
            }
            Event::Holds(host, life) if self.hosts[host].frozen_until > now => {
                self.push(self.hosts[host].frozen_until, Event::Holds(host, life));
            }
            Event::Read(host, life) => {
                if self.alive(host, life)
                    && !self.hosts[host].reading
                    && self.hosts[host].read_due == now
                {
                    let h = &mut self.hosts[host];
                    (h.reading, h.read_wanted) = (true, false);
                    let wait = h.requests.take(1.0, now);
                    let after = h.core.as_ref().and_then(|c| c.cache.revision);
                    let at = now + wait + self.travel();
                    let way = self.way(host, Service::Store, 0);
                    self.push(
                        at,
                        Event::PlacementRequest(host, life, Request::Reading(after, now), way),
                    );
                }
            }
            Event::Holds(host, life) => self.holds(host, life),
            Event::PlacementRequest(host, life, request, way) => {
                self.asked_of_store(host, life, request, way)
            }
            Event::Serve(host, life, request, answer_us) => {
                self.serve(host, life, request, answer_us)
            }
            Event::Orders(host, life, lease, call, late) => {
                self.orders_arrive(host, life, lease, *call, late)
            }
            Event::Worker(number) => self.worker_wakes(number),
            Event::Copy(number, host, report) => self.copy_arrives(number, host, *report),
            Event::Answer(number, session, sent, answer) => {
                self.worker_answered(number, session, sent, *answer)
            }
            Event::Call(Call::Look(id, at)) if at > now => {
                self.push(at, Event::Call(Call::Look(id, at)))
            }
            Event::Call(Call::Look(id, _)) => {
                self.ground.look(&id, now);
                self.pass_calls();
            }
            Event::Call(call) => {
                let (Call::Run(number, ..)
                | Call::Peers(number, ..)
                | Call::Stopped(number, ..)
                | Call::ProcessStall(number, _)) = &call
                else {
                    return;
                };
                self.with_worker(*number, |w, ground| w.take_call(call, now, ground));
            }
            Event::Rent(host, life, lease, rental, way) => {
                self.rent(host, life, lease, *rental, way)
            }
            Event::Release(host, life, lease, names, way) => {
                if !self.served(host, life, way) {
                    let way = self.way(host, Service::Cloud, 0);
                    return self.at(
                        CLOUD_TROUBLE_MS * MS,
                        Event::Release(host, life, lease, names, way),
                    );
                }
                for name in &names {
                    self.take_machine(machine_number(name));
                }
                let at = now + self.travel();
                self.push(
                    at,
                    Event::To(host, life, Box::new(Input::Released(lease, names))),
                );
            }
            Event::ListSoon(host, life) => {
                if self.alive(host, life) {
                    let wait = self.hosts[host].cloud.take(1.0, now);
                    let way = self.way(host, Service::Cloud, 0);
                    self.at(wait, Event::List(host, life, way));
                    self.at(
                        LIST_EVERY_MS.max((self.cloud.listed() as u64) * 4) * MS,
                        Event::ListSoon(host, life),
                    );
                }
            }
            Event::Probe(host, life, service) => {
                drop(self.served(host, life, Way::direct(service)))
            }
            Event::List(host, life, way) => {
                if self.served(host, life, way) {
                    let lag = (self.scenario.cloud.list_staleness_s * 1e6) as u64;
                    let entries = self.cloud.list(now.saturating_sub(lag), &self.scenario);
                    let at = now + self.travel();
                    self.push(at, Event::To(host, life, Box::new(Input::Listed(entries))));
                }
            }
            Event::Submit(id, tries) => self.user_submits(id, tries),
            Event::Reply(id, phase, status, asked) => self.user_hears(id, phase, status, asked),
            Event::Poll(id) => {
                if self.asked_often > 1.0 && self.rng.random_range(0..3) == 0 {
                    let nobodys = format!("req-{:09}", self.rng.random_range(0..100_000_000));
                    self.ask(Input::Poll(JobId::from(nobodys.as_str())));
                }
                let (now, waits) = (
                    self.now,
                    self.users.get_mut(&id).filter(|u| !u.over && u.next == now),
                );
                if let Some(user) = waits {
                    user.asked = now;
                    let sent = self.ask(Input::Poll(id.clone()));
                    self.poll_in(
                        id,
                        if sent {
                            ANSWER_US + self.poll_us()
                        } else {
                            1_000 * MS
                        },
                    );
                }
            }
            Event::Withdraw(id) => {
                // Nobody withdraws what was not accepted yet.
                let waits = self.users.get_mut(&id).filter(|u| !u.over);
                if let Some(user) = waits {
                    if user.accepted.is_some() {
                        user.withdrew.get_or_insert(now);
                        self.ask(Input::Withdraw(id.clone()));
                    }
                    self.at(2_000 * MS, Event::Withdraw(id));
                }
            }
            Event::Boot(host) => self.boot(host),
            Event::Fault(i) => self.fault(i),
            Event::Flap(link, true) => drop(self.down.insert(link)),
            Event::Flap(link, false) => drop(self.down.remove(&link)),
            Event::FaultOver(i, struck) => self.fault_over(i, &struck),
            Event::TakeMachine(number) => self.take_machine(number),
            Event::OddRequests(fault) => self.odd_requests(fault),
            Event::Look => {
                self.store.expire(now);
                self.ground.checker.check_time(now);
                if self.troubled() {
                    self.troubled_at = now;
                }
                self.ground.checker.check_answers(self.troubled_at, now);
                self.look_at_waiting_jobs();
                self.measures
                    .sample(now, &self.workers, &self.cloud, &self.hosts);
                self.at(LOOK_US, Event::Look);
            }
        }
    }

    /// When a job's user withdraws it, µs.
    pub fn withdrawal(&self, id: &JobId) -> Option<u64> {
        self.plan.get(id).and_then(|p| p.withdraw_us)
    }

    /// What the store says of a job's end.
    pub fn phase(&self, id: &JobId) -> Option<JobPhase> {
        self.store
            .get(&end_key(id))
            .and_then(|(v, _)| from_value::<JobEndRecord>(v))
            .map(|r| r.phase)
    }

    /// Tasks that have not exited, by job.
    pub fn live(&self) -> BTreeMap<JobId, usize> {
        let mut live = BTreeMap::new();
        for job in self.workers.iter().flatten().flat_map(|w| w.live_jobs()) {
            *live.entry(job.clone()).or_default() += 1;
        }
        live
    }
}

fn machine_number(id: &MachineId) -> usize {
    id.as_str()
        .get(2..)
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}
