//! Records of jobs that wait for their dependencies.
//!
//! | key | value | lifetime |
//! | --- | --- | --- |
//! | `w/chain/<id>` | [`JobRecord`], first page of `awaits` | until unblocked or cancelled |
//! | `w/chain/<id>/<n>` | [`DependencyPage`] | as above; deleted later |
//!
//! A blocked job has no key under `w/job/`, so no placer places it, and a version without
//! support for dependencies neither starts, ends nor rewrites it. Once the end record of
//! every dependency says done, one transaction moves the job to `w/job/`.

use serde::{Deserialize, Serialize};

use crate::records::{JobEndRecord, JobRecord, end_key, job_key};
use lemonweir_model::JobId;
use lemonweir_model::constants::DEPENDENCIES_PER_PAGE;
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write};
use lemonweir_protocol::users::JobPhase;

/// A further page of a job's dependencies.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct DependencyPage {
    /// Ids of the jobs on this page.
    #[serde(rename = "awaits")]
    pub depends_on: Vec<JobId>,
}

/// Key of a job that waits for its dependencies.
pub fn blocked_job_key(id: &JobId) -> String {
    format!("w/chain/{id}")
}

/// Key of a further page of a job's dependencies, numbered from 1.
pub fn dependency_page_key(id: &JobId, page: usize) -> String {
    format!("w/chain/{id}/{page}")
}

/// Parses the part of a key after `w/chain/` into the job and the page; page 0 is the job
/// itself.
pub fn parse_blocked_job_key(rest: &str) -> Option<(JobId, usize)> {
    match rest.split_once('/') {
        None => Some((JobId::parse(rest)?, 0)),
        Some((id, page)) => Some((
            JobId::parse(id)?,
            page.parse().ok().filter(|page| *page > 0)?,
        )),
    }
}

fn must_not_exist(key: String) -> Condition {
    Condition { key, version: 0 }
}

/// Conditions that no record of the job exists: neither unfinished, blocked nor ended.
pub fn job_absent_conditions(id: &JobId) -> Vec<Condition> {
    [job_key(id), blocked_job_key(id), end_key(id)]
        .map(must_not_exist)
        .to_vec()
}

/// Transactions that create a blocked job, to be executed in this order. The further pages
/// come first, since they have no effect without the job record, which is written last.
pub fn create_blocked_job(record: &JobRecord, max_cas_ops: usize) -> Vec<CompareAndSwap> {
    let id = &record.spec.id;
    let mut pages = record.spec.depends_on.chunks(DEPENDENCIES_PER_PAGE);
    let first = pages.next().unwrap_or_default().to_vec();
    let rest: Vec<Write> = pages
        .zip(1..)
        .map(|(page_ids, page)| {
            Write::put(
                dependency_page_key(id, page),
                &DependencyPage {
                    depends_on: page_ids.to_vec(),
                },
            )
        })
        .collect();
    let mut cas_list: Vec<CompareAndSwap> = rest
        .chunks(max_cas_ops.max(1))
        .map(|writes| CompareAndSwap {
            conditions: job_absent_conditions(id),
            writes: writes.to_vec(),
        })
        .collect();
    let mut first_record = record.clone();
    first_record.dependency_count = record.spec.depends_on.len();
    first_record.spec.depends_on = first;
    cas_list.push(CompareAndSwap {
        conditions: job_absent_conditions(id),
        writes: vec![Write::put(blocked_job_key(id), &first_record)],
    });
    cas_list
}

/// Creates a job that depends on a cancelled job: only its end is written, as cancelled.
pub fn create_cancelled_job(id: &JobId) -> CompareAndSwap {
    CompareAndSwap {
        conditions: job_absent_conditions(id),
        writes: vec![Write::put(
            end_key(id),
            &JobEndRecord {
                phase: JobPhase::Withdrawn,
            },
        )],
    }
}

/// Cancels a blocked job whose key has this version. Its end is written at once, since no
/// task of it was ever started.
pub fn cancel_blocked_job(id: &JobId, version: u64) -> CompareAndSwap {
    CompareAndSwap {
        conditions: vec![Condition {
            key: blocked_job_key(id),
            version,
        }],
        writes: vec![
            Write::put(
                end_key(id),
                &JobEndRecord {
                    phase: JobPhase::Withdrawn,
                },
            ),
            Write::Delete {
                key: blocked_job_key(id),
            },
        ],
    }
}

/// Moves a blocked job whose key has this version to `w/job/`, so that it can be placed.
///
/// The versions of the end records in `done` are conditions, so that the job can't start
/// before all of its dependencies are done.
pub fn unblock_job(record: &JobRecord, version: u64, done: &[(JobId, u64)]) -> CompareAndSwap {
    let id = &record.spec.id;
    let mut conditions = vec![Condition {
        key: blocked_job_key(id),
        version,
    }];
    conditions.extend(done.iter().map(|(dependency, version)| Condition {
        key: end_key(dependency),
        version: *version,
    }));
    let mut job = record.clone();
    job.spec.depends_on.clear();
    job.dependency_count = 0;
    CompareAndSwap {
        conditions,
        writes: vec![
            Write::put(job_key(id), &job),
            Write::Delete {
                key: blocked_job_key(id),
            },
        ],
    }
}

/// Verifies without a write that these end records have these versions. An end record never
/// changes.
pub fn check_ends_unchanged(done: &[(JobId, u64)]) -> CompareAndSwap {
    let conditions = done
        .iter()
        .map(|(dependency, version)| Condition {
            key: end_key(dependency),
            version: *version,
        })
        .collect();
    CompareAndSwap {
        conditions,
        writes: Vec::new(),
    }
}
