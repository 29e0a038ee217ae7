//! Job records whose specification is too large to be written anew with every change.
//!
//! | key | value | lifetime |
//! | --- | --- | --- |
//! | `w/spec/<id>/<digest>/<n>` | [`SpecPage`] | until the job has ended; deleted later |
//!
//! What a user asked for never changes, but whether the job is released and whether its
//! cancellation is requested do. A record of at most [`MAX_WHOLE_RECORD_BYTES`] holds both and is
//! written whole. The specification of a larger one is stored once, in pages, and the record
//! names them, so that each of its later changes fits the lowest limits that the store may have.
//!
//! The pages are written before the record that names them. Their keys hold a digest of the
//! specification: a page that is written again, late, or by another controller holds the same.
//! A whole record that is too large, as an earlier version wrote it, gets its pages with its
//! next change.

use std::collections::BTreeMap;

use base64::prelude::{BASE64_STANDARD, Engine};
use serde::{Deserialize, Serialize};

use crate::records::JobRecord;
use lemonweir_model::constants::{MAX_CAS_BYTES, PAGED_SPEC_VERSION};
use lemonweir_model::{JobId, JobSpec};
use lemonweir_protocol::kv_store::{CompareAndSwap, Write, from_value, to_value, value_size};

/// Maximum size of a record that is written whole, bytes: three quarters of the lowest value
/// limit, which leaves enough space for fields that a later version adds.
pub const MAX_WHOLE_RECORD_BYTES: usize = 1_536;
/// Characters of a specification in one page: a page stays below the lowest value limit.
const SPEC_PAGE_CHARS: usize = 1_600;
/// Size of a page besides its characters, bytes.
const SPEC_PAGE_OVERHEAD_BYTES: usize = 64;

/// One page of an encoded specification. Values can't hold binary data, so the bytes are encoded
/// as base64.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct SpecPage {
    /// The characters of this page.
    #[serde(rename = "b")]
    pub text: String,
}

/// Names the pages that hold a specification.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct SpecPages {
    /// Number of pages, numbered from 0.
    #[serde(rename = "n")]
    pub count: usize,
    /// Digest of the specification, which is part of the keys of its pages.
    #[serde(rename = "digest")]
    pub digest: String,
}

/// A job's record whose specification is in pages; the other fields are those of [`JobRecord`].
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct PagedJobRecord {
    /// The pages with the specification, but for its dependencies.
    #[serde(rename = "pages")]
    pub spec_pages: SpecPages,
    /// Wall-clock time of the submission, ms since the Unix epoch.
    #[serde(rename = "at")]
    pub submitted_at_ms: u64,
    /// The user asked to cancel the job.
    #[serde(rename = "withdrawn", default)]
    pub cancel_requested: bool,
    /// Number of jobs that it depends on.
    #[serde(rename = "awaited", default)]
    pub dependency_count: usize,
    /// The first page of its dependencies.
    #[serde(rename = "awaits", default)]
    pub depends_on: Vec<JobId>,
}

/// A job's record as stored.
#[derive(Clone, Debug)]
pub enum StoredJobRecord {
    /// With its specification.
    Whole(JobRecord),
    /// With its specification in pages.
    Paged(PagedJobRecord),
}

impl StoredJobRecord {
    /// Decodes a stored record; `None` if it is in neither form.
    pub fn read(value: &rmpv::Value) -> Option<Self> {
        match from_value(value) {
            Some(record) => Some(Self::Whole(record)),
            None => from_value(value).map(Self::Paged),
        }
    }

    /// True if the user asked to cancel the job.
    pub fn cancel_requested(&self) -> bool {
        match self {
            Self::Whole(record) => record.cancel_requested,
            Self::Paged(record) => record.cancel_requested,
        }
    }

    /// Wall-clock time of the submission, ms since the Unix epoch.
    pub fn submitted_at_ms(&self) -> u64 {
        match self {
            Self::Whole(record) => record.submitted_at_ms,
            Self::Paged(record) => record.submitted_at_ms,
        }
    }
}

/// Identifies a page: its job, the digest of the specification and the number of the page.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SpecPageId {
    /// Job that the specification belongs to.
    pub job: JobId,
    /// Digest of the specification.
    pub digest: String,
    /// Number of the page, from 0.
    pub page: usize,
}

impl SpecPageId {
    /// Key of the page.
    pub fn key(&self) -> String {
        format!("w/spec/{}/{}/{}", self.job, self.digest, self.page)
    }

    /// Parses the part of a key after `w/spec/`.
    pub fn parse(rest: &str) -> Option<Self> {
        let mut segments = rest.split('/');
        let id = Self {
            job: JobId::parse(segments.next()?)?,
            digest: segments.next()?.to_owned(),
            page: segments.next()?.parse().ok()?,
        };
        segments.next().is_none().then_some(id)
    }
}

/// Pages of specifications, as cached.
pub type CachedSpecPages = BTreeMap<SpecPageId, String>;

/// A specification, encoded and split into pages.
struct EncodedSpec {
    job: JobId,
    digest: String,
    text: String,
}

