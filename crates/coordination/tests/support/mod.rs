//! An owner with a few machines, and messages for it. Not every test uses all.
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
use lemonweir_protocol::worker::{Heartbeat, TaskPhase, TaskStatus};
use lemonweir_storage::records::JobRecord;
use lemonweir_storage::state_cache::CachedJob;

pub const TIMING: Timing = Timing {
    lease_ms: 14_000,
    report_ms: 3_000,
};
pub const TOKEN: u64 = 40;

pub fn machine(n: usize) -> MachineId {
    MachineId::from(format!("n-{n:06}").as_str())
}

pub fn report(n: usize, seq: u64) -> Heartbeat {
    Heartbeat {
        machine: machine(n),
        address: "10.1.0.1:9000".into(),
        kind: "box".into(),
        zone: "north".into(),
        spot: false,
        session: 1,
        seq,
        token: TOKEN << lemonweir_model::constants::FENCE_BITS,
        notice_s: None,
        tasks: Vec::new(),
    }
}

/// The only type of machine.
pub fn kind() -> MachineType {
    MachineType {
        name: "box".into(),
        room: Resources::offer(16.0, 4.0, 64.0),
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: 4.0,
        spot_price: 1.0,
        boot_s: 20.0,
        zones: vec!["north".into()],
    }
}

pub fn fleet(machines: usize) -> Owner {
    let mut owner = Owner::new(
        0,
        TOKEN,
        1,
        TIMING,
        lemonweir_policy::embedded().expect("policy"),
        0,
    );
    owner.set_types([kind()].iter());
    for n in 0..machines {
        assert!(owner.report(&report(n, 1), None, 10).is_some());
    }
    // The store shows that they came to the part's owner.
    owner.tick(11, 11);
    owner
}

pub fn want(n: u32, on: usize) -> DesiredAttempt {
    DesiredAttempt {
        id: AttemptId {
            job: JobId::from("req-000001"),
            task: n,
            attempt: 1,
        },
        machine: machine(on),
        need: Resources::offer(4.0, 1.0, 8.0),
        image: "img".into(),
        image_mb: 2_000,
        go: true,
        kill: None,
        team: "red".into(),
        rank: Priority::Normal,
        over: true,
        grace: 0,
        lasting: false,
        evict: PreemptionScope::Nobody,
    }
}

pub fn sync(
    seq: u64,
    span: ChangeRange,
    wants: Vec<DesiredAttempt>,
    have: ObservedState,
) -> SyncRequest {
    SyncRequest {
        version: lemonweir_model::constants::PEER_VERSION,
        from: 0,
        from_token: TOKEN,
        to: 0,
        to_token: TOKEN,
        seq,
        store_age_ms: 0,
        span,
        wants,
        dropped: Vec::new(),
        stops: Vec::new(),
        have,
        strays: 0,
        rented: Vec::new(),
        keep: Vec::new(),
        notes: Vec::new(),
    }
}

pub fn have(view: &ShardView) -> ObservedState {
    ObservedState {
        machines: view.machines_span.upto,
        attempts: view.attempts_span.upto,
    }
}

pub const ROOM: usize = 1 << 20;

pub fn running_task(n: usize) -> TaskStatus {
    TaskStatus {
        piece: format!("req-000001/{n}"),
        attempt: 1,
        phase: TaskPhase::Running,
        cause: None,
        saved: None,
    }
}

/// A machine that is up, as its owner tells it, with so many of its accelerators
/// free and a like share of the rest.
pub fn shown(n: usize, gpus: u64) -> MachineView {
    MachineView {
        id: machine(n),
        kind: "box".into(),
        zone: "north".into(),
        spot: false,
        up: true,
        open: true,
        leaving: false,
        free: Resources::offer(gpus as f64 * 4.0, gpus as f64, gpus as f64 * 16.0),
        soft: Default::default(),
        soft_over: Default::default(),
        busy: 4 - gpus as u16,
        lasting: 0,
        images: Vec::new(),
        coming: Vec::new(),
        renter: None,
    }
}

/// The terms of a placer without limits, whose gangs wait for 50 s.
pub fn terms() -> PlacerConfig {
    PlacerConfig {
        limits: Default::default(),
        guarantees: Default::default(),
        zones: vec!["north".into()],
        txn_ops: 12,
        spare: 0.0,
        idle_writes: 12,
        gang_wait_ms: 50_000,
        wall_offset_ms: 0,
        trade: Default::default(),
    }
}

/// A placer hears of a job that was submitted at that time of day.
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
    placer.set_job(&spec.id, Some(&job), now);
}

/// What the owner of part 0 tells: these changes of its machines, and all that became
/// of the asker's attempts.
pub fn view(
    seq: u64,
    machines_span: ChangeRange,
    machines: Vec<MachineView>,
    attempts: Vec<AttemptStatus>,
) -> ShardView {
    ShardView {
        version: lemonweir_model::constants::PEER_VERSION,
        shard: 0,
        token: TOKEN,
        seq,
        store_age_ms: 0,
        wants_at: 0,
        hidden: Vec::new(),
        machines_span,
        machines,
        gone: Vec::new(),
        attempts_span: ChangeRange {
            since: 0,
            upto: attempts.len() as u64,
            last: true,
        },
        attempts,
    }
}

/// An array of so many plain tasks.
pub fn array(tasks: u64) -> JobSpec {
    JobSpec {
        id: JobId::from("req-000001"),
        class: "work".into(),
        team: "red".into(),
        shape: JobKind::Array,
        rank: Priority::Normal,
        tasks,
        cores: 4.0,
        gpus: 1.0,
        ram_gb: 8.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "img".into(),
        image_gb: 2.0,
        estimate_s: 20.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        awaits: Vec::new(),
    }
}
