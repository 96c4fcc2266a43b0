//! The counts that a gateway sends to the others, and when it sends them to whom.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Length limit of an encoded report, which with its first byte fits into a datagram.
pub const MAX_REPORT_BYTES: usize = 1_400;
/// Bytes that a machine may send in one round of 0.4 s, which makes 2 KB a second.
const BYTES_PER_ROUND: usize = 800;
/// Headers of IP and UDP.
const DATAGRAM_HEADER_BYTES: usize = 28;
/// Upper bound of the bytes of a report without its groups, and of a group without its targets.
const REPORT_HEADER_BYTES: usize = 8;
const GROUP_HEADER_BYTES: usize = 3;
/// Bytes of a target in a group.
const TARGET_BYTES: usize = 2;
/// Rounds between two reports to one machine at most. Older ones say nothing about a load that
/// changes within a second; machines for which the limit on bytes leaves no room get none.
const MAX_INTERVAL: usize = 8;

/// The key of the target called `name` in a report. Two targets of a fleet of some hundred may have
/// the same key; their own figures correct the sum.
pub fn target_key(name: &str) -> [u8; 2] {
    (xxh3_64(name.as_bytes()) as u16).to_le_bytes()
}

/// The requests that one gateway has in flight.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the report, which grows and wraps around.
    pub round: [u8; 4],
    /// Rounds until the next report to the same machine.
    pub interval: u8,
    /// Targets with requests in flight, most requests first.
    pub groups: Vec<Group>,
}

/// Targets with the same number of requests in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Requests in flight at each of them.
    pub count: u8,
    /// Keys of the targets.
    pub targets: Vec<[u8; 2]>,
}

impl Report {
    /// A report of `counts`, of which the smallest are left out if it would be too long.
    pub fn new(round: u32, mut counts: Vec<(u8, [u8; 2])>) -> Report {
        counts.sort_unstable_by(|a, b| b.cmp(a));
        let mut bytes = REPORT_HEADER_BYTES;
        let mut groups: Vec<Group> = Vec::new();
        for (count, key) in counts {
            bytes += TARGET_BYTES;
            match groups.last_mut() {
                Some(group) if group.count == count => group.targets.push(key),
                _ => {
                    bytes += GROUP_HEADER_BYTES;
                    groups.push(Group { count, targets: vec![key] });
                }
            }
            if bytes + GROUP_HEADER_BYTES + TARGET_BYTES > MAX_REPORT_BYTES {
                break;
            }
        }
        Report { round: round.to_le_bytes(), interval: 1, groups }
    }

    /// The number as it was passed to [`Report::new`].
    pub fn round(&self) -> u32 {
        u32::from_le_bytes(self.round)
    }

    /// Each target's key and requests in flight.
    pub fn counts(&self) -> impl Iterator<Item = ([u8; 2], u8)> {
        let groups = self.groups.iter();
        groups.flat_map(|group| group.targets.iter().map(|&key| (key, group.count)))
    }

    /// Upper bound of the bytes on the wire, headers included.
    pub fn wire_bytes(&self) -> usize {
        let groups = self.groups.iter();
        let groups = groups.map(|group| GROUP_HEADER_BYTES + TARGET_BYTES * group.targets.len());
        DATAGRAM_HEADER_BYTES + REPORT_HEADER_BYTES + groups.sum::<usize>()
    }
}

/// Whose turn it is to get a report. Where a report to every machine in each round would exceed the
/// limit on bytes, each of them gets one in several rounds.
#[derive(Debug, Clone, Default)]
pub struct Rotation {
    next: usize,
    /// Bytes that may be sent now.
    credit: usize,
}

impl Rotation {
    /// Starts a round in which reports of `bytes` go to some of `count` machines, the most important
    /// ones first. Returns the rounds between two reports to the same machine, and the positions of
    /// those whose turn it is.
    pub fn next(
        &mut self,
        count: usize,
        bytes: usize,
    ) -> (u8, impl Iterator<Item = usize> + use<>) {
        let bytes = bytes.max(1);
        let count = count.min(BYTES_PER_ROUND * MAX_INTERVAL / bytes);
        let interval = (count * bytes).div_ceil(BYTES_PER_ROUND).max(1);
        self.credit = (self.credit + BYTES_PER_ROUND).min(BYTES_PER_ROUND + bytes);
        let turns = (self.credit / bytes).min(count);
        self.credit -= turns * bytes;
        let first = self.next;
        self.next = if count > 0 { (first + turns) % count } else { 0 };
        (interval as u8, (0..turns).map(move |turn| (first + turn) % count))
    }
}
