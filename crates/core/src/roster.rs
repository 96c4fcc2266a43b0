//! Live entries, and which of them does what.
//!
//! Heartbeats decide which entries are live. The VM list lags, so it only names entries to connect
//! to, marks leaving ones early, and tells the seats which VMs have stopped.
//!
//! Rendezvous hashing over names makes the choices: each candidate gets a weight from its own name
//! and the subject's name, and the largest weight wins. A change of membership therefore moves only
//! the subjects of the entry that came or went. Names are hashed instead of keys because keys are
//! positions in a policy document, and two entries may have different documents in force.

use std::fmt;
use std::str::FromStr;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::{Arena, EntryId, RegionId, ServiceId};
use crate::policy::Document;
use crate::time::{Instant, Span};

/// Silence after which an entry is not live. Heartbeats come every 500 ms, so three in a row may be
/// lost.
pub const HEARTBEAT_TIMEOUT: Span = Span::from_secs(2);

/// Silence after which a heartbeat is overdue: one interval of 500 ms and the longest way, with
/// some reserve for a busy machine.
pub const HEARTBEAT_OVERDUE_AFTER: Span = Span::from_millis(700);

/// Silence after which a lower incarnation of an entry is believed. Incarnations come from the wall
/// clock at the start of a process; a clock that was set back must not hide the entry for ever.
pub const INCARNATION_TIMEOUT: Span = Span::from_secs(20);

/// Tells the processes that run under one entry name after each other apart. A later process has a
/// higher number; it is written in base 36.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut digits = [0; 13];
        let mut start = digits.len();
        let mut rest = self.0;
        loop {
            start -= 1;
            digits[start] = b"0123456789abcdefghijklmnopqrstuvwxyz"[(rest % 36) as usize];
            rest /= 36;
            if rest == 0 {
                break;
            }
        }
        f.write_str(std::str::from_utf8(&digits[start..]).unwrap_or_default())
    }
}

impl FromStr for Incarnation {
    type Err = ParseProcessError;

    fn from_str(text: &str) -> Result<Incarnation, ParseProcessError> {
        // `from_str_radix` accepts a sign and capitals, which would give one number two texts.
        let is_canonical = text.bytes().all(|b| b.is_ascii_digit() || b.is_ascii_lowercase())
            && (text == "0" || !text.starts_with('0'));
        let number = u64::from_str_radix(text, 36).map_err(|_| ParseProcessError)?;
        if is_canonical { Ok(Incarnation(number)) } else { Err(ParseProcessError) }
    }
}

/// One process of an entry, written `<entry>.<incarnation>`.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Process {
    /// The entry's name.
    pub name: String,
    /// Which of the entry's processes it is.
    pub incarnation: Incarnation,
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.name, self.incarnation)
    }
}

impl FromStr for Process {
    type Err = ParseProcessError;

    fn from_str(text: &str) -> Result<Process, ParseProcessError> {
        // Names have no dots.
        let (name, incarnation) = text.split_once('.').ok_or(ParseProcessError)?;
        if name.is_empty() {
            return Err(ParseProcessError);
        }
        Ok(Process { name: name.to_owned(), incarnation: incarnation.parse()? })
    }
}

/// A text that is not `<entry>.<incarnation>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseProcessError;

impl fmt::Display for ParseProcessError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not <entry>.<incarnation>")
    }
}

impl std::error::Error for ParseProcessError {}

/// The heartbeat frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sending process.
    pub process: Process,
    /// Grows with each frame of the process.
    pub sequence: u64,
    /// The data centre that the process runs in.
    pub data_centre: String,
    /// Whether the process is about to stop and takes no new work.
    pub leaving: bool,
    /// The version of the policy document in force, 0 for none.
    pub version: u64,
    /// The highest epoch of the steward lease that the process has seen.
    pub steward_epoch: u64,
    /// The pools that the process owns.
    pub pools: Vec<PoolStatus>,
    /// Leaving targets that still run requests of the process.
    pub draining: Vec<DrainingTarget>,
}

/// A leaving target with requests in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainingTarget {
    /// The target's name.
    pub target: String,
    /// Requests that it still runs for the sender.
    pub in_flight: u32,
}

/// One owned pool in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The service's name.
    pub service: String,
    /// The region's name.
    pub region: String,
    /// Slots that are free by the owner's own evidence.
    pub free: u32,
    /// Jobs that are waiting.
    pub queued: u32,
}

/// One entry of the VM list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListedVm<'l> {
    /// The VM's name, which is the entry's name.
    pub name: &'l str,
    /// The data centre that the VM runs in.
    pub data_centre: &'l str,
    /// Whether the platform is about to stop the VM.
    pub leaving: bool,
}

