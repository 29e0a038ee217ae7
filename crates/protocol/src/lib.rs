//! What the counterparts say and hear, one module each. Wire names appear here
//! and in [`lemonweir_model::JobSpec`] only.

pub mod cloud;
pub mod image_locality;
pub mod kv_store;
pub mod links;
pub mod peer;
pub mod supervision;
pub mod users;
pub mod worker;

use borsh::BorshDeserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Why a message was not understood.
#[derive(Debug, thiserror::Error)]
#[error("not understood: {0}")]
pub struct Malformed(pub String);

/// Writes a message as MessagePack with text keys.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Writing our own types into memory can't fail; an empty body would be
    // refused by any receiver.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// Reads a MessagePack message that must fill the whole body.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Malformed> {
    let mut rest = body;
    let message = T::deserialize(&mut rmp_serde::Deserializer::new(&mut rest))
        .map_err(|e| Malformed(e.to_string()))?;
    if !rest.is_empty() {
        return Err(Malformed("trailing bytes".into()));
    }
    Ok(message)
}

/// Why a message between controllers was not understood.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// It holds nothing.
    #[error("empty")]
    Empty,
    /// Its first byte names a format that this version doesn't read.
    #[error("format {0}")]
    UnknownFormat(u8),
    /// What follows is no message of that format.
    #[error("{0}")]
    Malformed(#[from] std::io::Error),
}

/// Reads a message between controllers, whose first byte names its format.
fn decode_format<T: BorshDeserialize>(bytes: &[u8], format: u8) -> Result<T, DecodeError> {
    match bytes.first() {
        Some(&found) if found == format => Ok(borsh::from_slice(bytes)?),
        Some(&found) => Err(DecodeError::UnknownFormat(found)),
        None => Err(DecodeError::Empty),
    }
}
