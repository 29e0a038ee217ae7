//! The store.

use rmpv::Value;
use serde::{Deserialize, Serialize};

/// An entry of the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KeyValue {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value.
    #[serde(rename = "data")]
    pub value: Value,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of entries.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListResponse {
    /// The entries.
    pub entries: Vec<KeyValue>,
    /// True if more follow.
    #[serde(rename = "truncated", default)]
    pub truncated: bool,
    /// Revision of the store.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Condition {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// The version that it must have; 0: it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key.
    Put {
        /// Key.
        #[serde(rename = "set")]
        key: String,
        /// Value.
        #[serde(rename = "data")]
        value: Value,
        /// The store lease that the key lives with.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Write {
    /// Sets a key that lives until it is removed.
    pub fn put<T: Serialize>(key: String, value: &T) -> Self {
        Write::Put {
            key,
            value: to_value(value),
            lease: None,
        }
    }
}

/// A transaction.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Default)]
pub struct CompareAndSwap {
    /// All must hold.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// All are made, or none.
    pub writes: Vec<Write>,
}

/// The answer to a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompareAndSwapResponse {
    /// Keys whose conditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision of the store.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
}

/// Asks for a store lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live, ms.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}

/// A store lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Its id.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// Changes since a revision.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchResponse {
    /// Revision of the store.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes in order.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// One change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchEvent {
    /// Key that was set.
    #[serde(default)]
    pub set: Option<String>,
    /// Key that was removed.
    #[serde(default)]
    pub drop: Option<String>,
    /// Value, with `set`.
    #[serde(rename = "data", default)]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "stamp", default)]
    pub version: u64,
}

/// Turns a record into a stored value.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    // Records are written as maps with names, as the bodies are.
    let bytes = rmp_serde::to_vec_named(record).unwrap_or_default();
    rmpv::decode::read_value(&mut bytes.as_slice()).unwrap_or(Value::Nil)
}

/// Reads a record from a stored value.
pub fn from_value<T: serde::de::DeserializeOwned>(value: &Value) -> Option<T> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}
