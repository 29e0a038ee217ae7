//! This node's hold, and the parts that live with it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tracing::{info, warn};

use crate::Node;
use crate::state::{StateError, TxnResult};
use lemonweir_coordination::Lot;
use lemonweir_model::JobId;
use lemonweir_model::constants::*;
use lemonweir_protocol::state::{Condition, Txn, Write, from_value, to_value};
use lemonweir_storage::records::{
    ChunkRecord, ImagesRecord, NodeRecord, PartRecord, TeamRecord, images_prefix, node_key, parse_images_key, parse_run_key, part_key,
    run_prefix, team_key,
};

/// Keeps the hold alive and takes and gives up parts, for ever.
pub async fn keep(node: Rc<Node>) {
    let mut hold: Option<u64> = None;
    let mut empty_since: Vec<Option<u64>> = vec![None; node.core().config.members.len()];
    let mut renewed = 0;
    loop {
        if node.core().mirror.revision.is_none() {
            smol::Timer::after(Duration::from_millis(TICK_MS)).await;
            continue;
        }
        let now = node.now();
        let alive = match hold {
            None => begin(&node).await,
            Some(id) if now < renewed + HOLD_RENEW_MS => Ok(id),
            Some(id) => node.state.renew(id).await.map(|()| {
                renewed = now;
                id
            }),
        };
        match alive {
            Ok(id) => {
                if hold.is_none() {
                    renewed = now;
                }
                hold = Some(id);
                node.hold.set(id);
                teams(&node).await;
                if let Err(StateError::NoHold) = parts(&node, id, &mut empty_since).await {
                    hold = None;
                }
            }
            Err(StateError::NoHold) => {
                warn!("the hold has ended");
                hold = None;
                continue;
            }
            Err(_) => {}
        }
        smol::Timer::after(Duration::from_millis(if hold.is_some() { 2 * TICK_MS } else { 5 * TICK_MS })).await;
    }
}

/// Gets a hold and shows this node's presence with it.
async fn begin(node: &Node) -> Result<u64, StateError> {
    let hold = node.state.hold(HOLD_TTL_MS).await?;
    let record = NodeRecord { zone: node.settings.zone.clone() };
    let write = Write::Put { key: node_key(&node.settings.host_name), value: to_value(&record), hold: Some(hold) };
    node.state.txn(&Txn { conditions: Vec::new(), writes: vec![write] }).await?;
    info!(hold, "got a hold");
    Ok(hold)
}

/// Records the parts of teams that have none yet.
async fn teams(node: &Node) {
    let missing: Vec<(String, u16)> = {
        let core = node.core();
        core.config
            .teams
            .iter()
            .filter(|t| !core.mirror.teams.contains_key(*t))
            .map(|t| (t.clone(), core.config.default_part(t)))
            .take(core.config.txn_ops)
            .collect()
    };
    if missing.is_empty() {
        return;
    }
    let txn = Txn {
        conditions: missing.iter().map(|(t, _)| Condition { key: team_key(t), version: 0 }).collect(),
        writes: missing.iter().map(|(t, part)| Write::put(team_key(t), &TeamRecord { part: *part })).collect(),
    };
    // Another node may have been first; the mirror will show.
    let _ = node.state.txn(&txn).await;
    node.fresh().await;
}

/// Takes parts that are ours or ownerless, and hands back those whose home is
/// alive again.
async fn parts(node: &Rc<Node>, hold: u64, empty_since: &mut [Option<u64>]) -> Result<(), StateError> {
    let now = node.now();
    for index in 0..empty_since.len() as u16 {
        let (me, home, holder, held, home_alive, wait) = {
            let core = node.core();
            let member = &core.config.members[usize::from(index)];
            let me = core.config.members[usize::from(core.config.me)].host.clone();
            // Nodes with more parts wait longer, so that parts spread.
            let wait = TAKEOVER_WAIT_MS * (core.held().len() as u64).max(1);
            let held = core.held().into_iter().find(|l| l.part == index);
            (me, member.host.clone(), core.mirror.parts.get(&index).cloned(), held, core.mirror.nodes.contains_key(&member.host), wait)
        };
        let slot = &mut empty_since[usize::from(index)];
        match (&holder, held) {
            (None, None) => {
                let since = *slot.get_or_insert(now);
                let due = home == me || !home_alive && now >= since + wait;
                if due {
                    acquire(node, index, 0, hold).await?;
                }
            }
            // Left by an earlier process of this name, which is no more.
            (Some(h), None) if h.host == me => acquire(node, index, h.token, hold).await?,
            (Some(_), Some(lot)) if home != me && home_alive => {
                *slot = None;
                info!(part = index, home, "handing the part back");
                let txn = Txn {
                    conditions: vec![Condition { key: part_key(index), version: lot.token }],
                    writes: vec![Write::Delete { key: part_key(index) }],
                };
                node.state.txn(&txn).await?;
                node.core().abandon(index);
                node.fresh().await;
            }
            _ => *slot = None,
        }
    }
    Ok(())
}

/// Takes a part and loads its records.
async fn acquire(node: &Rc<Node>, index: u16, version: u64, hold: u64) -> Result<(), StateError> {
    let key = part_key(index);
    let record = PartRecord { host: node.settings.host_name.clone() };
    let txn = Txn {
        conditions: vec![Condition { key, version }],
        writes: vec![Write::Put { key: part_key(index), value: to_value(&record), hold: Some(hold) }],
    };
    let token = match node.state.txn(&txn).await? {
        TxnResult::Done(token) => token,
        TxnResult::Conflict(_) => {
            node.fresh().await;
            return Ok(());
        }
    };
    // From here on no earlier owner can write this part's records: all their
    // transactions demand their own token.
    let (entries, _) = node.state.list(&run_prefix(index)).await?;
    let mut chunks: Vec<(JobId, u32, ChunkRecord, u64)> = Vec::with_capacity(entries.len());
    for e in &entries {
        match (parse_run_key(&e.key), from_value::<ChunkRecord>(&e.value)) {
            (Some((job, chunk)), Some(record)) => chunks.push((job, chunk, record, e.version)),
            _ => tracing::error!(key = e.key, "task record not understood"),
        }
    }
    let (entries, _) = node.state.list(&images_prefix(index)).await?;
    let mut images: BTreeMap<usize, ImagesRecord> = BTreeMap::new();
    for e in &entries {
        match (parse_images_key(&e.key), from_value::<ImagesRecord>(&e.value)) {
            (Some(page), Some(record)) => drop(images.insert(page, record)),
            // Only a hint: a page that is not understood is written anew.
            _ => tracing::info!(key = e.key, "note of images not understood"),
        }
    }
    // The jobs must be at least as new as the records.
    while !node.fresh().await {
        smol::Timer::after(Duration::from_millis(TICK_MS)).await;
    }
    let now = node.now();
    let mut core = node.core();
    if core.mirror.parts.get(&index).is_some_and(|h| h.token == token) {
        core.adopt(Lot { part: index, token }, &chunks, images.into_values().collect(), now);
    }
    drop(core);
    node.poke();
    Ok(())
}
