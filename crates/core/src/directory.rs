//! Chooses the machines that a region's callers are sent to.
//!
//! What a machine knows of a target, its load, its failures and open connections, comes from its
//! own requests. In a fleet of 295 machines that share 3,400 requests a second evenly, a machine
//! uses each of 1,074 targets about once a minute, and knows nothing when it needs to. So the
//! callers are sent to a few machines, strong ones first, and as many more as their load requires.
//! The choice depends only on which machines are ready and on their demand, so all machines give
//! about the same answer, and it changes little when one of them fails.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::gossip::Peer;
use crate::relay;

/// Machines for each data centre of the region, at least. Callers that lose one try another.
const MIN_PER_CENTRE: usize = 2;
/// A region with no more machines than this uses all of them: each meets its targets often enough.
const SMALL_REGION: usize = 6;
/// Requests a second that a machine of strength 1 should get at most. Forwarding takes about 0.1 ms
/// of a core, and 5 KB of a link each way.
const RATE_PER_STRENGTH: f64 = 100.0;

/// The machines to send callers to, among the `ready` ones of their region.
///
/// Callers spread over them evenly, so the weakest of them limits the others: weaker machines are
/// added only if the stronger ones cannot take the demand.
pub fn entries<'a>(ready: &[&'a Peer]) -> Vec<&'a Peer> {
    if ready.len() <= SMALL_REGION {
        return ready.to_vec();
    }
    let ranked = rank(ready);
    let centre_count = ranked.iter().filter(|(rank, _)| *rank == 0).count();
    let demand: f64 = ready.iter().map(|peer| f64::from(peer.heartbeat.demand)).sum();
    let mut strengths: Vec<u8> = ready.iter().map(|peer| peer.strength).collect();
    strengths.sort_unstable_by_key(|&strength| Reverse(strength));
    strengths.dedup();
    for strength in strengths {
        let by_demand = (demand / (f64::from(strength) * RATE_PER_STRENGTH)).ceil() as usize;
        let count = by_demand.max(centre_count * MIN_PER_CENTRE);
        let strong = ranked.iter().filter(|(_, peer)| peer.strength >= strength);
        let strong: Vec<&Peer> = strong.map(|&(_, peer)| peer).take(count).collect();
        if strong.len() == count {
            return strong;
        }
    }
    ranked.into_iter().map(|(_, peer)| peer).collect()
}

/// The machines, each with its position in its data centre, strong ones first. Those of equal
/// position follow each other, so that any number of the first ones is spread over the data centres.
fn rank<'a>(ready: &[&'a Peer]) -> Vec<(usize, &'a Peer)> {
    let mut centres: HashMap<&str, Vec<&'a Peer>> = HashMap::new();
    for &peer in ready {
        centres.entry(&peer.centre).or_default().push(peer);
    }
    let mut ranked = Vec::with_capacity(ready.len());
    for peers in centres.values_mut() {
        peers.sort_unstable_by_key(|peer| relay::order(peer));
        ranked.extend(peers.iter().copied().enumerate());
    }
    ranked.sort_unstable_by_key(|&(position, peer)| (position, relay::order(peer)));
    ranked
}
