//! Messages exchanged with users, workers, the cloud, the store and other controllers.
//!
//! Only this crate and [`lemonweir_model::JobSpec`] contain names used on the wire.

pub mod cloud;
pub mod image_locality;
pub mod kv_store;
pub mod last_progress;
pub mod links;
mod packing;
pub mod peer;
pub mod progress;
pub mod supervision;
pub mod users;
pub mod worker;

use borsh::BorshDeserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A message that can't be decoded or is invalid, with the reason.
#[derive(Debug, thiserror::Error)]
#[error("not understood: {0}")]
pub struct Malformed(pub String);

/// Encodes a message as MessagePack maps with field names as keys.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Encoding our own types into memory can't fail; receivers reject an empty body.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// Decodes a MessagePack message that must fill the whole body.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Malformed> {
    let mut rest = body;
    let message = T::deserialize(&mut rmp_serde::Deserializer::new(&mut rest))
        .map_err(|e| Malformed(e.to_string()))?;
    if !rest.is_empty() {
        return Err(Malformed("trailing bytes".into()));
    }
    Ok(message)
}

/// Why a message between controllers can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The message is empty.
    #[error("empty message")]
    Empty,
    /// The first byte names a format version that this version doesn't read.
    #[error("unknown message format {0}")]
    UnknownFormat(u8),
    /// The rest isn't a message of that format.
    #[error("{0}")]
    Malformed(#[from] std::io::Error),
}

/// Decodes a message between controllers, whose first byte is its format version.
fn decode_format<T: BorshDeserialize>(bytes: &[u8], format: u8) -> Result<T, DecodeError> {
    match bytes.first() {
        Some(&found) if found == format => Ok(borsh::from_slice(bytes)?),
        Some(&found) => Err(DecodeError::UnknownFormat(found)),
        None => Err(DecodeError::Empty),
    }
}
