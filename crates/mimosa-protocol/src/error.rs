//! The error type of all crates, with diagnostics for the terminal.

use std::io;
use std::path::PathBuf;

use miette::Diagnostic;
use miette::NamedSource;
use miette::SourceSpan;
use thiserror::Error as ThisError;

/// A result whose error defaults to [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Errors outside the handling of requests. A failed request ends in a [`crate::outcome`] instead.
#[derive(Debug, ThisError, Diagnostic)]
#[non_exhaustive]
pub enum Error {
    /// A name violates the syntax of identifiers, see [`crate::id`].
    #[error("'{name}' is not a valid {kind} name: {reason}")]
    #[diagnostic(
        code(mimosa::name),
        help("use a short lowercase word such as 'verse-1'")
    )]
    BadName {
        /// The kind of object, such as "endpoint".
        kind: &'static str,
        /// The rejected name, truncated to 80 characters.
        name: String,
        /// The violated rule.
        reason: &'static str,
    },

    /// A settings file has one or more faults.
    #[error("{path} holds {count} fault(s)", path = path.display())]
    #[diagnostic(code(mimosa::settings))]
    Settings {
        /// Path of the settings file.
        path: PathBuf,
        /// Number of faults.
        count: usize,
        /// Each fault with its position in the file.
        #[related]
        faults: Vec<SettingsFault>,
    },

    /// A file could not be read or written.
    #[error("cannot {action} {path}", path = path.display())]
    #[diagnostic(
        code(mimosa::file),
        help("check that the path exists and that this user has access to it")
    )]
    File {
        /// The failed operation as a verb, such as "read".
        action: &'static str,
        /// Path of the file or directory.
        path: PathBuf,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },

    /// A stored file is corrupt.
    #[error("{path} is damaged at byte {offset}: {reason}", path = path.display())]
    #[diagnostic(code(mimosa::damaged), help("{repair}"))]
    Damaged {
        /// Path of the corrupt file.
        path: PathBuf,
        /// Byte offset at which the corruption starts.
        offset: u64,
        /// The failed check.
        reason: String,
        /// Instructions for the repair, shown as help.
        repair: String,
    },

    /// A network operation failed.
    #[error("cannot {action} {peer}")]
    #[diagnostic(
        code(mimosa::network),
        help("check that the process at this address is running and that the address is correct")
    )]
    Network {
        /// The failed operation as a verb, such as "listen on".
        action: &'static str,
        /// Address or description of the peer.
        peer: String,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },

    /// A message could not be decoded.
    #[error("a message could not be decoded: {reason}")]
    #[diagnostic(
        code(mimosa::message),
        help("check that both processes run the same version")
    )]
    BadMessage {
        /// The decoder's error.
        reason: String,
    },

    /// An operation was refused, locally or by a peer.
    #[error("{what} was refused: {reason}")]
    #[diagnostic(code(mimosa::refused))]
    Refused {
        /// The refused operation.
        what: String,
        /// Why the operation was refused.
        reason: String,
        /// Advice on how to resolve it, if there is any.
        #[help]
        help: Option<String>,
    },

    /// The command line is invalid.
    #[error("{reason}")]
    #[diagnostic(
        code(mimosa::usage),
        help("try 'mimosaswitch --help' or 'mimosaswitch {command} --help'")
    )]
    Usage {
        /// The subcommand; empty if none was recognised.
        command: String,
        /// The error in the arguments.
        reason: String,
    },
}

/// One fault of a settings file.
#[derive(Debug, ThisError, Diagnostic)]
#[error("{reason}")]
#[diagnostic(code(mimosa::settings::fault))]
pub struct SettingsFault {
    /// Description of the fault.
    pub reason: String,
    /// Full text of the settings file.
    #[source_code]
    pub source_code: NamedSource<String>,
    /// Byte range of the fault in the text.
    #[label("{label}")]
    pub span: SourceSpan,
    /// Label printed at the range.
    pub label: String,
    /// Advice on how to fix the fault.
    #[help]
    pub help: String,
}
