//! A discrete-event simulation of a cluster: controllers with the real scheduling core, the
//! state service, the cloud, workers and users, and the network between them.
//!
//! Events are processed on one thread, by time and, at the same time, in the order of
//! scheduling. All random numbers come from one seeded generator, so that the same scenario,
//! load and seed give the same history.

mod adversarial_users;
mod cloud_service;
mod controllers;
mod dispatch;
mod duplicates;
mod effects;
mod events;
mod faults;
mod inputs;
mod inspection;
mod lease_keeping;
mod network;
mod repeated_messages;
mod routes;
mod starvation;
mod state_reads;
mod store_service;
mod user_answers;
mod users;
mod workers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::sync::Arc;

use lemonweir_model::{JobId, MachineId};
use lemonweir_protocol::kv_store::from_value;
use lemonweir_protocol::users::{JobPhase, quota_limit};
use lemonweir_protocol::worker::Heartbeat;
use lemonweir_storage::records::{JobEndRecord, end_key};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::{US_PER_MS, micros};
use crate::cloud::{Cloud, NewMachine};
use crate::controller::{Controller, Input, ProcessId};
use crate::history::History;
use crate::invariants::InvariantChecker;
use crate::job::PlannedSubmission;
use crate::metrics::MetricsCollector;
use crate::scenario::{Link, Scenario};
use crate::store::Store;
use crate::worker::{MachineSpec, Worker};
use crate::workload_state::WorkloadState;
use events::{Event, ScheduledEvent, SubmissionAttempt};
use inspection::INSPECTION_INTERVAL_US;
use users::UserJob;

/// µs between the first starts of two controllers.
const BOOT_STAGGER_US: u64 = 37 * US_PER_MS;
/// µs within which the initial machines are up.
const FIRST_MACHINES_UP_US: u64 = 3_000 * US_PER_MS;
/// Speed of the slowest machine, and by how much the fastest machine exceeds it.
const MIN_SPEED: f64 = 0.95;
const SPEED_RANGE: f64 = 0.1;

/// How the boots of machines that are provisioned now are disturbed.
#[derive(Clone, Debug)]
pub struct BootDisturbance {
    /// Factor by which boot times are multiplied.
    pub factor: f64,
    /// Probability that a machine never boots.
    pub failure_chance: f64,
    /// The only zone affected; `None`: all zones.
    pub zone: Option<String>,
}

/// A simulated cluster. All times are µs since the start of the simulation.
pub struct Simulation {
    /// Current time, µs.
    pub now: u64,
    /// Number of events processed so far.
    pub events: u64,
    /// The scenario that is simulated.
    pub scenario: Arc<Scenario>,
    /// The state service's key-value store.
    pub store: Store,
    /// Machines, by number; `None` for number 0 and for machines that are gone.
    pub workers: Vec<Option<Worker>>,
    /// The cloud provider of the machines.
    pub cloud: Cloud,
    /// State that the workers share: jobs, gangs, the invariant checker and the history.
    pub workload: WorkloadState,
    /// Controllers, by number.
    pub controllers: Vec<Controller>,
    /// Links that are down.
    pub links_down: BTreeSet<Link>,
    /// Zones that are partitioned from everything outside them.
    pub partitioned_zones: BTreeSet<String>,
    /// Metrics for the run's report.
    pub metrics: MetricsCollector,
    /// Bytes of the largest message between shards that was sent through the store.
    pub largest_store_message_bytes: usize,
    /// How boots are disturbed now; `None`: not at all.
    pub boot_disturbance: Option<BootDisturbance>,
    /// Factor by which users poll more often. Above 1, each poll comes, with a probability of
    /// one third, with another one for a job that does not exist.
    pub poll_factor: f64,
    /// Number of copies of heartbeats that were delivered.
    pub duplicates_delivered: u64,
    /// Number of compare-and-swaps with writes that a fault left without an answer; the store
    /// executes them, possibly late.
    pub late_writes: u64,
    /// Number of calls to machines and answers to their heartbeats that a fault delayed, or let
    /// arrive in time while the response to a call was lost.
    pub delayed_calls: u64,
    /// Active faults that no other state represents, by their index in the scenario, with the
    /// machines drawn for them; without machines if the fault affects a zone or no machines.
    active_faults: BTreeMap<usize, BTreeSet<usize>>,
    /// Time of the last inspection that found a fault active.
    last_fault_at: u64,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    users: HashMap<JobId, UserJob>,
    /// Copies of heartbeats that are retained until a shard has a new leader.
    retained_heartbeats: Vec<Heartbeat>,
    /// Jobs that fit no machine.
    unschedulable: BTreeSet<JobId>,
    starvation: starvation::StarvationMonitor,
    planned: HashMap<JobId, PlannedSubmission>,
}

