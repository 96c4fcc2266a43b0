//! Faults of a policy document: line, numbered code, message and hint.

use std::fmt;

use serde::Serialize;

/// The kind of a fault. The codes are listed in docs/errors.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub enum Code {
    /// The text is not TOML.
    Syntax,
    /// The document does not fit the store's value limit.
    TooLarge,
    /// A field that is not in the schema.
    UnknownField,
    /// A required field or table is absent.
    MissingField,
    /// A value whose type differs from the schema.
    WrongType,
    /// A number outside its range, or a link from a region to itself.
    OutOfRange,
    /// A name that is too long, has characters other than `a-z`, `0-9` and `-`, or starts or ends
    /// with `-`.
    BadName,
    /// Two entries of one list with the same name or key.
    Duplicate,
    /// A reference to a name that the document does not define.
    UnknownName,
    /// The schema version is not supported.
    Schema,
    /// A drain that does not end after it starts, or does not have exactly one subject.
    BadDrain,
    /// Drains that together leave a service without a target.
    NoTargetLeft,
    /// Shifts of one service that move more than 100 percent out of a region.
    ShiftTooLarge,
    /// A shift between regions that no link connects.
    MissingLink,
    /// A client block that is not an IPv4 network with a prefix of 8 to 24 bits.
    BadBlock,
}

impl Code {
    /// All codes in numerical order.
    pub const ALL: [Code; 15] = [
        Code::Syntax,
        Code::TooLarge,
        Code::UnknownField,
        Code::MissingField,
        Code::WrongType,
        Code::OutOfRange,
        Code::BadName,
        Code::Duplicate,
        Code::UnknownName,
        Code::Schema,
        Code::BadDrain,
        Code::NoTargetLeft,
        Code::ShiftTooLarge,
        Code::MissingLink,
        Code::BadBlock,
    ];

    /// The number after the `EP-` prefix.
    pub const fn number(self) -> u16 {
        1001 + self as u16
    }
}

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Fault {
    /// The line, counted from 1.
    pub line: u32,
    /// The kind of fault.
    pub code: Code,
    /// What is wrong.
    pub message: String,
    /// How to correct it. May be empty.
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
