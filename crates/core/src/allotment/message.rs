//! Messages between machines about quotas.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

/// First byte of a datagram with requests. Gossip messages never start with a byte of 0x80 or
/// above.
pub const REQUEST_BYTE: u8 = 0xF0;
/// First byte of a datagram with replies.
pub const REPLY_BYTE: u8 = 0xF1;
/// Requests or replies in one datagram, which keeps it within 1,472 bytes.
pub const MAX_BATCH: usize = 50;

/// The content of one datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests to a machine, each for one tenant.
    Requests(Vec<Request>),
    /// Replies to requests.
    Replies(Vec<Reply>),
}

impl Message {
    /// The first byte of the datagram.
    pub fn first_byte(&self) -> u8 {
        match self {
            Message::Requests(_) => REQUEST_BYTE,
            Message::Replies(_) => REPLY_BYTE,
        }
    }
}

/// A request to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Hash of the tenant's name.
    pub tenant: u32,
    /// What the sender asks for.
    pub demand: Demand,
}

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Demand {
    /// Tokens.
    Tokens(Ask),
    /// Ownership of the tenant's quota.
    Ownership,
}

/// A request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Time of the ask on the sender's clock in ms, modulo 65,536.
    pub sent_ms: u16,
    /// Tokens for requests that wait.
    pub needed: u16,
    /// Further tokens, for requests that are expected.
    pub wanted: u16,
    /// Tokens that expired unused since the last ask.
    pub returned: u16,
    /// Whether the machines that rank higher did not answer the sender, or may not own quotas yet.
    pub is_fallback: bool,
}

/// A reply to a request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Hash of the tenant's name.
    pub tenant: u32,
    /// The answer.
    pub answer: Answer,
}

/// An answer to an ask or to a claim of ownership.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Tokens are leased.
    Granted {
        /// [`Ask::sent_ms`] of the ask.
        sent_ms: u16,
        /// Number of tokens.
        count: u16,
    },
    /// There is no token.
    Denied {
        /// Time until there is one, in ms.
        wait_ms: u16,
    },
    /// The receiver is taking over the quota.
    Pending,
    /// The receiver does not own the quota; the machine that does, if known.
    Elsewhere(Option<IpAddr>),
    /// The receiver owns no quotas yet.
    Settling {
        /// Time until it may, in ms.
        wait_ms: u16,
    },
    /// The receiver of the claim does not own the quota.
    Free,
    /// The receiver of the claim owns the quota or is taking it over.
    Held,
    /// The receiver of the claim owned the quota and has given it up.
    Released {
        /// Tokens left in its bucket.
        level: f32,
    },
}
