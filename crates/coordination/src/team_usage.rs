//! What the attempts of a team use.

use std::collections::BTreeMap;

use lemonweir_model::Resources;

/// What some attempts of a team use together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TeamUsage {
    /// How many they are.
    pub(crate) attempts: usize,
    /// What they take.
    pub(crate) used: Resources,
}

/// Adds up attempts: each one's team, and what it takes.
pub(crate) fn usage_by_team<'a>(
    attempts: impl Iterator<Item = (&'a str, Resources)>,
) -> BTreeMap<String, TeamUsage> {
    let mut teams: BTreeMap<String, TeamUsage> = BTreeMap::new();
    for (team, need) in attempts {
        let usage = match teams.get_mut(team) {
            Some(usage) => usage,
            None => teams.entry(team.to_owned()).or_default(),
        };
        usage.attempts += 1;
        usage.used = usage.used.plus(&need);
    }
    teams
}
