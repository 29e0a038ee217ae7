//! The command line: commands and flags, and the names that they had before, which stay
//! understood.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Nobody listens there, so a command that is understood fails at its call.
const NOBODY: &str = "127.0.0.1:9";
/// What a command line that is not understood exits with.
const NOT_UNDERSTOOD: i32 = 2;

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
fn every_command_and_flag_is_understood() {
    let absent = file("tests/no-such-file");
    let lines: [&[&str]; 14] = [
        &["submit", "--node", NOBODY, &absent],
        &["status", "--node", NOBODY, "req-1"],
        &["withdraw", "--node", NOBODY, "req-1"],
        &["links", "--node", NOBODY],
        &["links", "--node", NOBODY, "--json"],
        &["events", "--node", NOBODY],
        &["events", "--node", NOBODY, "--json"],
        &["watch", "--node", NOBODY],
        &["watch", "--node", NOBODY, "--json"],
        &["watch", "--node", NOBODY, "--handovers", "--json"],
        &["watch", "--node", NOBODY, "--weights", "img-07", "--json"],
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

/// The names in the field's terms: the main ones, which the help shows.
#[test]
fn every_main_name_is_understood_and_shown() {
    let lines: [&[&str]; 5] = [
        &["cancel", "--node", NOBODY, "req-1"],
        &["supervision", "--node", NOBODY],
        &["supervision", "--node", NOBODY, "--json"],
        &["supervision", "--node", NOBODY, "--failovers", "--json"],
        &[
            "supervision",
            "--node",
            NOBODY,
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
fn another_name_or_a_missing_value_is_not_understood() {
    let lines: [&[&str]; 7] = [
        &["delete", "--node", NOBODY, "req-1"],
        &["supervision", "--node", NOBODY, "--image-locality"],
        &[
            "supervision",
            "--node",
            NOBODY,
            "--image-locality",
            "img-07",
            "--failovers",
        ],
        &["status", "req-1"],
        &["links", "--node", NOBODY, "--text"],
        &["watch", "--node", NOBODY, "--weights"],
        &[
            "watch",
            "--node",
            NOBODY,
            "--weights",
            "img-07",
            "--handovers",
        ],
    ];
    for line in lines {
        let output = lemonweir(line);
        assert_eq!(output.status.code(), Some(NOT_UNDERSTOOD), "{line:?}");
    }
}

#[test]
fn a_settings_file_and_the_embedded_policy_are_checked() {
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
