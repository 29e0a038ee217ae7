//! Records of jobs that wait for others.
//!
//! | key | value | life |
//! | --- | --- | --- |
//! | `w/chain/<id>` | [`JobRecord`], its `awaits` cut to the first page | until the last awaited job is done, or the job is cancelled |
//! | `w/chain/<id>/<n>` | [`DependencyPage`] | as above; removed later |
//!
//! A job that waits is not under `w/job/`, so nobody places it, and a process that does
//! not know chains neither starts, ends nor rewrites it. Once every awaited job's end
//! says done, one transaction moves it to `w/job/`, from when on it is a job like any other.

use serde::{Deserialize, Serialize};

use crate::records::{JobEndRecord, JobRecord, end_key, job_key};
use lemonweir_model::JobId;
use lemonweir_model::constants::DEPENDENCIES_PER_PAGE;
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write};
use lemonweir_protocol::users::JobPhase;

/// More dependencies than the first page holds.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct DependencyPage {
    /// Their ids.
    #[serde(rename = "awaits")]
    pub depends_on: Vec<JobId>,
}

/// Key of a job that waits for others.
pub fn blocked_job_key(id: &JobId) -> String {
    format!("w/chain/{id}")
}

/// Key of a further page of the jobs that it depends on, from 1 on.
pub fn dependency_page_key(id: &JobId, page: usize) -> String {
    format!("w/chain/{id}/{page}")
}

/// Reads the job and the page, 0 for the job itself, from a key below `w/chain/`.
pub fn parse_blocked_job_key(rest: &str) -> Option<(JobId, usize)> {
    match rest.split_once('/') {
        None => Some((JobId::parse(rest)?, 0)),
        Some((id, page)) => Some((
            JobId::parse(id)?,
            page.parse().ok().filter(|page| *page > 0)?,
        )),
    }
}

fn absent(key: String) -> Condition {
    Condition { key, version: 0 }
}

/// Neither the job nor its end may be known, whether or not it waits for others.
pub fn job_absent_conditions(id: &JobId) -> Vec<Condition> {
    [job_key(id), blocked_job_key(id), end_key(id)]
        .map(absent)
        .to_vec()
}

/// The transactions that accept a job which waits for others, in their order: further
/// pages first, which mean nothing by themselves, then the job, which counts.
pub fn create_blocked_job(record: &JobRecord, txn_ops: usize) -> Vec<CompareAndSwap> {
    let id = &record.spec.id;
    let mut pages = record.spec.depends_on.chunks(DEPENDENCIES_PER_PAGE);
    let first = pages.next().unwrap_or_default().to_vec();
    let rest: Vec<Write> = pages
        .zip(1..)
        .map(|(awaits, page)| {
            Write::put(
                dependency_page_key(id, page),
                &DependencyPage {
                    depends_on: awaits.to_vec(),
                },
            )
        })
        .collect();
    let mut cas_list: Vec<CompareAndSwap> = rest
        .chunks(txn_ops.max(1))
        .map(|writes| CompareAndSwap {
            conditions: job_absent_conditions(id),
            writes: writes.to_vec(),
        })
        .collect();
    let mut head = record.clone();
    head.dependency_count = record.spec.depends_on.len();
    head.spec.depends_on = first;
    cas_list.push(CompareAndSwap {
        conditions: job_absent_conditions(id),
        writes: vec![Write::put(blocked_job_key(id), &head)],
    });
    cas_list
}

/// Accepts a job that needs a cancelled one: it is cancelled from the start.
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

/// Cancels a job that waits, whose key has this version: no task of it was ever started.
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

/// Lets a job start that has waited, whose key has this version: from now on it is a job
/// like any other.
///
/// Guards against a start before all dependencies are done: the ends in `done`, each with
/// the version under which it says so, are conditions.
pub fn unblock_job(record: &JobRecord, version: u64, done: &[(JobId, u64)]) -> CompareAndSwap {
    let id = &record.spec.id;
    let mut conditions = vec![Condition {
        key: blocked_job_key(id),
        version,
    }];
    conditions.extend(done.iter().map(|(awaited, version)| Condition {
        key: end_key(awaited),
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

/// Asks whether these ends have these versions, without a write: an end never changes.
pub fn check_ends_unchanged(done: &[(JobId, u64)]) -> CompareAndSwap {
    let conditions = done
        .iter()
        .map(|(awaited, version)| Condition {
            key: end_key(awaited),
            version: *version,
        })
        .collect();
    CompareAndSwap {
        conditions,
        writes: Vec::new(),
    }
}