impl EncodedSpec {
    fn new(spec: &JobSpec) -> Self {
        let without_dependencies = JobSpec {
            depends_on: Vec::new(),
            ..spec.clone()
        };
        let mut bytes = Vec::new();
        // Writing to a `Vec` can't fail.
        let _ = rmpv::encode::write_value(&mut bytes, &to_value(&without_dependencies));
        Self {
            job: spec.id.clone(),
            digest: format!("{:016x}", fnv1a(&bytes)),
            text: BASE64_STANDARD.encode(&bytes),
        }
    }

    /// The texts of the pages, in order. Base64 is ASCII, so each split is between characters.
    fn pages(&self) -> impl Iterator<Item = &str> {
        (0..self.text.len())
            .step_by(SPEC_PAGE_CHARS)
            .map(|start| &self.text[start..(start + SPEC_PAGE_CHARS).min(self.text.len())])
    }

    fn spec_pages(&self) -> SpecPages {
        SpecPages {
            count: self.text.len().div_ceil(SPEC_PAGE_CHARS),
            digest: self.digest.clone(),
        }
    }

    /// Writes of the pages that are not stored yet.
    fn missing_pages(&self, stored: &CachedSpecPages) -> Vec<Write> {
        let id = |page: usize| SpecPageId {
            job: self.job.clone(),
            digest: self.digest.clone(),
            page,
        };
        let write = |(page, text): (usize, &str)| {
            let id = id(page);
            let page = SpecPage {
                text: text.to_owned(),
            };
            (!stored.contains_key(&id)).then(|| Write::put(id.key(), &page))
        };
        self.pages().enumerate().filter_map(write).collect()
    }
}

/// 64-bit FNV-1a hash: stable over versions, as stored keys require.
fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Assembles a job's record from its paged form; `None` if a page is missing or malformed.
pub(crate) fn assemble(
    id: &JobId,
    paged: &PagedJobRecord,
    pages: &CachedSpecPages,
) -> Option<JobRecord> {
    let page = |page| {
        pages.get(&SpecPageId {
            job: id.clone(),
            digest: paged.spec_pages.digest.clone(),
            page,
        })
    };
    let texts: Option<Vec<&str>> = (0..paged.spec_pages.count)
        .map(|number| page(number).map(String::as_str))
        .collect();
    let bytes = BASE64_STANDARD.decode(texts?.concat()).ok()?;
    let spec: JobSpec = from_value(&rmpv::decode::read_value(&mut bytes.as_slice()).ok()?)?;
    Some(JobRecord {
        spec: JobSpec {
            depends_on: paged.depends_on.clone(),
            ..spec
        },
        submitted_at_ms: paged.submitted_at_ms,
        cancel_requested: paged.cancel_requested,
        dependency_count: paged.dependency_count,
    })
}

/// How job records are written: the form that all controllers read, within the store's limits.
#[derive(Clone, Copy, Debug)]
pub struct JobRecordWriter<'a> {
    /// Version of the records in the store.
    pub record_version: u32,
    /// Maximum number of writes in a compare-and-swap.
    pub max_cas_ops: usize,
    /// Pages that are stored already.
    pub stored_pages: &'a CachedSpecPages,
}

impl JobRecordWriter<'_> {
    /// The compare-and-swaps, to be executed in this order, that make the same change as `cas`
    /// with every value within the lowest limits: `cas` itself if the job record that it writes
    /// is small enough, else its missing pages, and then the record that names them.
    ///
    /// All have the conditions of `cas`: a page is never written for a job that has ended.
    pub fn fit(&self, cas: CompareAndSwap) -> Vec<CompareAndSwap> {
        if self.record_version < PAGED_SPEC_VERSION {
            return vec![cas];
        }
        let mut cas_list = Vec::new();
        let mut last = CompareAndSwap {
            conditions: cas.conditions,
            writes: Vec::new(),
        };
        for write in cas.writes {
            let Some(record) = large_job_record(&write) else {
                last.writes.push(write);
                continue;
            };
            let encoded = EncodedSpec::new(&record.spec);
            let missing = encoded.missing_pages(self.stored_pages);
            cas_list.extend(
                missing
                    .chunks(self.pages_per_cas())
                    .map(|pages| CompareAndSwap {
                        conditions: last.conditions.clone(),
                        writes: pages.to_vec(),
                    }),
            );
            last.writes
                .push(write_paged(write, record, encoded.spec_pages()));
        }
        cas_list.push(last);
        cas_list
    }

    fn pages_per_cas(&self) -> usize {
        let by_bytes = MAX_CAS_BYTES / (SPEC_PAGE_CHARS + SPEC_PAGE_OVERHEAD_BYTES);
        self.max_cas_ops.clamp(1, by_bytes)
    }
}

/// The job record that a write puts, if it is too large to be written whole.
fn large_job_record(write: &Write) -> Option<JobRecord> {
    match write {
        Write::Put { value, .. } if value_size(value) > MAX_WHOLE_RECORD_BYTES => from_value(value),
        _ => None,
    }
}

/// The same write with the record in its paged form.
fn write_paged(write: Write, record: JobRecord, spec_pages: SpecPages) -> Write {
    let paged = PagedJobRecord {
        spec_pages,
        submitted_at_ms: record.submitted_at_ms,
        cancel_requested: record.cancel_requested,
        dependency_count: record.dependency_count,
        depends_on: record.spec.depends_on,
    };
    match write {
        Write::Put { key, lease, .. } => Write::Put {
            key,
            value: to_value(&paged),
            lease,
        },
        delete @ Write::Delete { .. } => delete,
    }
}
