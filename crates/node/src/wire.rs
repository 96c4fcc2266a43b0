//! Frames of the protocol between entries.
//!
//! A frame is a length of four bytes in big-endian order, followed by its content in postcard form.

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

/// Version of the protocol. Entries refuse connections with any other version.
pub const PROTOCOL_VERSION: u32 = 1;

/// The largest content of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;

/// The first frame of each connection; it identifies the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub protocol: u32,
    /// The sending process.
    pub process: Process,
    /// The data centre it runs in.
    pub data_centre: String,
}

/// A request that is forwarded to the entry that owns its pool. The body follows the frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The member that sent the request.
    pub member: String,
    /// The service.
    pub service: String,
    /// The kind of work.
    pub kind: String,
    /// Time left until the deadline.
    pub time_left: Span,
    /// Trace context, in the form of the `traceparent` header.
    pub trace: String,
    /// Media type of the body, if known.
    pub content_type: Option<String>,
    /// Length of the body in bytes.
    pub length: u32,
    /// Whether the request came from another region and uses credit.
    pub is_remote: bool,
    /// Whether the client belongs to another region and was sent here because that one is down.
    pub is_failover: bool,
}

/// The reply to [`Forward`]. The body of an answered request follows the frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target's reply.
    Answered {
        /// Status code.
        status: u16,
        /// Headers that are passed on to the caller.
        headers: Vec<(String, String)>,
        /// Length of the body in bytes, if the target stated it.
        length: Option<u64>,
    },
    /// The request has not run, or it is unknown whether it has; the reason tells which.
    Failed(Reason),
}

/// A claim of a request key, sent to the process that the key names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The process that issued the key's token.
    pub incarnation: Incarnation,
    /// The claim.
    pub claim: Claim,
    /// How the request ended, once it has.
    pub end: Option<key::Execution>,
}

/// A message between entries. Variants are numbered by their order, which must not change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Identifies the sender.
    Hello(Hello),
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// A message of the vote on seats.
    SeatVote(vote::Message),
    /// Requests link rate from another entry.
    RateRequest(share::Request),
    /// Lends link rate to another entry.
    RateLoan(Loan),
    /// Requests credit.
    CreditRequest(credit::Request),
    /// Grants credit.
    CreditGrant(Credit),
    /// Requests the policy document.
    PolicyFetch(version::Request),
    /// Answers [`Frame::PolicyFetch`]; the text follows the frame.
    PolicyDocument {
        /// The sender's current version, 0 if it has none.
        version: u64,
        /// Length of the text in bytes.
        length: u32,
    },
    /// Claims a request key, or reports how its request ended.
    Claim(ClaimRequest),
    /// Answers [`Frame::Claim`]; `None` if another process issued the key's token.
    ClaimReply(Option<key::Reply>),
    /// The VM list, from a delegate of the receiver's data centre.
    Vms(Vec<Vm>),
    /// A request for the receiver's pool.
    Forward(Forward),
    /// Answers [`Frame::Forward`].
    Outcome(Outcome),
}

/// Why a frame cannot be encoded, decoded or read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Its content is this many bytes long, more than [`MAX_FRAME_BYTES`].
    TooLarge(usize),
    /// Its content is not a frame, or has excess bytes.
    Malformed,
    /// The stream ended within it.
    Truncated,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::TooLarge(len) => {
                write!(f, "frame of {len} bytes exceeds the limit of {MAX_FRAME_BYTES}")
            }
            Error::Malformed => write!(f, "malformed frame"),
            Error::Truncated => write!(f, "stream ended within a frame"),
        }
    }
}

impl std::error::Error for Error {}

/// Encodes `frame`, including the length prefix.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let content = postcard::to_stdvec(frame).map_err(|_| Error::Malformed)?;
    if content.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLarge(content.len()));
    }
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + content.len());
    bytes.extend_from_slice(&(content.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&content);
    Ok(bytes)
}

/// Decodes a frame from `content`, the bytes after the length prefix.
pub fn decode(content: &[u8]) -> Result<Frame, Error> {
    if content.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLarge(content.len()));
    }
    match postcard::take_from_bytes(content) {
        Ok((frame, [])) => Ok(frame),
        _ => Err(Error::Malformed),
    }
}

/// Reads the next frame. Returns `None` at the end of the stream.
pub async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<Option<Frame>, Error> {
    let mut length = [0; LENGTH_BYTES];
    let mut filled = 0;
    while filled < LENGTH_BYTES {
        match stream.read(&mut length[filled..]).await {
            Ok(0) if filled == 0 => return Ok(None),
            Ok(0) | Err(_) => return Err(Error::Truncated),
            Ok(len) => filled += len,
        }
    }
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(Error::TooLarge(length));
    }
    let mut content = vec![0; length];
    stream.read_exact(&mut content).await.map_err(|_| Error::Truncated)?;
    decode(&content).map(Some)
}