/// What became of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It is the newest one of the entry.
    Accepted(EntryId),
    /// A newer sequence or incarnation is known.
    Stale,
}

/// A pool as the subject of a choice. Made by [`PoolKey::new`], once for a policy document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PoolKey {
    region: RegionId,
    seed: u64,
}

impl PoolKey {
    /// The key of `service` in `region` of `document`.
    pub fn new(document: &Document, service: ServiceId, region: RegionId) -> PoolKey {
        let service = &document.services[service].name;
        let name = format!("{service}/{}", document.regions[region].name);
        PoolKey { region, seed: xxh3_64(name.as_bytes()) }
    }
}

#[derive(Debug)]
struct Entry {
    name: String,
    /// Hash of the name, the entry's part of each weight.
    seed: u64,
    data_centre: String,
    region: Option<RegionId>,
    list: Listing,
    beat: Option<Beat>,
}

#[derive(Debug, Clone, Copy)]
enum Listing {
    /// The VM list has not named it yet.
    Never,
    Live,
    Leaving,
    /// The list named it before; lists from `since` to `confirmed` did not.
    Absent {
        since: Instant,
        confirmed: Instant,
    },
}

#[derive(Debug, Clone, Copy)]
struct Beat {
    at: Instant,
    incarnation: Incarnation,
    sequence: u64,
    leaving: bool,
    version: u64,
}

/// The entries that one process knows.
#[derive(Debug)]
pub struct Roster {
    own: EntryId,
    is_leaving: bool,
    entries: Arena<EntryId, Entry>,
    names: FxHashMap<String, EntryId>,
}

impl Roster {
    /// The roster of the entry called `name`, which knows only itself.
    pub fn new(name: &str, data_centre: &str) -> Roster {
        let mut roster = Roster {
            own: EntryId(0),
            is_leaving: false,
            entries: Arena::new(),
            names: FxHashMap::default(),
        };
        roster.own = roster.entry_of(name, data_centre);
        roster
    }

    /// The key of this process's own entry.
    pub const fn local_entry(&self) -> EntryId {
        self.own
    }

    /// The key of the entry called `name`.
    pub fn entry(&self, name: &str) -> Option<EntryId> {
        self.names.get(name).copied()
    }

    /// The name of `entry`.
    pub fn name(&self, entry: EntryId) -> &str {
        &self.entries[entry].name
    }

    /// Marks this process as leaving, so that it chooses others.
    pub const fn set_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Finds the region of each entry in `document`. Call it for each document that comes into
    /// force; until then no entry has a region.
    pub fn resolve_regions(&mut self, document: &Document) {
        for index in 0..self.entries.len() {
            let entry = &mut self.entries[EntryId(index as u32)];
            let centre = document.centre(&entry.data_centre);
            entry.region = centre.map(|centre| document.region_of(centre));
        }
    }

