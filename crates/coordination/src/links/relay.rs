//! Which workers' reports are carried to their owner, and when they are sent
//! there to report by themselves.
//!
//! A worker stays with its owner for as long as that answers. One that shows its
//! owner's own token and comes elsewhere comes because the owner did not answer
//! it, so its report is carried at once: no time of its lease is lost on a
//! second try. What tells that the way is open again is the owner's own word
//! that workers of the zone come to it, and a scout now and then makes sure that
//! one does as soon as it can.

use std::collections::{BTreeMap, HashMap};

use super::{MisroutedHeartbeat, MisroutedHeartbeatAction};
use lemonweir_model::MachineId;
use lemonweir_model::constants::*;

/// A worker whose reports are carried.
#[derive(Debug)]
struct RelayedRequest {
    /// It was sent to its owner when it was last here.
    tried: bool,
    /// When it last came from its owner in vain, ms.
    since: u64,
    /// For how long it is carried from then on, ms.
    carried_ms: u64,
    /// When it was last here, ms.
    seen: u64,
}

/// All that are carried.
#[derive(Debug, Default)]
pub(crate) struct RelayState {
    riders: HashMap<MachineId, RelayedRequest>,
    /// When the next worker of a part's zone is sent to look.
    scouts: BTreeMap<(u16, String), u64>,
    swept: u64,
}

impl RelayState {
    /// What to do with a worker that came, whose owner is in reach. `in_vain`: it
    /// can't reach that owner, whose token it shows or to whom it was sent a moment
    /// ago. `heard`: workers of its zone come to the owner by themselves, as that
    /// says.
    pub(crate) fn choose(
        &mut self,
        r: &MisroutedHeartbeat,
        in_vain: bool,
        heard: bool,
        now: u64,
    ) -> MisroutedHeartbeatAction {
        self.sweep(now);
        if !in_vain {
            self.riders.remove(r.machine);
            return MisroutedHeartbeatAction::Send;
        }
        let Some(rider) = self.riders.get_mut(r.machine) else {
            self.riders.insert(
                r.machine.clone(),
                RelayedRequest {
                    tried: false,
                    since: now,
                    carried_ms: CARRIED_MS,
                    seen: now,
                },
            );
            return MisroutedHeartbeatAction::Carry;
        };
        rider.seen = now;
        if std::mem::take(&mut rider.tried) {
            rider.since = now;
            rider.carried_ms = (2 * rider.carried_ms).min(CARRIED_MOST_MS);
            return MisroutedHeartbeatAction::Carry;
        }
        let scout = self
            .scouts
            .entry((r.shard, r.zone.to_owned()))
            .or_insert(now);
        if now < rider.since + rider.carried_ms || !heard && now < *scout {
            return MisroutedHeartbeatAction::Carry;
        }
        *scout = now + SCOUT_MS;
        rider.tried = true;
        MisroutedHeartbeatAction::Send
    }

    /// Number of workers carried of late.
    pub(crate) fn riders(&self, now: u64) -> usize {
        self.riders
            .values()
            .filter(|r| now < r.seen + CARRIED_MS)
            .count()
    }

    fn sweep(&mut self, now: u64) {
        if now < self.swept + CARRIED_MS {
            return;
        }
        self.swept = now;
        self.riders.retain(|_, r| now < r.seen + CARRIED_MOST_MS);
        self.scouts.retain(|_, at| now < *at + CARRIED_MOST_MS);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn come(
        c: &mut RelayState,
        machine: &str,
        in_vain: bool,
        heard: bool,
        now: u64,
    ) -> MisroutedHeartbeatAction {
        let machine = MachineId::from(machine);
        c.choose(
            &MisroutedHeartbeat {
                shard: 0,
                holder: 1,
                zone: "north",
                machine: &machine,
                again: false,
                knows: false,
            },
            in_vain,
            heard,
            now,
        )
    }

    #[test]
    fn who_comes_in_vain_is_carried_and_others_are_sent() {
        let mut c = RelayState::default();
        assert_eq!(
            come(&mut c, "n-1", false, true, 1_000),
            MisroutedHeartbeatAction::Send
        );
        assert_eq!(
            come(&mut c, "n-2", true, true, 1_000),
            MisroutedHeartbeatAction::Carry
        );
        for at in [4_000, 7_000, 10_500] {
            assert_eq!(
                come(&mut c, "n-2", true, true, at),
                MisroutedHeartbeatAction::Carry
            );
        }
        assert_eq!(c.riders(10_500), 1);
        assert_eq!(
            come(&mut c, "n-2", true, true, 13_000),
            MisroutedHeartbeatAction::Send
        );
    }

    #[test]
    fn behind_a_cut_only_scouts_are_sent_and_all_once_the_owner_hears_the_zone() {
        let mut c = RelayState::default();
        let names: Vec<String> = (0..20).map(|n| format!("n-{n}")).collect();
        let mut now = 1_000;
        let mut sent = 0;
        while now < 61_000 {
            for name in &names {
                sent += usize::from(
                    come(&mut c, name, true, false, now) == MisroutedHeartbeatAction::Send,
                );
            }
            now += 3_000;
        }
        // 20 reports of each, and one scout every 4 s.
        assert!((5..=15).contains(&sent), "{sent}");
        now += CARRIED_MOST_MS - 5_000;
        let mut back = 0;
        for step in 0..8 {
            back += names
                .iter()
                .filter(|n| {
                    come(&mut c, n, true, true, now + step * 5_000)
                        == MisroutedHeartbeatAction::Send
                })
                .count();
        }
        assert!(back >= names.len(), "{back}");
    }

    #[test]
    fn one_that_is_sent_in_vain_is_carried_for_longer_each_time() {
        let mut c = RelayState::default();
        let mut now = 1_000;
        let mut sent_at = Vec::new();
        // Its zone is heard, only this one can't get through.
        while sent_at.len() < 4 {
            match come(&mut c, "n-1", true, true, now) {
                MisroutedHeartbeatAction::Send => {
                    sent_at.push(now);
                    now += 5_000;
                }
                MisroutedHeartbeatAction::Carry => now += 2_000,
                MisroutedHeartbeatAction::Unable => panic!("its owner is in reach"),
            }
        }
        let gaps: Vec<u64> = sent_at.windows(2).map(|w| w[1] - w[0]).collect();
        assert!(gaps.windows(2).all(|g| g[1] > g[0]), "{gaps:?}");
    }
}
