//! Faults of a policy document, each with its line, numbered code and a hint.

use std::fmt;

use serde::Serialize;

/// The kinds of fault. docs/errors.md lists the codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub enum FaultCode {
    /// The text is not TOML.
    Syntax,
    /// The document is larger than the store's largest value.
    TooLarge,
    /// A key that the schema does not have.
    UnknownField,
    /// A key that must be there.
    MissingField,
    /// A value of another type than the schema's.
    WrongType,
    /// A number outside its range.
    OutOfRange,
    /// A name with other characters than `a-z`, `0-9` and `-`.
    BadName,
    /// Two entries of one list have the same name or the same subject.
    Duplicate,
    /// A name that no entry of the document has.
    UnknownName,
    /// The schema number is not supported.
    Schema,
    /// A drain that ends before it starts, or has not exactly one subject.
    BadDrain,
    /// Drains that leave a service without a target at some time.
    NoTargetLeft,
    /// Shifts of one region that move more than the whole of it.
    ShiftTooLarge,
    /// A shift between two regions without a link.
    MissingLink,
    /// A client block that is not an IPv4 network of /8 to /24.
    BadBlock,
}

impl FaultCode {
    /// Every code in the order of its number.
    pub const ALL: [FaultCode; 15] = [
        FaultCode::Syntax,
        FaultCode::TooLarge,
        FaultCode::UnknownField,
        FaultCode::MissingField,
        FaultCode::WrongType,
        FaultCode::OutOfRange,
        FaultCode::BadName,
        FaultCode::Duplicate,
        FaultCode::UnknownName,
        FaultCode::Schema,
        FaultCode::BadDrain,
        FaultCode::NoTargetLeft,
        FaultCode::ShiftTooLarge,
        FaultCode::MissingLink,
        FaultCode::BadBlock,
    ];

    /// The number, without its `EP-` prefix.
    pub const fn number(self) -> u16 {
        1001 + self as u16
    }
}

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Fault {
    /// The line, counted from 1.
    pub line: u32,
    /// What kind of fault it is.
    pub code: FaultCode,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub hint: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: EP-{:04}: {}", self.line, self.code.number(), self.message)?;
        if !self.hint.is_empty() {
            write!(f, " ({})", self.hint)?;
        }
        Ok(())
    }
}
