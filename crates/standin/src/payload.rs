//! Request and reply bodies of the simulated callers and targets.
//!
//! A request body is `<reply bytes, 8 digits> <request key> <attempt> ` and padding. Entries
//! forward bodies unchanged, so a target can record which attempt of which request it runs.

use xxhash_rust::xxh3::xxh3_64;

/// The header at the start of a request body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Requested length of the reply body.
    pub reply_bytes: usize,
    /// The request key, or the caller's own identifier of an idempotent request.
    pub key: String,
    /// The number of the attempt, from 0.
    pub attempt: u32,
}

/// The longest reply body that a target generates.
pub const MAX_REPLY_BYTES: usize = 16 << 20;

impl Header {
    /// Returns a request body that starts with this header and is padded to `length` bytes.
    pub fn encode(&self, length: usize) -> Vec<u8> {
        let mut body =
            format!("{:08} {} {} ", self.reply_bytes, self.key, self.attempt).into_bytes();
        if body.len() < length {
            body.resize(length, b'.');
        }
        body
    }

    /// Parses the header of a request body; `None` if it is malformed or asks for a reply longer
    /// than [`MAX_REPLY_BYTES`].
    pub fn scan(body: &[u8]) -> Option<Header> {
        let mut fields = body.splitn(4, |&byte| byte == b' ');
        let reply_bytes = scan_number(fields.next()?)?;
        let key = std::str::from_utf8(fields.next()?).ok()?.to_owned();
        let attempt = scan_number(fields.next()?)?;
        fields.next()?;
        let reply_bytes = reply_bytes as usize;
        (reply_bytes <= MAX_REPLY_BYTES).then_some(Header { reply_bytes, key, attempt })
    }
}

fn scan_number(field: &[u8]) -> Option<u32> {
    std::str::from_utf8(field).ok()?.parse().ok()
}

/// Returns the reply body: pseudo-random bytes that depend only on the arguments, so that the
/// caller can check the reply byte for byte.
pub fn reply_body(request: &[u8], length: usize) -> Vec<u8> {
    let mut body = vec![0; length];
    fastrand::Rng::with_seed(xxh3_64(request)).fill(&mut body);
    body
}
