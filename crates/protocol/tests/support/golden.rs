//! Golden samples: the bytes of each message or record as they were written once. The tests of
//! messages and those of records add the comparisons that they need.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;

/// One sample.
#[derive(Deserialize)]
pub struct Sample {
    /// The encoded bytes, as hex.
    pub bytes: String,
    /// The decoded value, as JSON.
    #[serde(default)]
    pub reads: serde_json::Value,
}

/// The samples of one file, and the names of those that were compared.
pub struct Golden {
    pub samples: BTreeMap<String, Sample>,
    compared: BTreeSet<String>,
}

impl Golden {
    pub fn parse(file: &str) -> Self {
        Self {
            samples: serde_json::from_str(file).expect("samples"),
            compared: BTreeSet::new(),
        }
    }

    /// Asserts that the encoded bytes equal the sample, and returns them.
    pub fn assert_encoded(&mut self, name: &str, encoded: &[u8]) -> Vec<u8> {
        let hex: String = encoded.iter().map(|b| format!("{b:02x}")).collect();
        let sample = self
            .samples
            .get(name)
            .unwrap_or_else(|| panic!("no sample {name}"));
        assert_eq!(hex, sample.bytes, "{name} encodes to its sample");
        assert!(
            self.compared.insert(name.to_owned()),
            "{name} is compared once"
        );
        encoded.to_vec()
    }

    /// Asserts that every sample was compared.
    pub fn assert_all_compared(&self) {
        let names: BTreeSet<String> = self.samples.keys().cloned().collect();
        assert_eq!(self.compared, names, "every sample is compared");
    }
}
