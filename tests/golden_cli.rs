//! The command line: commands and flags, and their former names, which are still
//! accepted.

use std::path::PathBuf;
use std::process::{Command, Output};

/// An address on which nothing listens: a command whose arguments are accepted fails when it
/// connects.
const UNREACHABLE: &str = "127.0.0.1:9";
/// Exit code for invalid arguments.
const USAGE_ERROR: i32 = 2;

fn lemonweir(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lemonweir"))
        .args(args)
        .output()
        .expect("started")
}

fn file(path: &str) -> String {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join(path)
        .display()
        .to_string()
}

#[test]
fn every_command_and_flag_is_accepted() {
    let absent = file("tests/no-such-file");
    let lines: [&[&str]; 14] = [
        &["submit", "--node", UNREACHABLE, &absent],
        &["status", "--node", UNREACHABLE, "req-1"],
        &["withdraw", "--node", UNREACHABLE, "req-1"],
        &["links", "--node", UNREACHABLE],
        &["links", "--node", UNREACHABLE, "--json"],
        &["events", "--node", UNREACHABLE],
        &["events", "--node", UNREACHABLE, "--json"],
        &["watch", "--node", UNREACHABLE],
        &["watch", "--node", UNREACHABLE, "--json"],
        &["watch", "--node", UNREACHABLE, "--handovers", "--json"],
        &[
            "watch",
            "--node",
            UNREACHABLE,
            "--weights",
            "img-07",
            "--json",
        ],
        &["check", &absent],
        &["check", &absent, "--policy", &absent],
        &["--config", &absent, "--policy", &absent],
    ];
    for line in lines {
        let output = lemonweir(line);
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{line:?}: {text}");
        assert!(text.starts_with("lemonweir: "), "{line:?}: {text}");
    }
}

/// The help shows the main names only, not the former ones.
#[test]
fn main_names_are_accepted_and_shown() {
    let lines: [&[&str]; 5] = [
        &["cancel", "--node", UNREACHABLE, "req-1"],
        &["supervision", "--node", UNREACHABLE],
        &["supervision", "--node", UNREACHABLE, "--json"],
        &[
            "supervision",
            "--node",
            UNREACHABLE,
            "--failovers",
            "--json",
        ],
        &[
            "supervision",
            "--node",
            UNREACHABLE,
            "--image-locality",
            "img-07",
            "--json",
        ],
    ];
    for line in lines {
        let output = lemonweir(line);
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{line:?}: {text}");
        assert!(text.starts_with("lemonweir: "), "{line:?}: {text}");
    }
    for (line, shown, hidden) in [
        (
            &["--help"][..],
            &["  cancel ", "  supervision "][..],
            &["withdraw", "  watch "][..],
        ),
        (
            &["supervision", "--help"],
            &["--failovers", "--image-locality"],
            &["--handovers", "--weights"],
        ),
    ] {
        let output = lemonweir(line);
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{line:?}");
        for name in shown {
            assert!(text.contains(name), "{name} in {line:?}: {text}");
        }
        for name in hidden {
            assert!(!text.contains(name), "{name} in {line:?}: {text}");
        }
    }
}

#[test]
fn unknown_names_and_missing_values_are_rejected() {
    let lines: [&[&str]; 7] = [
        &["delete", "--node", UNREACHABLE, "req-1"],
        &["supervision", "--node", UNREACHABLE, "--image-locality"],
        &[
            "supervision",
            "--node",
            UNREACHABLE,
            "--image-locality",
            "img-07",
            "--failovers",
        ],
        &["status", "req-1"],
        &["links", "--node", UNREACHABLE, "--text"],
        &["watch", "--node", UNREACHABLE, "--weights"],
        &[
            "watch",
            "--node",
            UNREACHABLE,
            "--weights",
            "img-07",
            "--handovers",
        ],
    ];
    for line in lines {
        let output = lemonweir(line);
        assert_eq!(output.status.code(), Some(USAGE_ERROR), "{line:?}");
    }
}

#[test]
fn check_accepts_valid_settings_and_policy() {
    let settings = file("crates/model/tests/samples/golden/settings.json");
    let policy = file("crates/policy/src/policy.lua");
    let lines: [&[&str]; 3] = [
        &["check", &settings],
        &["check", &settings, "--policy", &policy],
        &["--policy", &policy, "check", &settings],
    ];
    for line in lines {
        let output = lemonweir(line);
        assert!(output.status.success(), "{line:?}");
        assert_eq!(
            String::from_utf8_lossy(&output.stdout),
            "settings and policy are fine\n"
        );
    }
}