impl Simulation {
    /// Creates a simulation at time 0, and schedules the start of the controllers and machines,
    /// the submissions of `load`, and the scenario's faults.
    pub fn new(
        scenario: Arc<Scenario>,
        load: Vec<PlannedSubmission>,
        seed: u64,
        history: History,
    ) -> Self {
        let mut simulation = Self::empty(scenario, seed, history);
        for controller in 0..simulation.controllers.len() {
            simulation.schedule_in(controller as u64 * BOOT_STAGGER_US, Event::Boot(controller));
        }
        simulation.start_machines();
        for planned in load {
            simulation.submit(planned);
        }
        for (i, fault) in simulation.scenario.clone().faults.iter().enumerate() {
            simulation.schedule_in(micros(fault.at_s), Event::Fault(i));
        }
        simulation.schedule_in(INSPECTION_INTERVAL_US, Event::Inspect);
        simulation
    }

    fn empty(scenario: Arc<Scenario>, seed: u64, history: History) -> Self {
        let quota_limits = scenario
            .teams
            .iter()
            .map(|team| (team.name.clone(), quota_limit(team)))
            .collect();
        let checker = InvariantChecker::new(
            quota_limits,
            micros(scenario.workers.cancellation_deadline_s),
        );
        Self {
            now: 0,
            events: 0,
            store: Store::new(&scenario.state),
            workers: vec![None],
            cloud: Cloud::new(&scenario),
            workload: WorkloadState::new(scenario.workers.clone(), checker, history),
            controllers: (0..usize::from(scenario.controllers))
                .map(|_| Controller::new(&scenario))
                .collect(),
            links_down: BTreeSet::new(),
            partitioned_zones: BTreeSet::new(),
            metrics: MetricsCollector::default(),
            largest_store_message_bytes: 0,
            boot_disturbance: None,
            poll_factor: 1.0,
            duplicates_delivered: 0,
            late_writes: 0,
            delayed_calls: 0,
            active_faults: BTreeMap::new(),
            last_fault_at: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            sequence: 0,
            users: HashMap::new(),
            retained_heartbeats: Vec::new(),
            unschedulable: BTreeSet::new(),
            starvation: starvation::StarvationMonitor::default(),
            planned: HashMap::new(),
            scenario,
        }
    }

    /// Schedules the submission of a job at its planned time, or now if that is past, and its
    /// withdrawal if one is planned.
    pub fn submit(&mut self, planned: PlannedSubmission) {
        let id = planned.job.spec.id.clone();
        let at = planned.at_us.max(self.now);
        self.schedule_at(at, Event::Submit(id.clone(), SubmissionAttempt::First));
        if let Some(at) = planned.withdraw_us {
            self.schedule_at(at, Event::Withdraw(id.clone()));
        }
        self.planned.insert(id, planned);
    }

    /// Withdraws a job now on behalf of its user, and again until its end is confirmed.
    pub fn withdraw(&mut self, id: &JobId) {
        self.schedule_at(self.now, Event::Withdraw(id.clone()));
    }

