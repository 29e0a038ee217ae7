//! Messages of the store API: listings, transactions, leases and watches.

use rmpv::Value;
use serde::{Deserialize, Serialize};

/// A key of the store with its value.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KeyValue {
    /// Full key, including the prefix that was listed.
    #[serde(rename = "path")]
    pub key: String,
    /// Stored value; [`from_value`] converts it into a record.
    #[serde(rename = "data")]
    pub value: Value,
    /// Revision of the key's last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of a listing.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListResponse {
    /// Keys and values on this page.
    pub entries: Vec<KeyValue>,
    /// True if more pages follow.
    #[serde(rename = "truncated", default)]
    pub truncated: bool,
    /// Revision of the store at which the page was read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Condition {
    /// Key whose version is compared.
    #[serde(rename = "path")]
    pub key: String,
    /// Version that the key must have; 0: it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key.
    Put {
        /// Key to create or overwrite.
        #[serde(rename = "set")]
        key: String,
        /// New value; [`to_value`] converts a record into it.
        #[serde(rename = "data")]
        value: Value,
        /// Store lease that the key is bound to; it is deleted when the lease expires.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Write {
    /// Creates a write that sets a key without binding it to a lease.
    pub fn put<T: Serialize>(key: String, value: &T) -> Self {
        Write::Put {
            key,
            value: to_value(value),
            lease: None,
        }
    }

    /// The key that it sets or deletes.
    pub fn key(&self) -> &str {
        match self {
            Write::Put { key, .. } | Write::Delete { key } => key,
        }
    }
}

/// A transaction: all of its writes are made if all of its conditions hold, else none.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Default)]
pub struct CompareAndSwap {
    /// Conditions that must all hold.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// Writes that are made atomically.
    pub writes: Vec<Write>,
}

/// The response to a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompareAndSwapResponse {
    /// Keys whose conditions failed; empty if the writes were made.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision of the store after the transaction; 0 if absent.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
}

/// Requests a store lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live, ms.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}

/// The response to a lease request.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Id of the store lease.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// The changes since a revision.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchResponse {
    /// Revision of the store that the changes lead to.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Changes in the order of their revisions.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// A change of one key, which either `set` or `drop` names.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchEvent {
    /// Key that was set.
    #[serde(default)]
    pub set: Option<String>,
    /// Key that was deleted.
    #[serde(default)]
    pub drop: Option<String>,
    /// New value of the key in `set`; `None` for a deletion.
    #[serde(rename = "data", default)]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "stamp", default)]
    pub version: u64,
}

/// Converts a record into a stored value.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    // Records are encoded as maps with field names, like the bodies of requests.
    let bytes = rmp_serde::to_vec_named(record).unwrap_or_default();
    rmpv::decode::read_value(&mut bytes.as_slice()).unwrap_or(Value::Nil)
}

/// Converts a stored value into a record; `None` if it is malformed.
pub fn from_value<T: serde::de::DeserializeOwned>(value: &Value) -> Option<T> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}

/// Size of a value as the store's limits count it: as JSON without spaces, bytes. Characters
/// outside of ASCII count as escaped, which is the longer of their two forms.
pub fn value_size(value: &Value) -> usize {
    let list_size =
        |items: &[usize]| 2 + items.iter().sum::<usize>() + items.len().saturating_sub(1);
    match value {
        Value::Nil => 4,
        Value::Boolean(true) => 4,
        Value::Boolean(false) => 5,
        Value::Integer(number) => number.to_string().len(),
        Value::F32(number) => format!("{number:?}").len(),
        Value::F64(number) => format!("{number:?}").len(),
        Value::String(text) => text.as_str().map_or(0, text_size),
        Value::Array(items) => {
            let sizes: Vec<usize> = items.iter().map(value_size).collect();
            list_size(&sizes)
        }
        Value::Map(entries) => {
            let sizes: Vec<usize> = entries
                .iter()
                .map(|(key, value)| value_size(key) + ":".len() + value_size(value))
                .collect();
            list_size(&sizes)
        }
        // Records hold neither.
        Value::Binary(_) | Value::Ext(..) => 0,
    }
}

/// Size of a text in a value with its quotes, bytes; see [`value_size`].
pub fn text_size(text: &str) -> usize {
    const UNICODE_ESCAPE_BYTES: usize = "\\u0000".len();
    let character_size = |character: char| match character {
        '"' | '\\' | '\n' | '\r' | '\t' | '\u{8}' | '\u{c}' => 2,
        ' '..='~' => 1,
        _ => UNICODE_ESCAPE_BYTES * character.len_utf16(),
    };
    let is_plain = |byte: u8| (b' '..=b'~').contains(&byte) && byte != b'"' && byte != b'\\';
    if text.bytes().all(is_plain) {
        return 2 + text.len();
    }
    2 + text.chars().map(character_size).sum::<usize>()
}

impl CompareAndSwap {
    /// Size of the largest value that it writes, bytes; see [`value_size`].
    pub fn largest_value_size(&self) -> usize {
        self.value_sizes().max().unwrap_or(0)
    }

    /// Size of all values that it writes, bytes; see [`value_size`].
    pub fn total_value_size(&self) -> usize {
        self.value_sizes().sum()
    }

    fn value_sizes(&self) -> impl Iterator<Item = usize> + '_ {
        self.writes.iter().map(|write| match write {
            Write::Put { value, .. } => value_size(value),
            Write::Delete { .. } => 0,
        })
    }
}