    /// Takes in a whole VM list. Returns whether it named an entry that was not known, which
    /// [`Roster::resolve_regions`] has to see.
    pub fn handle_vm_list<'l>(
        &mut self,
        now: Instant,
        list: impl IntoIterator<Item = ListedVm<'l>>,
    ) -> bool {
        let known = self.entries.len();
        for index in 0..known {
            let entry = &mut self.entries[EntryId(index as u32)];
            entry.list = match entry.list {
                Listing::Never => Listing::Never,
                Listing::Live | Listing::Leaving => Listing::Absent { since: now, confirmed: now },
                Listing::Absent { since, .. } => Listing::Absent { since, confirmed: now },
            };
        }
        for listed in list {
            let key = self.entry_of(listed.name, listed.data_centre);
            let list = if listed.leaving { Listing::Leaving } else { Listing::Live };
            self.entries[key].list = list;
        }
        self.entries.len() > known
    }

    /// Takes in a heartbeat. An entry that was not known needs [`Roster::resolve_regions`].
    pub fn handle_heartbeat(&mut self, now: Instant, status: &Heartbeat) -> HeartbeatOutcome {
        let key = self.entry_of(&status.process.name, &status.data_centre);
        let incarnation = status.process.incarnation;
        if let Some(beat) = self.entries[key].beat {
            let is_late = now.since(beat.at) < INCARNATION_TIMEOUT;
            let is_old = (incarnation < beat.incarnation && is_late)
                || (incarnation == beat.incarnation && status.sequence <= beat.sequence);
            if is_old {
                return HeartbeatOutcome::Stale;
            }
        }
        self.entries[key].beat = Some(Beat {
            at: now,
            incarnation,
            sequence: status.sequence,
            leaving: status.leaving,
            version: status.version,
        });
        HeartbeatOutcome::Accepted(key)
    }

    /// Whether `entry` was heard in time.
    pub fn is_live(&self, now: Instant, entry: EntryId) -> bool {
        let is_heard = |beat: Beat| now.since(beat.at) < HEARTBEAT_TIMEOUT;
        entry == self.own || self.entries[entry].beat.is_some_and(is_heard)
    }

    /// Whether a heartbeat of `entry` is overdue. It may have died; no new work is sent there, but
    /// it keeps its pools until [`HEARTBEAT_TIMEOUT`], so that one lost frame moves no queue.
    pub fn is_overdue(&self, now: Instant, entry: EntryId) -> bool {
        let is_late = |beat: Beat| now.since(beat.at) >= HEARTBEAT_OVERDUE_AFTER;
        entry != self.own && self.entries[entry].beat.is_none_or(is_late)
    }

    /// Whether `entry` is live and takes new work.
    pub fn is_ready(&self, now: Instant, entry: EntryId) -> bool {
        let Entry { list, beat, .. } = &self.entries[entry];
        let is_leaving = matches!(list, Listing::Leaving)
            || beat.is_some_and(|beat| beat.leaving)
            || (entry == self.own && self.is_leaving);
        !is_leaving && self.is_live(now, entry)
    }

    /// The policy version that `entry` last told, 0 for none.
    pub fn policy_version(&self, entry: EntryId) -> u64 {
        self.entries[entry].beat.map_or(0, |beat| beat.version)
    }

    /// The newest incarnation of `entry` that was heard.
    pub fn incarnation(&self, entry: EntryId) -> Option<Incarnation> {
        self.entries[entry].beat.map(|beat| beat.incarnation)
    }

    /// How long consecutive VM lists have left `entry` out, if an earlier one named it. Time since
    /// the last list does not count.
    pub fn absence(&self, entry: EntryId) -> Option<Span> {
        match self.entries[entry].list {
            Listing::Absent { since, confirmed } => Some(confirmed.since(since)),
            _ => None,
        }
    }

    /// The live entries of a data centre, this process included.
    pub fn live_entries_in(
        &self,
        now: Instant,
        data_centre: &str,
    ) -> impl Iterator<Item = EntryId> {
        let is_there = move |&entry: &EntryId| {
            self.entries[entry].data_centre == data_centre && self.is_live(now, entry)
        };
        self.keys().filter(is_there)
    }

    /// Entries that take new work, in no order that other processes share.
    pub fn ready_entries(&self, now: Instant) -> impl Iterator<Item = EntryId> {
        self.keys().filter(move |&entry| self.is_ready(now, entry))
    }

    /// The entry that owns `pool`.
    pub fn owner(&self, now: Instant, pool: PoolKey) -> Option<EntryId> {
        self.top_two(pool.seed, |key, entry| {
            entry.region == Some(pool.region) && self.is_ready(now, key)
        })[0]
    }

    /// The entries that watch the store for `data_centre`. They need no policy document, because
    /// a process without one has to find its watchers too.
    pub fn watchers(&self, now: Instant, data_centre: &str) -> [Option<EntryId>; 2] {
        self.top_two(xxh3_64(data_centre.as_bytes()), |key, entry| {
            entry.data_centre == data_centre && self.is_ready(now, key)
        })
    }

    /// The two candidates with the largest weights for `seed`.
    fn top_two(
        &self,
        seed: u64,
        is_candidate: impl Fn(EntryId, &Entry) -> bool,
    ) -> [Option<EntryId>; 2] {
        let mut top: [Option<(u64, &str, EntryId)>; 2] = [None; 2];
        for (key, entry) in self.entries.iter() {
            if !is_candidate(key, entry) {
                continue;
            }
            // The name decides between equal weights, because keys differ between processes.
            let this = Some((weight(seed, entry.seed), entry.name.as_str(), key));
            if this > top[0] {
                top = [this, top[0]];
            } else if this > top[1] {
                top[1] = this;
            }
        }
        top.map(|one| one.map(|(_, _, key)| key))
    }

    fn keys(&self) -> impl Iterator<Item = EntryId> + use<> {
        (0..self.entries.len() as u32).map(EntryId)
    }

    fn entry_of(&mut self, name: &str, data_centre: &str) -> EntryId {
        if let Some(&key) = self.names.get(name) {
            return key;
        }
        let key = self.entries.push(Entry {
            name: name.to_owned(),
            seed: xxh3_64(name.as_bytes()),
            data_centre: data_centre.to_owned(),
            region: None,
            list: Listing::Never,
            beat: None,
        });
        self.names.insert(name.to_owned(), key);
        key
    }
}

/// The weight of one candidate for one subject.
fn weight(subject: u64, candidate: u64) -> u64 {
    let mut pair = [0; 16];
    pair[..8].copy_from_slice(&subject.to_le_bytes());
    pair[8..].copy_from_slice(&candidate.to_le_bytes());
    xxh3_64(&pair)
}
