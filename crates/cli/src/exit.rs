//! Exit codes and errors of the commands.

use std::fmt;
use std::process::ExitCode;

use ebonypass_node::store;

/// The exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The document has faults, the request was refused, or the command failed in a way that has no
    /// code of its own.
    Refused = 1,
    /// The arguments are wrong, or a file cannot be read or written.
    Usage = 2,
    /// Another operator's change was accepted first.
    Conflict = 3,
    /// The store is not reachable; nothing was written.
    Unreachable = 4,
    /// The store gave no definite reply to a write; it is not known whether the write took effect.
    Unknown = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// An error message with its exit code.
#[derive(Debug)]
pub struct Failure {
    /// The exit code of the program.
    pub exit: Exit,
    /// The message for standard error.
    pub message: String,
}

impl Failure {
    /// Creates a failure from an exit code and a message.
    pub fn new(exit: Exit, message: impl Into<String>) -> Failure {
        Failure { exit, message: message.into() }
    }

    /// Creates a failure from an error of reading or writing the file `path`.
    pub fn from_file_error(path: &std::path::Path, error: impl fmt::Display) -> Failure {
        Failure::new(Exit::Usage, format!("{}: {error}", path.display()))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl From<store::Error> for Failure {
    fn from(error: store::Error) -> Failure {
        let exit = match error {
            store::Error::Unreachable(_) => Exit::Unreachable,
            store::Error::Uncertain(_) => Exit::Unknown,
            store::Error::Conflict { .. } => Exit::Conflict,
            _ => Exit::Refused,
        };
        Failure::new(exit, error.to_string())
    }
}
