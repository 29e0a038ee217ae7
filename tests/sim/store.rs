//! A stand-in for the state service: versions, conditions, changes.

use std::collections::BTreeMap;

use lemonweir_protocol::state::{Change, Entry, Txn, Write};
use lemonweir_storage::Mirror;
use rmpv::Value;

#[derive(Default)]
pub struct Store {
    pub revision: u64,
    keys: BTreeMap<String, (Value, u64)>,
    log: Vec<Change>,
}

pub enum TxnAnswer {
    Done(u64),
    Conflict(Vec<String>),
}

impl Store {
    pub fn get(&self, key: &str) -> Option<(Value, u64)> {
        self.keys.get(key).cloned()
    }

    pub fn list(&self, prefix: &str) -> Vec<(String, Value, u64)> {
        self.keys.iter().filter(|(k, _)| k.starts_with(prefix)).map(|(k, (v, s))| (k.clone(), v.clone(), *s)).collect()
    }

    pub fn put(&mut self, key: &str, value: Value) -> u64 {
        self.revision += 1;
        self.set(key, value);
        self.revision
    }

    fn set(&mut self, key: &str, value: Value) {
        self.keys.insert(key.to_owned(), (value.clone(), self.revision));
        self.log.push(Change { set: Some(key.to_owned()), drop: None, value: Some(value), version: self.revision });
    }

    pub fn txn(&mut self, txn: &Txn) -> TxnAnswer {
        let failed: Vec<String> =
            txn.conditions.iter().filter(|c| self.keys.get(&c.key).map_or(0, |k| k.1) != c.version).map(|c| c.key.clone()).collect();
        if !failed.is_empty() {
            return TxnAnswer::Conflict(failed);
        }
        self.revision += 1;
        for w in &txn.writes {
            match w {
                Write::Put { key, value, .. } => self.set(key, value.clone()),
                Write::Delete { key } => {
                    self.keys.remove(key);
                    self.log.push(Change { set: None, drop: Some(key.clone()), value: None, version: self.revision });
                }
            }
        }
        TxnAnswer::Done(self.revision)
    }

    /// Brings a mirror up to date, as a node's reading of changes does.
    pub fn follow(&self, mirror: &mut Mirror) -> bool {
        match mirror.revision {
            None => {
                let entries: Vec<Entry> = self.list("w/").into_iter().map(|(key, value, version)| Entry { key, value, version }).collect();
                mirror.replace(&entries, self.revision);
                true
            }
            Some(after) => {
                let key = |c: &Change| c.set.clone().or(c.drop.clone()).unwrap_or_default();
                let changes: Vec<Change> = self.log.iter().filter(|c| c.version > after && key(c).starts_with("w/")).cloned().collect();
                mirror.apply(&changes, self.revision);
                !changes.is_empty()
            }
        }
    }
}
