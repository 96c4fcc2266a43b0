//! Membership by gossip. Each machine counts up a heartbeat and passes on the counters that it
//! knows to a few random machines. The cost for a machine does not depend on the size of the fleet,
//! except for the length of a message, which is bounded.
//!
//! A machine whose counter has not risen for [`DEAD_AFTER`] counts as dead, whatever the reason.
//! The method is that of van Renesse, Minsky and Hayden, "A gossip-style failure detection service"
//! (Middleware 1998).

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::time::{Instant, Span};

/// Time between two rounds of messages.
pub const ROUND_INTERVAL: Span = Span::from_millis(400);
/// Recipients of a message in each round: one for each 40 machines, within these limits. A message
/// does not hold the heartbeats of all machines if the fleet has more than [`MAX_HEARTBEATS`].
pub const MIN_FAN_OUT: usize = 3;
const MACHINES_PER_RECIPIENT: usize = 40;
const MAX_FAN_OUT: usize = 8;
/// A machine with at least [`MIN_FAN_OUT`] others in its data centre sends to another data centre
/// in one of this many rounds, since traffic between data centres is billed.
const ROUNDS_PER_REMOTE_MESSAGE: usize = 2;
/// Heartbeats in a message, which keeps it within a datagram of 1,500 bytes.
pub const MAX_HEARTBEATS: usize = 120;
/// Machines that a message describes in full besides its sender. A reply goes to a machine that
/// does not know all and describes more.
pub const MAX_PEERS: usize = 2;
/// Like [`MAX_PEERS`], in a reply.
pub const MAX_REPLY_PEERS: usize = 16;
/// Weight of a round in the average demand, which covers about 3 s.
const DEMAND_SAMPLE_WEIGHT: f64 = 0.125;
/// Heartbeats received within this time go first in a message; older ones are known everywhere.
const FRESH_FOR: Span = Span::from_millis(1_200);
/// A machine without a new heartbeat for this time counts as dead. It is nine rounds: in tests with
/// fleets of 100 and lost messages, no live machine is taken for dead. With 300 machines and 5%
/// loss, some were.
pub const DEAD_AFTER: Span = Span::from_millis(3_600);
/// Rounds by which a heartbeat may be ahead of this machine's own: a day. A malformed one that is
/// further ahead would make the true heartbeats of its machine look old for ever.
const MAX_ROUNDS_AHEAD: u64 = 216_000;
/// A process that has run for less than this may not know all machines.
const SETTLING_TIME: Span = Span::from_secs(5);
/// The fleet size that is assumed until then: more than in any deployment. Processes that start
/// together know only a few others, and must not take more than their share of a limit.
const INITIAL_FLEET_SIZE: usize = 10_000;
/// A dead machine is removed after this time.
pub const FORGET_AFTER: Span = Span::from_secs(60);

/// A machine as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its address. Ports are the same on all machines.
    pub address: IpAddr,
    /// Its data centre.
    pub centre: String,
    /// How much work it can take, in units of the weakest machine.
    pub strength: u8,
    /// Its latest heartbeat.
    pub heartbeat: Heartbeat,
}

/// The state that a machine sends in each round.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Counter of its rounds. A process starts from the Unix time in rounds, so that its counter is
    /// above that of the previous process of the machine.
    pub round: u64,
    /// Whether it accepts requests.
    pub is_ready: bool,
    /// Tenths of a second for which the store has replied to it without interruption, capped at
    /// 255; 0 if the store does not reply.
    pub store_up_ds: u8,
    /// Requests a second that callers send to it.
    pub demand: u16,
}

impl Heartbeat {
    /// The first heartbeat of a process that starts at the Unix time `ms`.
    pub fn at_start(ms: u64) -> Heartbeat {
        Heartbeat { round: ms / ROUND_INTERVAL.as_millis(), ..Heartbeat::default() }
    }

    /// The minimum time for which the store has replied to the machine without interruption.
    pub fn store_uptime(&self) -> Span {
        Span::from_millis(u64::from(self.store_up_ds) * 100)
    }
}

