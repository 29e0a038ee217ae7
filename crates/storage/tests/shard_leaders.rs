//! Reads of a shard's key and reports of its leader by peers, in every order, against the
//! history of the key.

use lemonweir_protocol::kv_store::{KeyValue, WatchEvent, to_value};
use lemonweir_storage::StateCache;
use lemonweir_storage::records::{ShardRecord, shard_key};
use lemonweir_storage::state_cache::ShardLeader;

/// Changes of the key of shard 0: the revision, and the host that acquired the shard or `None`
/// for a release.
const HISTORY: [(u64, Option<&str>); 6] = [
    (10, Some("h0")),
    (20, None),
    (22, Some("h1")),
    (30, None),
    (35, Some("h0")),
    (40, None),
];

/// The leader as of a revision.
fn leader_at(revision: u64) -> Option<ShardLeader> {
    let (token, host) = HISTORY.iter().rev().find(|(at, _)| *at <= revision)?;
    host.map(|host| ShardLeader {
        host: host.to_owned(),
        fencing_token: *token,
    })
}

/// Applies the changes after one revision up to another.
fn read_changes(cache: &mut StateCache, after: u64, until: u64) {
    let events: Vec<WatchEvent> = HISTORY
        .iter()
        .filter(|(at, _)| *at > after && *at <= until)
        .map(|(at, host)| WatchEvent {
            set: host.map(|_| shard_key(0)),
            drop: host.is_none().then(|| shard_key(0)),
            value: host.map(|host| to_value(&ShardRecord { host: host.into() })),
            version: *at,
        })
        .collect();
    cache.apply_changes(&events, until, 0);
}

/// Applies a listing whose page with the key is of revision `page`, and its first page of
/// `first`.
fn read_listing(cache: &mut StateCache, first: u64, page: u64) {
    let entry = leader_at(page).map(|leader| KeyValue {
        key: shard_key(0),
        value: to_value(&ShardRecord { host: leader.host }),
        version: leader.fencing_token,
    });
    cache.load_snapshot(entry.as_slice(), first);
}

/// How the cache reads up to the next revision.
#[derive(Clone, Copy, Debug)]
enum Read {
    Changes,
    /// A listing whose page with the key is newer than its first page by this many changes.
    Listing(usize),
}

/// Every sequence of reads: the index of the newest change of each, and its kind.
fn read_sequences() -> Vec<Vec<(usize, Read)>> {
    let mut sequences = vec![Vec::new()];
    for index in 0..HISTORY.len() {
        let mut extended = sequences.clone();
        for sequence in &sequences {
            for kind in [Read::Changes, Read::Listing(0), Read::Listing(1)] {
                let mut longer: Vec<(usize, Read)> = sequence.clone();
                longer.push((index, kind));
                extended.push(longer);
            }
        }
        sequences = extended;
    }
    sequences
}

/// A cache with what it has read and been told.
struct Observer {
    cache: StateCache,
    /// Revision up to which the cache has read all changes.
    read_until: u64,
    /// Revision of the page with the shard's key in the last listing.
    page: u64,
    /// The leader that a peer has reported.
    reported: Option<ShardLeader>,
}

impl Observer {
    fn new() -> Self {
        Self {
            cache: StateCache::default(),
            read_until: 0,
            page: 0,
            reported: None,
        }
    }

    fn report(&mut self, leader: ShardLeader) {
        self.cache.apply_leader_report(0, leader.clone());
        self.reported = Some(leader);
    }

    fn read(&mut self, index: usize, kind: Read) {
        let until = HISTORY[index].0.max(self.page);
        match kind {
            Read::Changes => read_changes(&mut self.cache, self.read_until, until),
            Read::Listing(ahead) => {
                let page = HISTORY.get(index + ahead).map_or(until, |(at, _)| *at);
                self.page = page.max(until);
                read_listing(&mut self.cache, until, self.page);
            }
        }
        self.read_until = until;
    }

    /// True if the cache shows the leader as of the newest revision that it knows of.
    fn shows_newest_leader(&self) -> bool {
        let newest_read = self.read_until.max(self.page);
        let newest = self
            .reported
            .clone()
            .filter(|leader| leader.fencing_token > newest_read)
            .or_else(|| leader_at(newest_read));
        let shown = self.cache.shard_leaders.get(&0);
        if self.page <= self.read_until {
            return shown == newest.as_ref();
        }
        // A page newer than its listing shows no release before it: the next read does.
        newest.is_none_or(|newest| {
            shown.is_some_and(|shown| shown.fencing_token >= newest.fencing_token)
        })
    }
}

/// Guards against a report that undoes what was read, and a read that undoes what was
/// reported, whatever the order in which they arrive.
#[test]
fn reports_and_reads_in_any_order_never_undo_newer_ones() {
    let acquisitions: Vec<ShardLeader> = HISTORY
        .iter()
        .filter(|(_, host)| host.is_some())
        .filter_map(|(at, _)| leader_at(*at))
        .collect();
    for reads in read_sequences() {
        for leader in &acquisitions {
            for report_before in 0..=reads.len() {
                let mut observer = Observer::new();
                for (step, (index, kind)) in reads.iter().enumerate() {
                    if step == report_before {
                        observer.report(leader.clone());
                    }
                    observer.read(*index, *kind);
                    assert!(
                        observer.shows_newest_leader(),
                        "{leader:?} reported before read {report_before} of {reads:?}: read {step} shows {:?}",
                        observer.cache.shard_leaders
                    );
                }
                if report_before == reads.len() {
                    observer.report(leader.clone());
                }
                assert!(
                    observer.shows_newest_leader(),
                    "{leader:?} reported before read {report_before} of {reads:?}: {:?} at the end",
                    observer.cache.shard_leaders
                );
            }
        }
    }
}
