//! Why a command failed.

use std::net::SocketAddr;
use std::path::PathBuf;

use lemonweir_protocol::Malformed;
use lemonweir_transport::CallError;

/// Why a command failed, as its user is told.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// Neither a controller nor a command was asked for, or both.
    #[error("give either --config FILE or one command; see --help")]
    Usage,
    /// Faults of the settings and the policy, each named.
    #[error("{}", .0.join("; "))]
    Configuration(Vec<String>),
    /// The controller can't listen on its addresses.
    #[error(transparent)]
    Listen(std::io::Error),
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A job's file is not JSON.
    #[error("{}: {source}", path.display())]
    ParseJob {
        /// The file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// A controller did not answer.
    #[error("{controller}: {source}")]
    Call {
        /// Its address.
        controller: SocketAddr,
        /// Why.
        source: CallError,
    },
    /// A controller answered with another status than success.
    #[error("{controller} answered {status}")]
    Status {
        /// Its address.
        controller: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
    /// A controller's answer can't be read.
    #[error("{controller}: {source}")]
    MalformedResponse {
        /// Its address.
        controller: SocketAddr,
        /// Why.
        source: Malformed,
    },
}

impl CommandError {
    /// The faults to print, one a line.
    pub(crate) fn faults(&self) -> Vec<String> {
        match self {
            Self::Configuration(faults) => faults.clone(),
            error => vec![error.to_string()],
        }
    }
}