/// A gossip message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Machines in full, the sender first.
    pub peers: Vec<Peer>,
    /// Heartbeats of other machines.
    pub heartbeats: Vec<Entry>,
    /// Whether the receiver should reply with a message of its own.
    pub wants_reply: bool,
}

/// The heartbeat of a machine other than the sender, in few bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Hash of the machine's name.
    key: [u8; 4],
    /// Its round less that of the sender. Both start from the Unix time.
    round_offset: i16,
    is_ready: bool,
    store_up_ds: u8,
    demand: u16,
}

impl Entry {
    /// None if the clocks of the two machines differ by hours.
    fn new(key: u32, heartbeat: &Heartbeat, sender_round: u64) -> Option<Entry> {
        let round_offset = heartbeat.round.wrapping_sub(sender_round).cast_signed();
        Some(Entry {
            key: key.to_le_bytes(),
            round_offset: i16::try_from(round_offset).ok()?,
            is_ready: heartbeat.is_ready,
            store_up_ds: heartbeat.store_up_ds,
            demand: heartbeat.demand,
        })
    }

    fn key(&self) -> u32 {
        u32::from_le_bytes(self.key)
    }

    fn heartbeat(&self, sender_round: u64) -> Heartbeat {
        Heartbeat {
            round: sender_round.wrapping_add_signed(self.round_offset.into()),
            is_ready: self.is_ready,
            store_up_ds: self.store_up_ds,
            demand: self.demand,
        }
    }
}

#[derive(Debug)]
struct KnownPeer {
    peer: Peer,
    heard_at: Instant,
}

impl KnownPeer {
    fn is_live(&self, now: Instant) -> bool {
        now.since(self.heard_at) < DEAD_AFTER
    }

    /// Records a heartbeat. Returns the name of the machine if it was not live before.
    fn update(&mut self, now: Instant, heartbeat: Heartbeat) -> Option<String> {
        if heartbeat.round <= self.peer.heartbeat.round {
            return None;
        }
        let was_live = self.is_live(now);
        self.peer.heartbeat = heartbeat;
        self.heard_at = now;
        (!was_live).then(|| self.peer.name.clone())
    }
}

/// The purpose of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Spreads heartbeats.
    Gossip,
    /// Also asks for a reply.
    Request,
    /// Replies to a request and describes more machines in full.
    Reply,
    /// Describes only the sender.
    Notice,
}

/// The machines that one machine knows.
#[derive(Debug)]
pub struct Membership {
    own: Peer,
    started_at: Instant,
    /// Other machines by the hash of their names.
    peers: HashMap<u32, KnownPeer>,
    demand: f64,
    /// Whether heartbeats of unknown machines have arrived.
    has_unknown_peers: bool,
}

fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Keeps `count` values at random, or all if there are fewer. `random` returns a number below its
/// argument.
fn sample<T>(values: &mut Vec<T>, count: usize, random: &mut impl FnMut(usize) -> usize) {
    let count = count.min(values.len());
    move_sample_to_front(values, count, random);
    values.truncate(count);
}

/// Moves `count` random values to the front.
fn move_sample_to_front<T>(
    values: &mut [T],
    count: usize,
    random: &mut impl FnMut(usize) -> usize,
) {
    for index in 0..count {
        let other = index + random(values.len() - index);
        values.swap(index, other);
    }
}

impl Membership {
    /// Creates a membership that knows only this machine, whose process starts now.
    pub fn new(now: Instant, own: Peer) -> Membership {
        Membership {
            own,
            started_at: now,
            peers: HashMap::new(),
            demand: 0.0,
            has_unknown_peers: false,
        }
    }

    /// This machine as it describes itself.
    pub fn own(&self) -> &Peer {
        &self.own
    }

