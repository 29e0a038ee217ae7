//! In which order a placer writes pending changes, and the size of its sync messages.

mod support;

use std::sync::Arc;

use lemonweir_coordination::placer::{CompareAndSwapOutcome, PendingInstance, Placer};
use lemonweir_model::{JobId, JobSpec, Priority};
use lemonweir_protocol::kv_store::Write;
use lemonweir_protocol::peer::{self, ChangeRange, ProvisionedInstance};
use lemonweir_storage::records::JobRecord;
use lemonweir_storage::state_cache::CachedJob;
use support::*;

fn id(n: u64) -> JobId {
    JobId::from(format!("req-{n:06}").as_str())
}

/// Keys that a compare-and-swap writes.
fn written_keys(writes: &[Write]) -> Vec<String> {
    let key = |w: &Write| match w {
        Write::Put { key, .. } | Write::Delete { key } => key.clone(),
    };
    writes.iter().map(key).collect()
}

/// After an outage of the store the ends of cancelled jobs, proven within 0.2 s, were written 21 s
/// later on average, behind thousands of starts, and a sixth of the users had given up.
#[test]
fn cancelled_job_ends_are_written_before_starts_oldest_first() {
    let mut placer = Placer::new(0, TOKEN, 1, placer_config(), 0);
    let seq = placer
        .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 0)
        .seq;
    let machines: Vec<_> = (0..200).map(|n| machine_view(n, 4)).collect();
    placer.apply_view(
        shard_view(
            seq,
            ChangeRange {
                since: 0,
                until: 200,
                complete: true,
            },
            machines,
            Vec::new(),
        ),
        1,
    );
    for n in 100..140 {
        submit(
            &mut placer,
            JobSpec {
                id: id(n),
                priority: Priority::Production,
                ..array_job(20)
            },
            0,
            2,
        );
    }
    placer.advance_gang_admissions(3, 0);
    placer.run_placement_pass(3);
    // Jobs with higher numbers were cancelled earlier, whatever their priority.
    let priorities = [
        Priority::Low,
        Priority::Normal,
        Priority::High,
        Priority::Production,
    ];
    for (n, at) in (0..20).rev().zip(10..) {
        let spec = JobSpec {
            id: id(n),
            priority: priorities[n as usize % 4],
            ..array_job(2)
        };
        let job = CachedJob {
            record: Arc::new(JobRecord {
                spec: spec.clone(),
                submitted_at_ms: 0,
                cancel_requested: true,
                dependency_count: 0,
            }),
            version: 7,
        };
        placer.apply_job(&spec.id, Some(&job), at);
    }
    let (mut written, mut starts) = (Vec::new(), 0);
    for revision in 50..70 {
        let Some(cas) = placer.next_cas(100) else {
            break;
        };
        for key in written_keys(&cas.writes) {
            match key.strip_prefix("end/") {
                Some(job) => {
                    assert_eq!(starts, 0, "{job} waited behind {starts} starts");
                    written.push(job.to_owned());
                }
                None => starts += usize::from(key.starts_with("run/")),
            }
        }
        placer.apply_cas_outcome(CompareAndSwapOutcome::Committed(revision), 100);
    }
    let oldest_first: Vec<String> = (0..20).rev().map(|n| id(n).to_string()).collect();
    assert_eq!(written, oldest_first);
    assert_eq!(starts, 40, "every start is written after them");
}

/// With values of 2 KiB and four changes per compare-and-swap, the machines that a placer had
/// provisioned and reserved were added to a message without a bound. The message was too large for
/// the store, and so were all that followed.
#[test]
fn sync_message_stays_below_twice_its_byte_budget() {
    let mut placer = Placer::new(0, TOKEN, 2, placer_config(), 0);
    for n in 0..500 {
        let provisioned_instance = ProvisionedInstance {
            machine: machine_id(n),
            machine_type: "box".into(),
            zone: "north".into(),
            spot: false,
            age_ms: 0,
        };
        placer.pending_instances.push(PendingInstance {
            instance: provisioned_instance,
            shard: 1,
            provisioned_at: 1,
        });
    }
    for max_bytes in [700, 2_700, 24_000] {
        let sync = placer.sync_request(1, TOKEN, max_bytes, false, 10);
        assert!(
            peer::encode(&sync).len() <= 2 * max_bytes,
            "{max_bytes}: {}",
            peer::encode(&sync).len()
        );
        assert!(!sync.provisioned.is_empty(), "{max_bytes}");
    }
}
