//! Shared test fixtures: an owner with a few machines, and builders for the messages that owners
//! and placers exchange. No test uses all of them.
#![allow(dead_code)]

use std::sync::Arc;

use lemonweir_coordination::owner::{Owner, Timing};
use lemonweir_coordination::placer::{Placer, PlacerConfig};
use lemonweir_model::{
    AttemptId, JobId, JobKind, JobSpec, MachineId, MachineType, Priority, Resources,
};
use lemonweir_protocol::peer::{
    AttemptStatus, ChangeRange, DesiredAttempt, MachineView, ObservedState, PreemptionScope,
    ShardView, SyncRequest,
};
use lemonweir_protocol::worker::{CommandKind, Heartbeat, TaskPhase, TaskStatus};
use lemonweir_storage::records::JobRecord;
use lemonweir_storage::state_cache::CachedJob;

pub const TIMING: Timing = Timing {
    lease_ms: 14_000,
    heartbeat_interval_ms: 3_000,
};
/// Fencing token of the leader of shard 0.
pub const TOKEN: u64 = 40;

pub fn machine_id(n: usize) -> MachineId {
    MachineId::from(format!("n-{n:06}").as_str())
}

/// A heartbeat of machine `n`, which runs no task.
pub fn heartbeat(n: usize, seq: u64) -> Heartbeat {
    Heartbeat {
        machine: machine_id(n),
        address: "10.1.0.1:9000".into(),
        machine_type: "box".into(),
        zone: "north".into(),
        spot: false,
        incarnation: 1,
        sequence: seq,
        fencing_token: TOKEN << lemonweir_model::constants::MACHINE_TOKEN_BITS,
        reclaim_notice_s: None,
        tasks: Vec::new(),
    }
}

/// The only machine type.
pub fn machine_type() -> MachineType {
    MachineType {
        name: "box".into(),
        capacity: Resources::capacity(16.0, 4.0, 64.0),
        image_cache_gb: 100.0,
        image_pull_gb_per_s: 1.0,
        on_demand_price: 4.0,
        spot_price: 1.0,
        boot_s: 20.0,
        zones: vec!["north".into()],
    }
}

/// An owner that acquires shard 0, the only one, with this token.
pub fn new_owner(token: u64, now: u64) -> Owner {
    let mut owner = Owner::new(
        0,
        token,
        1,
        TIMING,
        lemonweir_policy::embedded().expect("policy"),
        now,
    );
    owner.set_machine_types([machine_type()].iter());
    owner
}

/// An owner of shard 0 that has registered this many machines.
pub fn owner_with_machines(machines: usize) -> Owner {
    let mut owner = new_owner(TOKEN, 0);
    for n in 0..machines {
        assert!(owner.handle_heartbeat(&heartbeat(n, 1), None, 10).is_some());
    }
    // A newer reading of the store confirms the lease, which completes the registrations.
    owner.tick(11, 11);
    owner
}

/// The number of starts in the reply to this heartbeat, and the token of the reply.
pub fn starts_in_reply(owner: &mut Owner, heartbeat: &Heartbeat, now: u64) -> (usize, u64) {
    let reply = owner
        .handle_heartbeat(heartbeat, None, now)
        .expect("answered");
    let starts = reply
        .commands
        .iter()
        .filter(|command| command.kind == CommandKind::Start);
    (starts.count(), reply.fencing_token)
}

/// The first attempt of task `n`, desired on machine `on`.
pub fn desired_attempt(n: u32, on: usize) -> DesiredAttempt {
    DesiredAttempt {
        id: AttemptId {
            job: JobId::from("req-000001"),
            task: n,
            attempt: 1,
        },
        machine: machine_id(on),
        resources: Resources::capacity(4.0, 1.0, 8.0),
        image: "img".into(),
        image_mb: 2_000,
        may_start: true,
        stop_grace_s: None,
        team: "red".into(),
        priority: Priority::Normal,
        over_quota: true,
        preemption_grace_s: 0,
        runs_until_cancelled: false,
        preemption: PreemptionScope::Nobody,
    }
}

