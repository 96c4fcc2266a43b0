//! The other machines as the quotas see them: which of them may own a quota, and what part of the
//! demand is out of reach.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::gossip::DEAD_AFTER;
use crate::time::{Instant, Span};

/// Machines that are considered as owners of one quota.
const ORDER_LENGTH: usize = 12;
/// A machine without a new heartbeat for this time counts as out of reach. Heartbeats reach all of
/// 300 machines within about 1.6 s.
const SUSPECT_AFTER: Span = Span::from_secs(2);
/// Bound on the share of the demand that counts as out of reach before its machines are dead. It
/// is below one half: a fleet of which most is restarted within [`DEAD_AFTER`] keeps its quotas.
const MAX_SUSPECT_SHARE: f64 = 0.49;
/// Usual utilisation of a quota: quotas are about 1.6 times a tenant's usual demand.
const UTILISATION: f64 = 0.6;
/// The largest share out of reach within this time applies. Machines that come back into reach
/// notice it at different times.
const SHARE_HOLD_TIME: Span = Span::from_millis(1_500);

/// Rounds over which the smallest own share counts: 3.2 s, in which the other machines hear of a
/// rising demand here.
const RECENT_ROUNDS: usize = 8;

/// A machine of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Member {
    /// Its address, by which machines are told apart.
    pub address: IpAddr,
    /// How much work it can take, in units of the weakest machine.
    pub strength: u8,
    /// Requests a second that callers send to it.
    pub demand: u16,
    /// Whether it accepts requests.
    pub is_ready: bool,
    /// Time since a new heartbeat of it was heard; zero for this machine.
    pub silence: Span,
}

/// The fleet as one machine knows it.
#[derive(Debug)]
pub(super) struct Fleet {
    own: IpAddr,
    /// Machines that may own a quota: live and ready ones.
    candidates: Vec<(IpAddr, u8, u64)>,
    /// Incremented when the candidates change.
    pub(super) version: u64,
    pub(super) is_own_ready: bool,
    /// Machines known, including dead ones and this one.
    pub(super) known: usize,
    /// The same when the contact was last good.
    pub(super) size: usize,
    /// This machine's share of the known demand, the smallest of the last rounds.
    pub(super) own_share: f64,
    /// The share in each of the last rounds.
    recent_shares: VecDeque<f64>,
    /// The share of the demand that is out of reach.
    lost_share: f64,
    /// Machines out of reach, and when the number or the share was last as high.
    lost_count: usize,
    lost_at: Instant,
}

fn hash(address: IpAddr) -> u64 {
    match address {
        IpAddr::V4(address) => xxh3_64(&address.octets()),
        IpAddr::V6(address) => xxh3_64(&address.octets()),
    }
}

