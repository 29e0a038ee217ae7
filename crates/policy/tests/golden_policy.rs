//! Every value of the operators' policy: its default in the embedded script, and how a
//! script overrides it.

use lemonweir_model::policy::{Policy, ServicePlacementWeights};
use lemonweir_policy::{embedded, evaluate};

/// Every name, with a value that no other name has.
const EVERY_NAME: [(&str, f64); 11] = [
    ("idle", 1.25),
    ("idle_spot", 2.25),
    ("silent_s", 10.5),
    ("boot_patience", 4.25),
    ("blind_s", 50.5),
    ("spare", 0.625),
    ("risk_machine", 0.375),
    ("risk_zone", 0.125),
    ("risk_one_zone", 5.5),
    ("pin_s", 7.5),
    ("move_s", 8.5),
];

fn script(names: &[(&str, f64)]) -> String {
    let lines: Vec<String> = names.iter().map(|(n, x)| format!("{n} = {x}")).collect();
    format!("return {{ {} }}", lines.join(", "))
}

#[test]
fn embedded_policy_has_expected_values() {
    let policy = embedded().expect("a valid policy");
    let expected = Policy {
        on_demand_idle_multiple: 0.75,
        spot_idle_multiple: 1.5,
        spot_silence_timeout_ms: 9_000,
        provisioning_timeout_multiple: 3.0,
        store_outage_grace_ms: 60_000,
        headroom_per_arrival: 0.5,
        placement_weights: ServicePlacementWeights {
            machine_loss: 0.25,
            zone_loss: 0.1,
            single_zone: 3.0,
            machine_pin_cost_s: 6.0,
            min_migration_gain_s: 1.0,
        },
    };
    assert_eq!(policy, expected);
    assert_eq!(policy.placement_weights, ServicePlacementWeights::default());
}

#[test]
fn each_name_sets_its_own_value() {
    let policy = evaluate(&script(&EVERY_NAME)).expect("a valid policy");
    let expected = Policy {
        on_demand_idle_multiple: 1.25,
        spot_idle_multiple: 2.25,
        spot_silence_timeout_ms: 10_500,
        provisioning_timeout_multiple: 4.25,
        store_outage_grace_ms: 50_500,
        headroom_per_arrival: 0.625,
        placement_weights: ServicePlacementWeights {
            machine_loss: 0.375,
            zone_loss: 0.125,
            single_zone: 5.5,
            machine_pin_cost_s: 7.5,
            min_migration_gain_s: 8.5,
        },
    };
    assert_eq!(policy, expected);
}

#[test]
fn missing_name_is_reported() {
    let ranges = [
        "0 to 1000",
        "0 to 1000",
        "1 to 3600",
        "1.5 to 100",
        "0 to 60",
        "0 to 10",
        "0 to 1000",
        "0 to 1000",
        "0 to 1000",
        "0 to 3600",
        "0 to 3600",
    ];
    for (i, ((name, _), range)) in EVERY_NAME.iter().zip(ranges).enumerate() {
        let mut names = EVERY_NAME.to_vec();
        names.remove(i);
        assert_eq!(
            evaluate(&script(&names)),
            Err(vec![format!(
                "policy: {name} must be a number from {range}"
            )])
        );
    }
}

#[test]
fn unknown_name_is_reported() {
    let names = [EVERY_NAME.as_slice(), &[("idle_ms", 1.0)]].concat();
    assert_eq!(
        evaluate(&script(&names)),
        Err(vec!["policy: unknown name idle_ms".to_owned()])
    );
}
