//! Frames between entries.
//!
//! A frame is its length as four bytes, high byte first, and its content in postcard form.

use std::fmt;

use ebonypass_core::credit::{self, Credit};
use ebonypass_core::key::{self, Claim};
use ebonypass_core::outcome::Reason;
use ebonypass_core::roster::{Heartbeat, Incarnation, Process};

use ebonypass_core::share::{self, Loan};
use ebonypass_core::time::Span;
use ebonypass_core::version;
use ebonypass_core::vote;
use serde::{Deserialize, Serialize};
use smol::io::{AsyncRead, AsyncReadExt};

use crate::store::Vm;

/// Number of the protocol. Entries refuse connections with another one.
pub const PROTOCOL: u32 = 1;

/// The largest frame, in bytes without its length.
pub const MAX_FRAME: usize = 64 * 1024;

/// Bytes of a frame's length.
const LENGTH: usize = 4;

/// The first frame of each connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL`] of the sender.
    pub protocol: u32,
    /// The sending process.
    pub process: Process,
    /// Where it runs.
    pub data_centre: String,
}

/// A request on its way to the entry that owns its pool. The body follows the frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The member that asks.
    pub member: String,
    /// The service.
    pub service: String,
    /// The kind of work.
    pub kind: String,
    /// Time that is left until the deadline.
    pub left: Span,
    /// Position in the trace, in the form of the `traceparent` header.
    pub trace: String,
    /// Media type of the body, if known.
    pub content_type: Option<String>,
    /// Bytes of the body.
    pub length: u32,
    /// Whether the request came from another region, against credit.
    pub is_remote: bool,
    /// Whether the client belongs to another region and came here because its own is gone.
    pub is_visit: bool,
}

/// The answer to [`Forward`]. The body of an answered request follows the frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target's reply.
    Answered {
        /// Status code.
        status: u16,
        /// Headers for the caller.
        headers: Vec<(String, String)>,
        /// Bytes of the body, if the target told them.
        length: Option<u64>,
    },
    /// Not run, or unknown, as the reason says.
    Failed(Reason),
}

/// A claim of a request key, asked of the process that the key names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The process that issued the key's token.
    pub incarnation: Incarnation,
    /// The claim.
    pub claim: Claim,
    /// How the request ended, when it has.
    pub end: Option<key::Execution>,
}

/// What entries send each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Who the sender is.
    Hello(Hello),
    /// Heartbeat.
    Status(Heartbeat),
    /// Promises and consents for seats.
    Seat(vote::Message),
    /// Asks for link rate.
    Borrow(share::Request),
    /// Lends link rate.
    Loan(Loan),
    /// Asks for credit.
    Need(credit::Request),
    /// Grants credit.
    Credit(Credit),
    /// Asks for the policy document.
    Fetch(version::Request),
    /// Answers [`Frame::Fetch`]; the text follows the frame.
    Document {
        /// The version in force at the sender, 0 if it has none.
        version: u64,
        /// Bytes of the text.
        length: u32,
    },
    /// Claims a request key, or tells how its request ended.
    Claim(Ask),
    /// Answers [`Frame::Claim`]; none if another process issued the key's token.
    ClaimReply(Option<key::Reply>),
    /// The VM list, from a delegate of the receiver's data centre.
    Vms(Vec<Vm>),
    /// A request for the receiver's pool.
    Forward(Forward),
    /// Answers [`Frame::Forward`].
    Outcome(Outcome),
}

/// What is wrong with a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// It is longer than [`MAX_FRAME`].
    TooLarge(usize),
    /// Its content is not a frame, or has bytes after it.
    Malformed,
    /// The stream ended within it.
    Cut,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::TooLarge(len) => write!(f, "frame of {len} bytes"),
            Error::Malformed => write!(f, "malformed frame"),
            Error::Cut => write!(f, "stream ended within a frame"),
        }
    }
}

impl std::error::Error for Error {}

/// The bytes of `frame`, length included.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let content = postcard::to_stdvec(frame).map_err(|_| Error::Malformed)?;
    if content.len() > MAX_FRAME {
        return Err(Error::TooLarge(content.len()));
    }
    let mut bytes = Vec::with_capacity(LENGTH + content.len());
    bytes.extend_from_slice(&(content.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&content);
    Ok(bytes)
}

/// The frame with `content`, which is what follows the length.
pub fn decode(content: &[u8]) -> Result<Frame, Error> {
    if content.len() > MAX_FRAME {
        return Err(Error::TooLarge(content.len()));
    }
    match postcard::take_from_bytes(content) {
        Ok((frame, [])) => Ok(frame),
        _ => Err(Error::Malformed),
    }
}

/// Reads the next frame; none at the end of the stream.
pub async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<Option<Frame>, Error> {
    let mut length = [0; LENGTH];
    let mut filled = 0;
    while filled < LENGTH {
        match stream.read(&mut length[filled..]).await {
            Ok(0) if filled == 0 => return Ok(None),
            Ok(0) | Err(_) => return Err(Error::Cut),
            Ok(len) => filled += len,
        }
    }
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME {
        return Err(Error::TooLarge(length));
    }
    let mut content = vec![0; length];
    stream.read_exact(&mut content).await.map_err(|_| Error::Cut)?;
    decode(&content).map(Some)
}