/// A number in (0, 1) that depends on both hashes.
pub(super) fn unit_hash(first: u64, second: u64) -> f64 {
    // The finalizer of splitmix64.
    let mut mixed = first ^ second.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^= mixed >> 31;
    ((mixed >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}

/// The share of the demand that belongs to the machines that match.
fn share(members: &[Member], matches: impl Fn(&Member) -> bool) -> f64 {
    // A machine without demand counts a little.
    let weight = |member: &Member| f64::from(member.demand) + 1.0;
    let total: f64 = members.iter().map(weight).sum();
    members.iter().filter(|member| matches(member)).map(weight).sum::<f64>() / total
}

impl Fleet {
    pub(super) fn new(own: IpAddr) -> Fleet {
        Fleet {
            own,
            candidates: Vec::new(),
            version: 0,
            is_own_ready: false,
            known: 0,
            size: 0,
            own_share: 0.0,
            lost_share: 0.0,
            recent_shares: VecDeque::new(),
            lost_count: 0,
            lost_at: Instant::ZERO,
        }
    }

    /// Updates the candidates.
    pub(super) fn update_candidates(&mut self, members: &[Member]) {
        let mut candidates: Vec<(IpAddr, u8, u64)> = members
            .iter()
            .filter(|member| member.silence < DEAD_AFTER && member.is_ready)
            .map(|member| (member.address, member.strength.max(1), hash(member.address)))
            .collect();
        candidates.sort_unstable();
        self.known = members.len();
        self.is_own_ready = candidates.iter().any(|(address, ..)| *address == self.own);
        if candidates != self.candidates {
            self.candidates = candidates;
            self.version += 1;
        }
    }

    /// Updates the shares of the demand. Not called without contact, so that a machine that is cut
    /// off keeps the share that it had before.
    pub(super) fn update_shares(&mut self, now: Instant, members: &[Member]) {
        self.size = members.len();
        if self.recent_shares.len() == RECENT_ROUNDS {
            self.recent_shares.pop_front();
        }
        self.recent_shares.push_back(share(members, |member| member.address == self.own));
        self.own_share = self.recent_shares.iter().copied().fold(1.0, f64::min);
        let dead = share(members, |member| member.silence >= DEAD_AFTER);
        let suspect = share(members, |member| member.silence >= SUSPECT_AFTER);
        let lost = dead.max(suspect.min(MAX_SUSPECT_SHARE));
        let count = members.iter().filter(|member| member.silence >= SUSPECT_AFTER).count();
        // While the same machines are lost, a growing demand of the others does not lower the share:
        // the lost ones use the shares that they had before.
        let may_fall = count < self.lost_count && now.since(self.lost_at) >= SHARE_HOLD_TIME;
        if lost >= self.lost_share || may_fall {
            (self.lost_share, self.lost_count, self.lost_at) = (lost, count, now);
        } else if count >= self.lost_count {
            (self.lost_count, self.lost_at) = (count, now);
        }
    }

    /// The factor on the rate of a quota that this machine owns. Machines out of reach may use
    /// their own shares at the same time; the sum over all parts of a fleet is at most 1.
    pub(super) fn rate_factor(&self) -> f64 {
        if self.lost_share < 0.5 {
            1.0 - UTILISATION * self.lost_share
        } else {
            UTILISATION * (1.0 - self.lost_share)
        }
    }

    /// The factor on the rate of a quota that this machine uses without any contact.
    pub(super) fn own_factor(&self) -> f64 {
        UTILISATION * self.own_share
    }

    /// A number in (0, 1) for this machine and `tenant`.
    pub(super) fn own_hash(&self, tenant: u32) -> f64 {
        unit_hash(hash(self.own), tenant.into())
    }

    /// `count` of the machines that may own quotas, from the position `start` on.
    pub(super) fn sample(&self, start: usize, count: usize) -> impl Iterator<Item = IpAddr> {
        let length = self.candidates.len();
        let candidates = self.candidates.iter().cycle().skip(start % length.max(1));
        candidates.take(count.min(length)).map(|(address, ..)| *address)
    }

    /// The machines that may own the quota of `tenant`, the first choice first: rendezvous hashing,
    /// weighted by strength.
    pub(super) fn order(&self, tenant: u32) -> Vec<IpAddr> {
        let score = |&(address, strength, hash): &(IpAddr, u8, u64)| {
            (-f64::from(strength) / unit_hash(hash, tenant.into()).ln(), address)
        };
        let mut scores: Vec<(f64, IpAddr)> = self.candidates.iter().map(score).collect();
        let descending = |first: &(f64, IpAddr), second: &(f64, IpAddr)| {
            second.0.partial_cmp(&first.0).unwrap_or(Ordering::Equal)
        };
        if scores.len() > ORDER_LENGTH {
            scores.select_nth_unstable_by(ORDER_LENGTH - 1, descending);
            scores.truncate(ORDER_LENGTH);
        }
        scores.sort_unstable_by(descending);
        scores.into_iter().map(|(_, address)| address).collect()
    }
}
