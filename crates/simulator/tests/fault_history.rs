//! The history's digest covers the text of faults, so renaming a fault's Rust type or variant must
//! not change its text. The samples below are what the first version wrote.

use lemonweir_simulator::scenario::{Fault, Scenario};

const SITE: &str = "name = 'written'\nduration_s = 100\ncontrollers = 3\nzones = ['a', 'b']\n\
     [[machine_type]]\nname = 'box'\ncpus = 16\nmemory_gb = 64\n[[team]]\nname = 'red'\n";

fn fault(table: &str) -> Fault {
    let text = format!("{SITE}[[fault]]\nat_s = 1\n{table}\n");
    let scenario = Scenario::parse("written", &text).expect("no fault");
    scenario.faults[0].clone()
}

#[test]
fn faults_keep_their_written_names_in_the_history() {
    let samples = [
        ("kind = 'crash'", "Crash { host: None }"),
        ("kind = 'crash'\ncontroller = 2", "Crash { host: Some(2) }"),
        ("kind = 'roll'", "Roll"),
        ("kind = 'store_down'", "StoreDown"),
        ("kind = 'refused'\ncontroller = 1", "Cut(Store(1))"),
        (
            "kind = 'refused'\ncontroller = 1\ncarried = true",
            "Cut(Barred(1))",
        ),
        ("kind = 'cloud_down'", "CloudDown"),
        (
            "kind = 'cut_controllers'\ncontroller = 2\nother = 0",
            "Cut(Hosts(0, 2))",
        ),
        ("kind = 'silent'", "Silent"),
        ("kind = 'hang'", "Hang"),
        ("kind = 'faulty'", "Faulty"),
        ("kind = 'cut_zone'\nzone = 'b'", "CutZone { zone: \"b\" }"),
        (
            "kind = 'cut_workers'\ncontroller = 1\nzone = 'b'",
            "Cut(Zone(1, \"b\"))",
        ),
        ("kind = 'cut_workers'\ncontroller = 1", "Cut(Workers(1))"),
        ("kind = 'freeze'\ncontroller = 1", "Freeze { host: 1 }"),
        ("kind = 'die'", "Die"),
        ("kind = 'cut_cloud'\ncontroller = 1", "Cut(Cloud(1))"),
        (
            "kind = 'cut_one_way'\ncontroller = 1\nother = 0",
            "Cut(OneWay(1, 0))",
        ),
        ("kind = 'cut_users'\ncontroller = 1", "Cut(Users(1))"),
        (
            "kind = 'boots'\nfactor = 8\nzone = 'a'",
            "Boots { factor: 8.0, zone: Some(\"a\") }",
        ),
        ("kind = 'polls'\nfactor = 8", "Polls { factor: 8.0 }"),
        (
            "kind = 'deaf'\nonly = 'answers'\ncontroller = 1",
            "Deaf { zone: None, host: Some(1), answers: true, commands: false }",
        ),
        (
            "kind = 'deaf'\nonly = 'commands'\nzone = 'a'",
            "Deaf { zone: Some(\"a\"), host: None, answers: false, commands: true }",
        ),
        (
            "kind = 'deaf'",
            "Deaf { zone: None, host: None, answers: true, commands: true }",
        ),
        (
            "kind = 'late_copies'\nlow_s = 2\nhigh_s = 3.5",
            "LateCopies { seconds: Seconds { low: 2.0, high: 3.5 }, for_next: false }",
        ),
        (
            "kind = 'late_copies'\nfor_next = true",
            "LateCopies { seconds: Seconds { low: 0.0, high: 1.0 }, for_next: true }",
        ),
        ("kind = 'alone'\ncontroller = 1", "Alone { host: 1 }"),
        ("kind = 'reborn'", "Reborn"),
        ("kind = 'late_writes'", "LateWrites { at_once: false }"),
        (
            "kind = 'store_slow'\nlow_s = 1\nhigh_s = 2",
            "StoreSlow { seconds: Seconds { low: 1.0, high: 2.0 } }",
        ),
        (
            "kind = 'held_orders'\nlow_s = 1\nhigh_s = 2",
            "HeldOrders { seconds: Seconds { low: 1.0, high: 2.0 } }",
        ),
        (
            "kind = 'slow_links'\ncontroller = 1\nlow_s = 0.5\nhigh_s = 1",
            "SlowLinks { host: Some(1), seconds: Seconds { low: 0.5, high: 1.0 } }",
        ),
        (
            "kind = 'repeated'\nlow_s = 0.02\nhigh_s = 60",
            "Repeated { seconds: Seconds { low: 0.02, high: 60.0 } }",
        ),
        ("kind = 'mute'", "Mute { zone: None }"),
        ("kind = 'close_looks'", "CloseLooks"),
        ("kind = 'cancel_at_end'", "CancelAtEnd"),
        (
            "kind = 'cancel_now'\ncount = 4\nhang_s = 2",
            "CancelNow { count: 4, hang_s: 2.0 }",
        ),
        ("kind = 'odd_requests'", "OddRequests"),
        ("kind = 'state_limits'", "StateLimits"),
        ("kind = 'take_spot'", "TakeSpot { notice_s: 0.0 }"),
    ];
    for (table, written) in samples {
        assert_eq!(fault(table).kind.to_string(), written, "{table}");
    }
}