    /// Starts a round: updates the state of this machine and counts up its heartbeat. `store` is
    /// the time for which the store has replied without interruption.
    pub fn start_round(&mut self, is_ready: bool, store: Span) {
        let heartbeat = &mut self.own.heartbeat;
        heartbeat.is_ready = is_ready;
        heartbeat.store_up_ds = (store.as_millis() / 100).min(u8::MAX.into()) as u8;
        heartbeat.round += 1;
    }

    /// Records that callers sent `requests` since the last round.
    pub fn record_requests(&mut self, requests: u64) {
        let rate = requests as f64 * 1e6 / ROUND_INTERVAL.as_micros() as f64;
        self.demand += (rate - self.demand) * DEMAND_SAMPLE_WEIGHT;
        self.own.heartbeat.demand = self.demand as u16;
    }

    /// Whether this round's messages should ask for replies, because this machine knows too few
    /// others or has received heartbeats of unknown ones.
    pub fn needs_replies(&mut self, now: Instant) -> bool {
        let knows_few = self.live_peers(now).nth(MIN_FAN_OUT - 1).is_none();
        std::mem::take(&mut self.has_unknown_peers) || knows_few
    }

    /// A message to another machine. `random` returns a number below its argument.
    pub fn message(
        &self,
        now: Instant,
        kind: Kind,
        mut random: impl FnMut(usize) -> usize,
    ) -> Message {
        let live = self.peers.iter().filter(|(_, known)| known.is_live(now));
        let mut live: Vec<(u32, &KnownPeer)> = live.map(|(&key, known)| (key, known)).collect();
        // The iteration order of the hash map depends on its random state.
        live.sort_unstable_by_key(|(key, _)| *key);
        let count = live.len();
        sample(&mut live, count, &mut random);
        live.sort_by_key(|(_, known)| now.since(known.heard_at) >= FRESH_FOR);
        let (peer_count, heartbeat_count) = match kind {
            Kind::Reply => (MAX_REPLY_PEERS, MAX_HEARTBEATS / 4),
            Kind::Gossip | Kind::Request => (MAX_PEERS, MAX_HEARTBEATS),
            Kind::Notice => (0, 0),
        };
        let wants_reply = kind == Kind::Request;
        // A new process needs the strong machines first: they relay the store's objects.
        let mut others: Vec<&KnownPeer> = live.iter().rev().map(|&(_, known)| known).collect();
        if kind == Kind::Reply {
            others.sort_by_key(|known| Reverse(known.peer.strength));
            let random_count = peer_count / 2;
            if let Some((_, rest)) = others.split_at_mut_checked(peer_count - random_count) {
                let count = random_count.min(rest.len());
                move_sample_to_front(rest, count, &mut random);
            }
        }
        let others = others.into_iter().take(peer_count).map(|known| known.peer.clone());
        let peers = std::iter::once(self.own.clone()).chain(others).collect();
        let round = self.own.heartbeat.round;
        let heartbeats = live
            .iter()
            .filter_map(|&(key, known)| Entry::new(key, &known.peer.heartbeat, round))
            .take(heartbeat_count);
        Message { peers, heartbeats: heartbeats.collect(), wants_reply }
    }

    /// Processes a message. Returns the names of machines that have become live.
    pub fn handle_message(&mut self, now: Instant, message: Message) -> Vec<String> {
        let mut found = Vec::new();
        let own_hash = name_hash(&self.own.name);
        let Some(sender) = message.peers.first() else { return found };
        let sender_round = sender.heartbeat.round;
        let latest_round = self.own.heartbeat.round.saturating_add(MAX_ROUNDS_AHEAD);
        if sender_round > latest_round {
            return found;
        }
        for entry in &message.heartbeats {
            let (key, heartbeat) = (entry.key(), entry.heartbeat(sender_round));
            match self.peers.get_mut(&key) {
                Some(known) => found.extend(known.update(now, heartbeat)),
                None => self.has_unknown_peers |= key != own_hash,
            }
        }
        for peer in message.peers {
            if peer.name == self.own.name || peer.heartbeat.round > latest_round {
                continue;
            }
            let key = name_hash(&peer.name);
            match self.peers.get_mut(&key) {
                Some(known) if peer.heartbeat.round > known.peer.heartbeat.round => {
                    found.extend(known.update(now, peer.heartbeat));
                    known.peer = peer;
                }
                Some(_) => {}
                None => {
                    found.push(peer.name.clone());
                    self.peers.insert(key, KnownPeer { peer, heard_at: now });
                }
            }
        }
        found
    }

