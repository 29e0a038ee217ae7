//! Deterministic discrete-event simulator. It runs the real scheduling core of lemonweir
//! against simulated machines, users, network, key-value store and cloud, which are written
//! from the protocol page. `docs/simulator.md` describes what is modelled, what is left out
//! and how far the figures can be trusted.

pub mod baseline;
pub mod clock;
pub mod cloud;
pub mod controller;
pub mod fault_search;
pub mod fixtures;
pub mod histograms;
pub mod history;
pub mod invariants;
pub mod job;
pub mod load_generator;
pub mod metrics;
pub mod output;
pub mod plots;
pub mod report;
pub mod run;
pub mod run_report;
pub mod scenario;
pub mod simulation;
pub mod store;
pub mod sweep;
pub mod toml_section;
pub mod trace_commands;
pub mod worker;
pub mod workload_replay;
pub mod workload_state;
