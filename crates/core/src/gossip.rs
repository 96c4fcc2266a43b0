//! Membership by gossip: which machines live, learned from heartbeat counters that machines pass on
//! to a few random others. The cost for a machine does not grow with the size of the fleet but for
//! the length of a message, which is bounded too.
//!
//! A machine whose counter has not risen for [`DEAD_AFTER`] counts as dead, whatever the reason. The
//! method is that of van Renesse, Minsky and Hayden, "A gossip-style failure detection service"
//! (Middleware 1998).

use std::collections::HashMap;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::time::{Instant, Span};

/// Time between two rounds of messages.
pub const ROUND_INTERVAL: Span = Span::from_millis(400);
/// Machines that get a message in each round: at least so many, and one for each 50 machines, up to
/// a limit. A message does not tell of all machines of a fleet of more than 80.
pub const FAN_OUT: usize = 3;
const FAN_OUT_MACHINES: usize = 50;
const FAN_OUT_LIMIT: usize = 8;
/// A machine with at least [`FAN_OUT`] others in its data centre sends a message to another data
/// centre in one round of so many only, since bytes between data centres are priced.
const FAR_ROUNDS: usize = 2;
/// Heartbeats that a message carries, which keeps it within one datagram of 1,500 bytes.
pub const MAX_HEARTBEATS: usize = 80;
/// Machines that a message describes in full beside its sender: a few, or more in a reply, which
/// goes to machines that do not know all.
pub const MAX_PEERS: usize = 2;
/// See [`MAX_PEERS`].
pub const MAX_REPLY_PEERS: usize = 16;
/// Weight of a round in the demand of a machine, which is so averaged over about 3 s.
const DEMAND_WEIGHT: f64 = 0.125;
/// Heartbeats younger than this go first in a message; older ones are known everywhere.
const FRESH: Span = Span::from_millis(1_200);
/// A machine that nothing was heard of for this long counts as dead. Nine rounds; the tests play
/// fleets of 100 with lost messages in which no live machine is taken for dead. In a trial with
/// 300 machines and 5% loss, some live ones were.
pub const DEAD_AFTER: Span = Span::from_millis(3_600);
/// A process that has run for less than this may not know all machines.
const SETTLED_AFTER: Span = Span::from_secs(3);
/// The size that a fleet is taken to have until then: more than any deployment's today.
const FIRST_SIZE: usize = 100;
/// A dead machine is forgotten after this time.
pub const FORGET_AFTER: Span = Span::from_secs(60);

/// A machine, as it tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its address; ports are the same on all machines.
    pub address: IpAddr,
    /// Its data centre.
    pub centre: String,
    /// What it tells anew in each round.
    pub heartbeat: Heartbeat,
}

/// A heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Counts its rounds. A process starts from the Unix time in rounds, so that it goes on after
    /// the count of the machine's process before it.
    pub round: u64,
    /// Whether it takes requests.
    pub is_ready: bool,
    /// Tenths of a second for which the store has answered it without a break, 255 at most; 0 if it
    /// does not answer.
    pub store_up_ds: u8,
    /// Requests a second that callers send it.
    pub demand: u16,
}

impl Heartbeat {
    /// The heartbeat of a process that starts at the Unix time `ms`.
    pub fn at_start(ms: u64) -> Heartbeat {
        Heartbeat { round: ms / ROUND_INTERVAL.as_millis(), ..Heartbeat::default() }
    }

    /// The least time for which the store has answered the machine without a break.
    pub fn store_uptime(&self) -> Span {
        Span::from_millis(u64::from(self.store_up_ds) * 100)
    }
}

/// What one machine tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Machines, the sender first.
    pub peers: Vec<Peer>,
    /// Heartbeats of others by the hash of their names.
    pub heartbeats: Vec<(u32, Heartbeat)>,
    /// Whether the receiver should answer with a message of its own.
    pub wants_reply: bool,
}

#[derive(Debug)]
struct Known {
    peer: Peer,
    heard_at: Instant,
}

