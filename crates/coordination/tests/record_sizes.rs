//! Records that hold what users chose stay within the lowest limits of the store.

use std::collections::BTreeSet;

use lemonweir_coordination::supervision::failover::{Failover, StartedBy};
use lemonweir_model::JobId;
use lemonweir_protocol::kv_store::{to_value, value_size};
use lemonweir_storage::failovers::{FailoverRecord, LeadershipChange};

/// Guards against a shard that is never handed back: the transaction that releases it holds the
/// completed failover record, with names of classes that users chose.
#[test]
fn failover_record_fits_the_lowest_value_limit() {
    const LOWEST_VALUE_BYTES: usize = 2_048;
    for (filler, name_length) in [("x", 5), ("x", 120), ("x", 200), ("\"", 200), ("ü", 100)] {
        let service = |n: u32| JobId::from(format!("req-{n:06}").as_str());
        let services: BTreeSet<JobId> = (1..=20).map(service).collect();
        let mut failover = Failover::new(Some(35), 7, 0, services, 10);
        for n in 1..=20 {
            let class = format!("{n}{}", filler.repeat(name_length - 2));
            let now = 1_000 * u64::from(n);
            failover.task_running(&service(n), 0, Some(&class), StartedBy::ThisLeader, now);
        }
        let completion = failover.completion("hutte-0", 30_000);
        assert!(
            completion.gaps.first().is_some_and(|(_, ms)| *ms == 20_000),
            "the longest gap stays: {:?}",
            completion.gaps
        );
        let record = FailoverRecord {
            number: 35,
            previous_leader: Some("hutte-2".into()),
            new_leader: Some("hutte-0".into()),
            change: LeadershipChange::Vacant,
            at_ms: 1_790_000_000_000,
            up: Some((3_000, 20_000, 1_000)),
            completion: Some(completion),
        };
        let bytes = value_size(&to_value(&record));
        assert!(bytes <= LOWEST_VALUE_BYTES, "{filler}: {bytes} bytes");
    }
}