    /// Advances the simulation by `ms`.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms * US_PER_MS;
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > end {
                break;
            }
            let Some(Reverse(ScheduledEvent { at, event, .. })) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.events += 1;
            self.dispatch(event);
        }
        self.now = end;
    }

    /// When a job's user plans to withdraw it, µs; `None`: never.
    pub fn planned_withdrawal(&self, id: &JobId) -> Option<u64> {
        self.planned.get(id).and_then(|planned| planned.withdraw_us)
    }

    /// The final phase of a job according to the store; `None` if it has not ended.
    pub fn final_phase(&self, id: &JobId) -> Option<JobPhase> {
        self.store
            .get(&end_key(id))
            .and_then(|(value, _)| from_value::<JobEndRecord>(value))
            .map(|record| record.phase)
    }

    /// Number of tasks that have not exited, by job.
    pub fn live_tasks(&self) -> BTreeMap<JobId, usize> {
        let mut live = BTreeMap::new();
        for job in self
            .workers
            .iter()
            .flatten()
            .flat_map(super::worker::Worker::live_jobs)
        {
            *live.entry(job.clone()).or_default() += 1;
        }
        live
    }

    /// Current time, ms: the resolution of the controllers' clocks.
    fn now_ms(&self) -> u64 {
        self.now / US_PER_MS
    }

    // ---- machines --------------------------------------------------------------

    fn start_machines(&mut self) {
        let scenario = self.scenario.clone();
        for (kind, machine_kind) in scenario.machine_kinds.iter().enumerate() {
            for zone in &scenario.zones {
                for _ in 0..machine_kind.at_start {
                    let up_at = self.rng.random_range(0..FIRST_MACHINES_UP_US);
                    self.add_machine(kind, zone, false, 0, up_at);
                }
            }
        }
    }

    fn add_machine(
        &mut self,
        kind: usize,
        zone: &str,
        spot: bool,
        provisioned_at: u64,
        up_at: u64,
    ) -> MachineId {
        let number = self.workers.len();
        let speed = MIN_SPEED + SPEED_RANGE * self.rng.random::<f64>();
        let spec = MachineSpec {
            number,
            kind: &self.scenario.machine_kinds[kind].machine,
            zone,
            spot,
            up_at,
            speed,
        };
        let mut worker = Worker::new(spec, &self.scenario.workers);
        worker.controller = number % self.controllers.len();
        let id = worker.id.clone();
        self.cloud.add(
            number,
            NewMachine {
                id: id.clone(),
                kind,
                zone,
                spot,
                provisioned_at,
                up_at,
            },
        );
        self.workers.push(Some(worker));
        self.schedule_worker(number);
        id
    }

    fn worker(&self, number: usize) -> Option<&Worker> {
        self.workers.get(number)?.as_ref()
    }

    // ---- event queue and random numbers ----------------------------------------

    fn schedule_at(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(ScheduledEvent {
            at,
            sequence: self.sequence,
            event,
        }));
    }

    fn schedule_in(&mut self, delay_us: u64, event: Event) {
        self.schedule_at(self.now + delay_us, event);
    }

    fn deliver_at(&mut self, at: u64, to: ProcessId, input: Input) {
        self.schedule_at(at, Event::Deliver(to, Box::new(input)));
    }

    fn deliver_in(&mut self, delay_us: u64, to: ProcessId, input: Input) {
        self.deliver_at(self.now + delay_us, to, input);
    }

    fn network_delay(&mut self) -> u64 {
        let latency = self.scenario.latency;
        self.rng.random_range(latency.low_us..=latency.high_us)
    }

    /// True with a probability of `per_mille` thousandths. Draws nothing for 0.
    fn draw_per_mille(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }

    // ---- processes -------------------------------------------------------------

    /// The current incarnation of a controller.
    fn current_process(&self, controller: usize) -> ProcessId {
        ProcessId {
            controller,
            incarnation: self.controllers[controller].incarnation,
        }
    }

    /// True if the process runs, and has not been restarted since.
    fn is_current(&self, process: ProcessId) -> bool {
        self.controllers
            .get(process.controller)
            .is_some_and(|controller| {
                controller.incarnation == process.incarnation && controller.core.is_some()
            })
    }
}

/// The number in a machine's name; 0 if the name has none.
fn machine_number(id: &MachineId) -> usize {
    id.as_str()
        .get(2..)
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}
