//! Resource usage by team.

use std::collections::BTreeMap;

use lemonweir_model::Resources;

/// Total usage of some attempts of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TeamUsage {
    /// Number of attempts.
    pub(crate) attempts: usize,
    /// Resources that they use.
    pub(crate) used: Resources,
}

/// Sums up attempts by team. Each item is the team of an attempt and the resources it uses.
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
