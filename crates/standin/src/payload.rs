//! Bodies of the stand-ins' requests and replies.
//!
//! A request body is `<reply bytes, 8 digits> <request key> <attempt> ` and filler. The entries
//! pass bodies on unchanged, so a target can record which attempt of which request it runs.

use xxhash_rust::xxh3::xxh3_64;

/// What a request body says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// Length of the reply body.
    pub reply_bytes: usize,
    /// The request key, or the caller's own number of an idempotent request.
    pub key: String,
    /// The number of the attempt, from 0.
    pub attempt: u32,
}

/// The longest reply that a target makes.
pub const MAX_REPLY: usize = 16 << 20;

impl Work {
    /// The request body, filled up to `length` bytes.
    pub fn write(&self, length: usize) -> Vec<u8> {
        let mut body =
            format!("{:08} {} {} ", self.reply_bytes, self.key, self.attempt).into_bytes();
        if body.len() < length {
            body.resize(length, b'.');
        }
        body
    }

    /// Reads a request body.
    pub fn scan(body: &[u8]) -> Option<Work> {
        let mut words = body.splitn(4, |&byte| byte == b' ');
        let reply_bytes = scan_number(words.next()?)?;
        let key = std::str::from_utf8(words.next()?).ok()?.to_owned();
        let attempt = scan_number(words.next()?)?;
        words.next()?;
        let reply_bytes = reply_bytes as usize;
        (reply_bytes <= MAX_REPLY).then_some(Work { reply_bytes, key, attempt })
    }
}

fn scan_number(word: &[u8]) -> Option<u32> {
    std::str::from_utf8(word).ok()?.parse().ok()
}

/// The reply body to a request body: pseudo-random bytes that only depend on the two arguments.
pub fn reply(request: &[u8], length: usize) -> Vec<u8> {
    let mut body = vec![0; length];
    fastrand::Rng::with_seed(xxh3_64(request)).fill(&mut body);
    body
}
