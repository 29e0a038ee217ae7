//! A small scenario and a plain job for tests.

use lemonweir_model::{JobId, JobKind, JobSpec, Priority};

use crate::scenario::{MessageFaults, Scenario};

/// A scenario with two zones, one type of machine (16 processors, 4 accelerators) and two teams;
/// `capacity` is the number of on-demand machines, and of spot instances, in each zone.
pub fn site(controllers: u16, capacity: u32, message_faults: MessageFaults) -> Scenario {
    let text = format!(
        "name = 'rules'\nduration_s = 1e6\ncontrollers = {controllers}\nzones = ['north', 'south']\n\
         [state]\ntxn_ops = 12\n\
         [[machine_type]]\nname = 'box'\ncpus = 16\ngpus = 4\nmemory_gb = 64\ncache_gb = 100\nprice = 4\nspot_price = 1\n\
         boot_s = 20\nordinary = {capacity}\nspot = {capacity}\n\
         [[team]]\nname = 'red'\ngpus = 4\ngpus_max = 12\n[[team]]\nname = 'blue'\n"
    );
    Scenario {
        message_faults,
        ..Scenario::parse("rules", &text).unwrap_or_else(|faults| unreachable!("{faults:?}"))
    }
}

/// Id of job number `n`.
pub fn id(n: u32) -> JobId {
    JobId::from(format!("req-{n:06}").as_str())
}

/// A job of 20 s with small tasks that may run on any machine; `shape` makes it an array, gang or
/// service.
pub fn job(n: u32, team: &str, shape: JobKind, tasks: u64) -> JobSpec {
    JobSpec {
        id: id(n),
        class: "work".into(),
        team: team.into(),
        kind: shape,
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
        checkpoint_interval_s: 5.0,
        checkpoint_duration_s: 2.0,
        deadline_s: None,
        depends_on: Vec::new(),
    }
}