    /// Removes machines that have been dead for [`FORGET_AFTER`]. Returns those that have died
    /// within `since`, the time since the last call.
    pub fn expire(&mut self, now: Instant, since: Span) -> Vec<String> {
        self.peers.retain(|_, known| now.since(known.heard_at) < FORGET_AFTER);
        let silence = |known: &KnownPeer| now.since(known.heard_at);
        let has_died = |known: &&KnownPeer| {
            let silence = silence(known);
            silence >= DEAD_AFTER && silence - since < DEAD_AFTER
        };
        self.peers.values().filter(has_died).map(|known| known.peer.name.clone()).collect()
    }

    /// The other live machines.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |known| known.is_live(now)).map(|known| &known.peer)
    }

    /// The other machines heard of within [`FORGET_AFTER`], dead ones too, each with the time since
    /// its last new heartbeat.
    pub fn known_peers(&self, now: Instant) -> impl Iterator<Item = (&Peer, Span)> {
        self.peers.values().map(move |known| (&known.peer, now.since(known.heard_at)))
    }

    /// The number of machines by which a fleet-wide limit is divided. It counts dead machines too,
    /// so that the limit holds even if machines disagree about which ones are live.
    pub fn fleet_size(&self, now: Instant) -> usize {
        let known = self.peers.len() + 1;
        if now.since(self.started_at) < SETTLING_TIME {
            known.max(INITIAL_FLEET_SIZE)
        } else {
            known
        }
    }

    /// This machine's part of a fleet-wide limit. Parts below one are given to so many machines, by
    /// the hash of their names, that the sum over all machines is about the limit.
    pub fn share(&self, now: Instant, limit: f64) -> usize {
        let rounding = f64::from(name_hash(&self.own.name)) / f64::from(u32::MAX);
        (limit / self.fleet_size(now) as f64 + rounding) as usize
    }

    /// Names of the live machines, this one included, in order.
    pub fn live_names(&self, now: Instant) -> Vec<String> {
        let mut names: Vec<String> = self.live_peers(now).map(|peer| peer.name.clone()).collect();
        names.push(self.own.name.clone());
        names.sort_unstable();
        names
    }

    /// Recipients of this round's message: live machines, most of them in the own data centre, and
    /// one dead machine, so that a healed partition is detected. `random` returns a number below
    /// its argument.
    pub fn recipients(&self, now: Instant, mut random: impl FnMut(usize) -> usize) -> Vec<IpAddr> {
        let (mut live, mut dead): (Vec<&KnownPeer>, Vec<&KnownPeer>) =
            self.peers.values().partition(|known| known.is_live(now));
        live.sort_unstable_by_key(|known| known.peer.address);
        dead.sort_unstable_by_key(|known| known.peer.address);
        let fan_out = (live.len() / MACHINES_PER_RECIPIENT).clamp(MIN_FAN_OUT, MAX_FAN_OUT);
        let (mut local, mut remote): (Vec<&KnownPeer>, Vec<&KnownPeer>) =
            live.into_iter().partition(|known| known.peer.centre == self.own.centre);
        sample(&mut local, fan_out, &mut random);
        let remote_count = match MIN_FAN_OUT.saturating_sub(local.len()) {
            0 => usize::from(random(ROUNDS_PER_REMOTE_MESSAGE) == 0),
            missing => missing,
        };
        sample(&mut remote, remote_count, &mut random);
        sample(&mut dead, 1, &mut random);
        local.into_iter().chain(remote).chain(dead).map(|known| known.peer.address).collect()
    }
}