impl Known {
    fn is_live(&self, now: Instant) -> bool {
        now.since(self.heard_at) < DEAD_AFTER
    }

    /// Takes in a heartbeat. Returns the name if the machine was not live before.
    fn take(&mut self, now: Instant, heartbeat: Heartbeat) -> Option<String> {
        if heartbeat.round <= self.peer.heartbeat.round {
            return None;
        }
        let was_live = self.is_live(now);
        self.peer.heartbeat = heartbeat;
        self.heard_at = now;
        (!was_live).then(|| self.peer.name.clone())
    }
}

/// What a message is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// It tells of machines.
    Gossip,
    /// It asks for a reply too.
    Request,
    /// It answers a question and describes more machines in full.
    Reply,
}

/// The machines that one machine knows.
#[derive(Debug)]
pub struct Membership {
    own: Peer,
    started: Instant,
    /// Other machines by the hash of their names.
    peers: HashMap<u32, Known>,
    demand: f64,
    /// Whether heartbeats of machines came that are not known.
    has_strangers: bool,
}

fn key(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Moves `count` values, or all, that `random` picks to the front, and drops the others.
fn sample<T>(values: &mut Vec<T>, count: usize, random: &mut impl FnMut(usize) -> usize) {
    let count = count.min(values.len());
    for index in 0..count {
        let other = index + random(values.len() - index);
        values.swap(index, other);
    }
    values.truncate(count);
}

impl Membership {
    /// Knows only the machine `own`, whose process starts now.
    pub fn new(now: Instant, own: Peer) -> Membership {
        Membership { own, started: now, peers: HashMap::new(), demand: 0.0, has_strangers: false }
    }

    /// This machine.
    pub fn own(&self) -> &Peer {
        &self.own
    }

    /// Changes what this machine tells of itself, and starts a round.
    pub fn start_round(&mut self, is_ready: bool, store: Span) {
        let heartbeat = &mut self.own.heartbeat;
        heartbeat.is_ready = is_ready;
        heartbeat.store_up_ds = (store.as_millis() / 100).min(u8::MAX.into()) as u8;
        heartbeat.round += 1;
    }

    /// Takes in that callers sent `requests` since the last round.
    pub fn record_requests(&mut self, requests: u64) {
        let rate = requests as f64 * 1e6 / ROUND_INTERVAL.as_micros() as f64;
        self.demand += (rate - self.demand) * DEMAND_WEIGHT;
        self.own.heartbeat.demand = self.demand as u16;
    }

    /// Whether the messages of this round should ask for replies: there are machines that this one
    /// does not know, or it knows too few.
    pub fn needs_replies(&mut self, now: Instant) -> bool {
        let has_few = self.live_peers(now).nth(FAN_OUT - 1).is_none();
        std::mem::take(&mut self.has_strangers) || has_few
    }

    /// A message for another machine. `random` gives a number below its argument.
    pub fn message(
        &self,
        now: Instant,
        kind: MessageKind,
        mut random: impl FnMut(usize) -> usize,
    ) -> Message {
        let live = self.peers.iter().filter(|(_, known)| known.is_live(now));
        let mut live: Vec<(u32, &Known)> = live.map(|(&key, known)| (key, known)).collect();
        // In the order of the hash map, the choice would depend on its random state.
        live.sort_unstable_by_key(|(key, _)| *key);
        let count = live.len();
        sample(&mut live, count, &mut random);
        live.sort_by_key(|(_, known)| now.since(known.heard_at) >= FRESH);
        let (described, heartbeats) = match kind {
            MessageKind::Reply => (MAX_REPLY_PEERS, MAX_HEARTBEATS / 4),
            MessageKind::Gossip | MessageKind::Request => (MAX_PEERS, MAX_HEARTBEATS),
        };
        let wants_reply = kind == MessageKind::Request;
        let others = live.iter().rev().take(described).map(|(_, known)| known.peer.clone());
        let peers = std::iter::once(self.own.clone()).chain(others).collect();
        let heartbeats =
            live.iter().take(heartbeats).map(|&(key, known)| (key, known.peer.heartbeat));
        Message { peers, heartbeats: heartbeats.collect(), wants_reply }
    }

    /// Takes in a message. Returns the names of machines that were not live before and are now.
    pub fn receive(&mut self, now: Instant, message: Message) -> Vec<String> {
        let mut found = Vec::new();
        let own_key = key(&self.own.name);
        for (key, heartbeat) in message.heartbeats {
            match self.peers.get_mut(&key) {
                Some(known) => found.extend(known.take(now, heartbeat)),
                None => self.has_strangers |= key != own_key,
            }
        }
        for peer in message.peers {
            if peer.name == self.own.name {
                continue;
            }
            let key = key(&peer.name);
            match self.peers.get_mut(&key) {
                Some(known) if peer.heartbeat.round > known.peer.heartbeat.round => {
                    found.extend(known.take(now, peer.heartbeat));
                    known.peer = peer;
                }
                Some(_) => {}
                None => {
                    found.push(peer.name.clone());
                    self.peers.insert(key, Known { peer, heard_at: now });
                }
            }
        }
        found
    }

    /// Forgets machines that have been dead for long. Returns those that have just died: silent
    /// for at least [`DEAD_AFTER`] but, `since` the last call, not longer.
    pub fn expire(&mut self, now: Instant, since: Span) -> Vec<String> {
        self.peers.retain(|_, known| now.since(known.heard_at) < FORGET_AFTER);
        let silence = |known: &Known| now.since(known.heard_at);
        let has_died = |known: &&Known| {
            let silence = silence(known);
            silence >= DEAD_AFTER && silence - since < DEAD_AFTER
        };
        self.peers.values().filter(has_died).map(|known| known.peer.name.clone()).collect()
    }

    /// The other machines that live.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |known| known.is_live(now)).map(|known| &known.peer)
    }

    /// The number of machines that a limit of the whole fleet is divided by: all that are known, the
    /// dead ones too, so that the parts of machines that do not agree on who lives stay within it.
    pub fn fleet_size(&self, now: Instant) -> usize {
        let known = self.peers.len() + 1;
        if now.since(self.started) < SETTLED_AFTER { known.max(FIRST_SIZE) } else { known }
    }

    /// Names of the live machines, with this one, in order.
    pub fn live_names(&self, now: Instant) -> Vec<String> {
        let mut names: Vec<String> = self.live_peers(now).map(|peer| peer.name.clone()).collect();
        names.push(self.own.name.clone());
        names.sort_unstable();
        names
    }

    /// Machines to send this round's message to: live ones, most of them in the own data centre, and
    /// one that seems dead, so that a healed partition is noticed. `random` gives a number below its
    /// argument.
    pub fn recipients(&self, now: Instant, mut random: impl FnMut(usize) -> usize) -> Vec<IpAddr> {
        let (mut live, mut dead): (Vec<&Known>, Vec<&Known>) =
            self.peers.values().partition(|known| known.is_live(now));
        live.sort_unstable_by_key(|known| known.peer.address);
        dead.sort_unstable_by_key(|known| known.peer.address);
        let fan_out = (live.len() / FAN_OUT_MACHINES).clamp(FAN_OUT, FAN_OUT_LIMIT);
        let (mut near, mut far): (Vec<&Known>, Vec<&Known>) =
            live.into_iter().partition(|known| known.peer.centre == self.own.centre);
        sample(&mut near, fan_out, &mut random);
        let far_count = match FAN_OUT.saturating_sub(near.len()) {
            0 => usize::from(random(FAR_ROUNDS) == 0),
            missing => missing,
        };
        sample(&mut far, far_count, &mut random);
        sample(&mut dead, 1, &mut random);
        near.into_iter().chain(far).chain(dead).map(|known| known.peer.address).collect()
    }
}