/// A sync request of shard 0's placer to the owner of its own shard.
pub fn sync_request(
    seq: u64,
    change_range: ChangeRange,
    desired_attempts: Vec<DesiredAttempt>,
    observed_state: ObservedState,
) -> SyncRequest {
    SyncRequest {
        version: lemonweir_model::constants::PEER_VERSION,
        from_shard: 0,
        from_fencing_token: TOKEN,
        to_shard: 0,
        to_fencing_token: TOKEN,
        seq,
        store_age_ms: 0,
        range: change_range,
        desired: desired_attempts,
        withdrawn: Vec::new(),
        stops: Vec::new(),
        observed: observed_state,
        misrouted_heartbeats: 0,
        provisioned: Vec::new(),
        reserved_machines: Vec::new(),
        progress: Vec::new(),
    }
}

/// How much of the owner's state a placer has once it has applied this view.
pub fn observed_state(view: &ShardView) -> ObservedState {
    ObservedState {
        machines_revision: view.machines_range.until,
        attempts_revision: view.attempts_range.until,
    }
}

/// A generous size limit of a message, bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Status of the first attempt of task `n`, which runs.
pub fn running_task(n: usize) -> TaskStatus {
    TaskStatus {
        task: format!("req-000001/{n}"),
        attempt: 1,
        phase: TaskPhase::Running,
        exit_cause: None,
        checkpointed: None,
    }
}

/// The view of a schedulable machine with this many GPUs free, and 4 CPUs and 16 GB of memory
/// free for each of them.
pub fn machine_view(n: usize, gpus: u64) -> MachineView {
    MachineView {
        id: machine_id(n),
        machine_type: "box".into(),
        zone: "north".into(),
        spot: false,
        registered: true,
        schedulable: true,
        draining: false,
        free: Resources::capacity(gpus as f64 * 4.0, gpus as f64, gpus as f64 * 16.0),
        preemptible: Default::default(),
        preemptible_or_over_quota: Default::default(),
        task_count: 4 - gpus as u16,
        service_task_count: 0,
        cached_images: Vec::new(),
        pulling_images: Vec::new(),
        provisioned_by: None,
    }
}

/// The configuration of a placer without quota limits and with a gang wait of 50 s.
pub fn placer_config() -> PlacerConfig {
    PlacerConfig {
        quota_limits: Default::default(),
        guaranteed_quotas: Default::default(),
        zones: vec!["north".into()],
        max_cas_operations: 12,
        headroom_share: 0.0,
        low_priority_writes_per_s: 12,
        gang_wait_ms: 50_000,
        wall_clock_offset_ms: 0,
        placement_weights: Default::default(),
    }
}

/// Shows the placer a job that was submitted at `at`, wall-clock ms.
pub fn submit(placer: &mut Placer, spec: JobSpec, at: u64, now: u64) {
    let job = CachedJob {
        record: Arc::new(JobRecord {
            spec: spec.clone(),
            submitted_at_ms: at,
            cancel_requested: false,
            dependency_count: 0,
        }),
        version: 1,
    };
    placer.apply_job(&spec.id, Some(&job), now);
}

/// A view published by the owner of shard 0: changes of its machines, and the state of every
/// attempt of the placer.
pub fn shard_view(
    seq: u64,
    machines_span: ChangeRange,
    machines: Vec<MachineView>,
    attempts: Vec<AttemptStatus>,
) -> ShardView {
    ShardView {
        version: lemonweir_model::constants::PEER_VERSION,
        shard: 0,
        fencing_token: TOKEN,
        seq,
        store_age_ms: 0,
        desired_revision: 0,
        partitioned_zones: Vec::new(),
        machines_range: machines_span,
        machines,
        removed_machines: Vec::new(),
        attempts_range: ChangeRange {
            since: 0,
            until: attempts.len() as u64,
            complete: true,
        },
        attempts,
    }
}

/// An array job with this many tasks.
pub fn array_job(tasks: u64) -> JobSpec {
    JobSpec {
        id: JobId::from("req-000001"),
        class: "work".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 4.0,
        gpus: 1.0,
        memory_gb: 8.0,
        machine_types: None,
        zone: None,
        same_zone: false,
        spread: false,
        allow_spot: true,
        image: "img".into(),
        image_gb: 2.0,
        estimated_runtime_s: 20.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        depends_on: Vec::new(),
    }
}
