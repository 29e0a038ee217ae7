//! Placement passes with jobs whose attempts restrict the zones of their next tasks, and other
//! jobs with the same needs.

mod support;

use lemonweir_coordination::placer::Placer;
use lemonweir_model::{JobId, JobSpec};
use lemonweir_protocol::peer::{ChangeRange, MachineView};
use support::*;

fn job(n: u64, tasks: u64) -> JobSpec {
    JobSpec {
        id: JobId::from(format!("req-{n:06}").as_str()),
        ..array_job(tasks)
    }
}

/// Shows the placer a machine in each of these zones with this many GPUs free.
fn show_machines(placer: &mut Placer, zones: &[(&str, u64)], until: u64) {
    let seq = placer
        .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, until)
        .seq;
    let machine = |(n, (zone, gpus)): (usize, &(&str, u64))| MachineView {
        zone: (*zone).into(),
        ..machine_view(n, *gpus)
    };
    let machines = zones.iter().enumerate().map(machine).collect();
    let range = ChangeRange {
        since: until - 10,
        until,
        complete: true,
    };
    placer.apply_view(shard_view(seq, range, machines, Vec::new()), until);
}

/// A job that fills the machine of one zone and waits there for more; returns whether another
/// job with the same needs is placed in the other zone, in the same pass.
fn places_other_job_beside(waiting: JobSpec) -> bool {
    let mut placer = Placer::new(0, TOKEN, 1, placer_config(), 0);
    show_machines(&mut placer, &[("north", 1)], 10);
    submit(&mut placer, waiting, 0, 10);
    placer.run_placement_pass(11);
    submit(&mut placer, job(2, 1), 20, 20);
    show_machines(&mut placer, &[("north", 0), ("south", 2)], 20);
    placer.run_placement_pass(21);
    let cas = placer.next_cas(22).expect("starts to write");
    cas.writes
        .iter()
        .any(|write| format!("{write:?}").contains("req-000002"))
}

/// Guards against a job that waits beside fitting room, since an older one with the same needs has
/// to wait for room in the zone of its other tasks.
#[test]
fn job_is_placed_while_another_waits_for_room_in_its_only_zone() {
    let same_zone = JobSpec {
        same_zone: true,
        ..job(1, 3)
    };
    assert!(places_other_job_beside(same_zone));
}
