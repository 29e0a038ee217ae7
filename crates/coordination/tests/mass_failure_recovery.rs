//! Recovery from a mass failure: all lost tasks are queued at once, and capacity comes back
//! machine by machine.

mod support;

use lemonweir_coordination::placer::PlacerJobStatus;
use std::collections::BTreeMap;

use lemonweir_coordination::placer::{CompareAndSwapOutcome, Placer};
use lemonweir_model::{JobId, JobKind, JobSpec, MachineId, Priority, Resources};
use lemonweir_protocol::peer::{
    AttemptState, AttemptStatus, ChangeRange, MachineView, PartitionedZone, ShardView,
};
use support::*;

/// Status of a job of an earlier leader's that waits for no reason that users are told.
fn waits_without_reason() -> PlacerJobStatus {
    PlacerJobStatus {
        done: 0,
        running: 0,
        known: false,
        reason: String::new(),
    }
}

/// A placer with the machines of its own shard.
struct Cluster {
    placer: Placer,
    machines: Vec<MachineView>,
    store_revision: u64,
    /// Revision of the machines that was published last.
    machines_revision: u64,
    /// Number of machines added so far.
    machine_count: usize,
    /// Revision of the attempts that was published last.
    attempts_revision: u64,
}

impl Cluster {
    /// A placer with this many services of 4 replicas, and one array of 20 tasks that was
    /// submitted before them.
    fn new(services: usize) -> Self {
        let mut placer = Placer::new(0, TOKEN, 1, placer_config(), 0);
        submit(&mut placer, array_job(20), 1, 0);
        for n in 0..services {
            let id = JobId::from(format!("req-0001{n:02}").as_str());
            submit(
                &mut placer,
                JobSpec {
                    id,
                    kind: JobKind::Service,
                    priority: Priority::Production,
                    ..array_job(4)
                },
                10 + n as u64,
                0,
            );
        }
        Self {
            placer,
            machines: Vec::new(),
            store_revision: 1,
            machines_revision: 0,
            machine_count: 0,
            attempts_revision: 0,
        }
    }

    /// Fails all machines and everything that runs on them.
    fn fail_all_machines(&mut self) {
        let all = self
            .placer
            .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 0)
            .desired;
        for reported_state in [AttemptState::Running, AttemptState::Gone] {
            let attempts = all
                .iter()
                .map(|w| AttemptStatus {
                    id: w.id.clone(),
                    state: reported_state,
                })
                .collect();
            let removed = if reported_state == AttemptState::Gone {
                std::mem::take(&mut self.machines)
            } else {
                Vec::new()
            };
            self.attempts_revision += all.len() as u64;
            let full = |m: &MachineView| MachineView {
                free: Resources::default(),
                task_count: 4,
                ..m.clone()
            };
            let machines = self.machines.iter().map(full).collect();
            self.publish(
                machines,
                removed.into_iter().map(|m| m.id).collect(),
                attempts,
                Vec::new(),
            );
        }
    }

    /// Publishes a new machine with room for four tasks; returns the tasks placed on it.
    fn add_machine(&mut self, partitioned: Vec<PartitionedZone>) -> Vec<(JobId, u32)> {
        self.machine_count += 1;
        let view = machine_view(self.machine_count, 4);
        self.machines.push(view.clone());
        self.publish(vec![view], Vec::new(), Vec::new(), partitioned);
        let wants = self
            .placer
            .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 0)
            .desired;
        let last = &self.machines[self.machines.len() - 1].id;
        wants
            .into_iter()
            .filter(|w| w.machine == *last)
            .map(|w| (w.id.job, w.id.task))
            .collect()
    }

    fn publish(
        &mut self,
        machines: Vec<MachineView>,
        removed: Vec<MachineId>,
        attempts: Vec<AttemptStatus>,
        partitioned: Vec<PartitionedZone>,
    ) {
        let seq = self
            .placer
            .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 0)
            .seq;
        let since = self.machines_revision;
        self.machines_revision += 1;
        let view = ShardView {
            version: lemonweir_model::constants::PEER_VERSION,
            shard: 0,
            fencing_token: TOKEN,
            seq,
            store_age_ms: 0,
            desired_revision: 0,
            partitioned_zones: partitioned,
            machines_range: ChangeRange {
                since,
                until: self.machines_revision,
                complete: true,
            },
            machines,
            removed_machines: removed,
            attempts_range: ChangeRange {
                since: 0,
                until: self.attempts_revision,
                complete: true,
            },
            attempts,
        };
        self.placer.apply_view(view, 0);
        self.placer.run_placement_pass(0);
        while self.placer.next_cas(0).is_some() {
            self.store_revision += 1;
            self.placer
                .apply_cas_outcome(CompareAndSwapOutcome::Committed(self.store_revision), 0);
        }
    }
}

/// Every service gets half of its replicas before any gets more, and the older array waits for
/// all of them.
#[test]
fn every_service_recovers_half_of_its_replicas_before_any_recovers_all() {
    let mut cluster = Cluster::new(6);
    for _ in 0..6 {
        assert_eq!(
            cluster.add_machine(Vec::new()).len(),
            4,
            "new services are placed by age, and batch jobs after them"
        );
    }
    cluster.fail_all_machines();
    let mut replicas: BTreeMap<JobId, usize> = BTreeMap::new();
    let mut least_and_most = Vec::new();
    for _ in 0..6 {
        for (job, _) in cluster.add_machine(Vec::new()) {
            *replicas.entry(job).or_default() += 1;
        }
        assert!(
            !replicas.contains_key(&JobId::from("req-000001")),
            "batch jobs take no resources that a replica lacks"
        );
        let least = if replicas.len() < 6 {
            0
        } else {
            replicas.values().copied().min().unwrap_or(0)
        };
        least_and_most.push((least, replicas.values().copied().max().unwrap_or(0)));
    }
    assert_eq!(
        least_and_most,
        [(0, 2), (0, 2), (2, 2), (2, 4), (2, 4), (4, 4)]
    );
    let next = cluster.add_machine(Vec::new());
    assert_eq!(
        next.iter()
            .filter(|(job, _)| *job == JobId::from("req-000001"))
            .count(),
        4,
        "the array is placed next: {next:?}"
    );
}

/// The status of a job names its partitioned zone, how long it has been partitioned, and the
/// longest time until its attempts there are presumed lost.
#[test]
fn job_status_names_a_partitioned_zone() {
    let mut cluster = Cluster::new(1);
    assert_eq!(cluster.add_machine(Vec::new()).len(), 4);
    let id = JobId::from("req-000100");
    assert_eq!(
        cluster.placer.job_status(&id, 0),
        Some(waits_without_reason())
    );
    cluster.add_machine(vec![PartitionedZone {
        zone: "north".into(),
        partitioned_for_ms: 12_400,
        presumed_lost_in_ms: 30_100,
    }]);
    let reason = cluster
        .placer
        .job_status(&id, 15_000)
        .expect("known")
        .reason;
    assert_eq!(
        reason,
        "zone north out of sight since 15 s, its attempts there end by proof in at most 16 s"
    );
    cluster.add_machine(Vec::new());
    assert_eq!(
        cluster.placer.job_status(&id, 0),
        Some(waits_without_reason())
    );
}
