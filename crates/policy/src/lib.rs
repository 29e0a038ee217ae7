//! Operators' own settings: a Lua script, evaluated once at start.
//!
//! The script returns a table. It has no access to files, processes or other
//! modules, and is bounded in time and memory. Unknown names and values out of
//! range are faults.

use std::time::{Duration, Instant};

use lemonweir_model::constants::{MAX_RISK_WEIGHT, MAX_STORE_OUTAGE_GRACE_MS};
use lemonweir_model::policy::{Policy, ServicePlacementWeights};
use mlua::{HookTriggers, Lua, LuaOptions, StdLib, Table, Value, VmState};

/// s that a weight of the trade may have at most: beyond an hour it decides alone.
const MAX_WEIGHT_S: f64 = 3_600.0;

/// Lua instructions between two looks at the clock.
const POLICY_LOOK_INSTRUCTIONS: u32 = 10_000;

/// ms that a policy script may take.
const POLICY_TIME_MS: u64 = 500;

/// Bytes of memory that a policy script may use; it computes a few numbers.
const POLICY_MEMORY_BYTES: usize = 4 * 1024 * 1024;

/// The embedded default, which names every setting with its unit.
pub const DEFAULT_POLICY: &str = include_str!("policy.lua");

/// The embedded default.
pub fn embedded() -> Result<Policy, Vec<String>> {
    evaluate(DEFAULT_POLICY)
}

/// Evaluates a script.
pub fn evaluate(script: &str) -> Result<Policy, Vec<String>> {
    let one = |e: mlua::Error| {
        vec![format!(
            "policy: {}",
            e.to_string().lines().next().unwrap_or_default()
        )]
    };
    let lua = Lua::new_with(
        StdLib::MATH | StdLib::STRING | StdLib::TABLE,
        LuaOptions::default(),
    )
    .map_err(one)?;
    lua.set_memory_limit(POLICY_MEMORY_BYTES).map_err(one)?;
    // The base library is always there; these reach files or code.
    for name in [
        "dofile",
        "loadfile",
        "load",
        "require",
        "collectgarbage",
        "print",
    ] {
        lua.globals().set(name, Value::Nil).map_err(one)?;
    }
    let deadline = Instant::now() + Duration::from_millis(POLICY_TIME_MS);
    lua.set_hook(
        HookTriggers::new().every_nth_instruction(POLICY_LOOK_INSTRUCTIONS),
        move |_, _| {
            if Instant::now() > deadline {
                Err(mlua::Error::runtime("takes too long"))
            } else {
                Ok(VmState::Continue)
            }
        },
    )
    .map_err(one)?;
    let table: Table = lua.load(script).set_name("policy").eval().map_err(one)?;
    read(&table)
}

fn read(table: &Table) -> Result<Policy, Vec<String>> {
    let mut faults = Vec::new();
    let names = [
        "idle",
        "idle_spot",
        "silent_s",
        "boot_patience",
        "blind_s",
        "spare",
        "risk_machine",
        "risk_zone",
        "risk_one_zone",
        "pin_s",
        "move_s",
    ];
    for pair in table.pairs::<Value, Value>() {
        match pair {
            Ok((Value::String(key), _)) if names.iter().any(|n| key.as_bytes() == n.as_bytes()) => {
            }
            Ok((key, _)) => faults.push(format!(
                "policy: unknown name {}",
                key.to_string().unwrap_or_default()
            )),
            Err(error) => faults.push(format!("policy: {error}")),
        }
    }
    let mut number = |name: &str, low: f64, high: f64| match table.get::<Value>(name) {
        Ok(Value::Number(x)) if (low..=high).contains(&x) => x,
        Ok(Value::Integer(x)) if (low..=high).contains(&(x as f64)) => x as f64,
        _ => {
            faults.push(format!(
                "policy: {name} must be a number from {low} to {high}"
            ));
            low
        }
    };
    let policy = Policy {
        on_demand_idle_multiple: number("idle", 0.0, 1_000.0),
        spot_idle_multiple: number("idle_spot", 0.0, 1_000.0),
        spot_silence_timeout_ms: (number("silent_s", 1.0, 3_600.0) * 1000.0) as u64,
        provisioning_timeout_multiple: number("boot_patience", 1.5, 100.0),
        store_outage_grace_ms: (number("blind_s", 0.0, MAX_STORE_OUTAGE_GRACE_MS as f64 / 1000.0)
            * 1000.0) as u64,
        headroom_per_arrival: number("spare", 0.0, 10.0),
        placement_weights: ServicePlacementWeights {
            machine_loss: number("risk_machine", 0.0, MAX_RISK_WEIGHT),
            zone_loss: number("risk_zone", 0.0, MAX_RISK_WEIGHT),
            single_zone: number("risk_one_zone", 0.0, MAX_RISK_WEIGHT),
            machine_pin_cost_s: number("pin_s", 0.0, MAX_WEIGHT_S),
            min_migration_gain_s: number("move_s", 0.0, MAX_WEIGHT_S),
        },
    };
    if faults.is_empty() {
        Ok(policy)
    } else {
        Err(faults)
    }
}
