//! W3C trace context, version 00, and spans.
//!
//! The format of the header is `00-<trace>-<span>-<flags>`.

use std::fmt;
use std::str::FromStr;
use std::time::Instant;

use crate::event::{Event, emit};

/// The request header that carries the context.
pub const HEADER: &str = "traceparent";

/// The flag of a sampled trace, whose spans are recorded.
const SAMPLED_FLAG: u8 = 1;

/// A trace context: the ids of a trace and of a span in it, and the trace's flags.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Context {
    trace: u128,
    span: u64,
    flags: u8,
}

/// The error for text that is not a trace context of version 00.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

impl Context {
    /// Starts a new trace that is not sampled.
    pub fn new() -> Context {
        Context { trace: fastrand::u128(1..), span: fastrand::u64(1..), flags: 0 }
    }

    /// Parses `header`. If it is absent or malformed, starts a new trace, as the standard requires.
    pub fn from_header(header: Option<&str>) -> Context {
        header.and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    /// A context for a new child span.
    pub fn child(&self) -> Context {
        Context { span: fastrand::u64(1..), ..*self }
    }

    /// Whether the caller asked for spans to be recorded.
    pub const fn is_sampled(&self) -> bool {
        self.flags & SAMPLED_FLAG != 0
    }
}

impl Default for Context {
    fn default() -> Context {
        Context::new()
    }
}

impl fmt::Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{:032x}-{:016x}-{:02x}", self.trace, self.span, self.flags)
    }
}

impl FromStr for Context {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Context, Malformed> {
        let bytes = text.as_bytes();
        let is_hex = |byte: &u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        let separators = [2, 35, 52];
        let is_valid = |(index, byte): (usize, &u8)| match separators.contains(&index) {
            true => *byte == b'-',
            false => is_hex(byte),
        };
        if bytes.len() != 55 || !bytes.iter().enumerate().all(is_valid) || &text[..2] != "00" {
            return Err(Malformed);
        }
        let trace = u128::from_str_radix(&text[3..35], 16).map_err(|_| Malformed)?;
        let span = u64::from_str_radix(&text[36..52], 16).map_err(|_| Malformed)?;
        let flags = u8::from_str_radix(&text[53..], 16).map_err(|_| Malformed)?;
        if trace == 0 || span == 0 {
            return Err(Malformed);
        }
        Ok(Context { trace, span, flags })
    }
}

/// A span: the time that a request spends in one processing step.
#[derive(Debug)]
pub struct Span {
    parent: Context,
    context: Context,
    name: &'static str,
    start: Instant,
}

impl Span {
    /// Starts the span `name` as a child of `parent`.
    pub fn new(parent: Context, name: &'static str) -> Span {
        Span { parent, context: parent.child(), name, start: Instant::now() }
    }

    /// The span's context, to be sent with requests to the next hop.
    pub const fn context(&self) -> Context {
        self.context
    }

    /// Ends the span, and logs it if the trace is sampled.
    pub fn close(self, result: &str) {
        if self.parent.is_sampled() {
            let (parent, span) = (self.parent.span, self.context);
            let (name, us) = (self.name, self.start.elapsed().as_micros());
            emit(
                Event::Span,
                format_args!("{span} parent={parent:016x} name={name} us={us} result={result}"),
            );
        }
    }
}
