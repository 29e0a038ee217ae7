//! The error type of the `lemonweir` binary's commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use lemonweir_protocol::Malformed;
use lemonweir_transport::CallError;

/// Why a command failed; the message is shown to its user.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// Neither a settings file nor a command was given, or both were.
    #[error("give either --config FILE or one command; see --help")]
    Usage,
    /// Errors in the settings and the policy, one message each.
    #[error("{}", .0.join("; "))]
    Configuration(Vec<String>),
    /// The controller can't listen on its addresses.
    #[error(transparent)]
    Listen(std::io::Error),
    /// A job file can't be read.
    #[error("{}: {source}", path.display())]
    ReadFile {
        /// Path of the job file.
        path: PathBuf,
        /// Why it can't be read.
        source: std::io::Error,
    },
    /// A job file is not valid JSON.
    #[error("{}: {source}", path.display())]
    ParseJob {
        /// Path of the job file.
        path: PathBuf,
        /// Where and why it is not valid JSON.
        source: serde_json::Error,
    },
    /// A call to a controller got no response.
    #[error("{controller}: {source}")]
    Call {
        /// The controller's address.
        controller: SocketAddr,
        /// Whether the request may have been executed.
        source: CallError,
    },
    /// A controller returned an error status.
    #[error("{controller} returned HTTP status {status}")]
    Status {
        /// The controller's address.
        controller: SocketAddr,
        /// The HTTP status code.
        status: u16,
    },
    /// A controller's response can't be decoded.
    #[error("{controller}: {source}")]
    MalformedResponse {
        /// The controller's address.
        controller: SocketAddr,
        /// Why the response can't be decoded.
        source: Malformed,
    },
}

impl CommandError {
    /// The messages to print, one per line.
    pub(crate) fn messages(&self) -> Vec<String> {
        match self {
            Self::Configuration(errors) => errors.clone(),
            error => vec![error.to_string()],
        }
    }
}
