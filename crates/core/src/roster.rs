//! Live entries, and the choice of entries for pools and store watches.
//!
//! Heartbeats decide which entries are live. The VM list lags behind, so it only names entries to
//! connect to, marks leaving ones early, and shows the seats which VMs have stopped.
//!
//! Choices use rendezvous hashing of names: each candidate gets a weight from its own name and the
//! subject's name, and the largest weight wins. A membership change therefore moves only the
//! subjects of the entry that joined or left. Names are hashed instead of ids, because ids are
//! positions in a policy document and two entries may have different documents in force.

use std::fmt;
use std::str::FromStr;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::{Arena, EntryId, RegionId, ServiceId};
use crate::policy::Document;
use crate::time::{Instant, Span};

/// The time without a heartbeat after which an entry is not live. Heartbeats are sent every 500 ms,
/// so three in a row may be lost.
pub const HEARTBEAT_TIMEOUT: Span = Span::from_secs(2);

/// The time without a heartbeat after which the next one is overdue: one interval of 500 ms and the
/// longest one-way latency, with some reserve for a busy machine.
pub const HEARTBEAT_OVERDUE_AFTER: Span = Span::from_millis(700);

/// The time without a heartbeat after which a lower incarnation of an entry is accepted.
/// Incarnations are taken from the wall clock at process start; a clock that was set back must not
/// hide the entry forever.
pub const INCARNATION_TIMEOUT: Span = Span::from_secs(20);

/// Distinguishes successive processes of one entry. A later process has a higher number. Written in
/// base 36.
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
        let mut remaining = self.0;
        loop {
            start -= 1;
            digits[start] = b"0123456789abcdefghijklmnopqrstuvwxyz"[(remaining % 36) as usize];
            remaining /= 36;
            if remaining == 0 {
                break;
            }
        }
        f.write_str(std::str::from_utf8(&digits[start..]).unwrap_or_default())
    }
}

impl FromStr for Incarnation {
    type Err = ParseProcessError;

    fn from_str(text: &str) -> Result<Incarnation, ParseProcessError> {
        // `from_str_radix` also accepts a sign and capitals, so a number would have several texts.
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
    /// Which of the entry's processes this is.
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
        // Entry names contain no dots.
        let (name, incarnation) = text.split_once('.').ok_or(ParseProcessError)?;
        if name.is_empty() {
            return Err(ParseProcessError);
        }
        Ok(Process { name: name.to_owned(), incarnation: incarnation.parse()? })
    }
}

/// The error for a text that is not `<entry>.<incarnation>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseProcessError;

impl fmt::Display for ParseProcessError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not <entry>.<incarnation>")
    }
}

impl std::error::Error for ParseProcessError {}

/// The heartbeat message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sending process.
    pub process: Process,
    /// Increases with each heartbeat of the process.
    pub sequence: u64,
    /// The data centre that the process runs in.
    pub data_centre: String,
    /// Whether the process is about to stop and accepts no new requests.
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
    /// The number of requests that it still runs for the sender.
    pub in_flight: u32,
}

/// One owned pool in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The service's name.
    pub service: String,
    /// The region's name.
    pub region: String,
    /// The number of slots that the owner knows to be free.
    pub free: u32,
    /// The number of queued requests.
    pub queued: u32,
}

/// One VM of the VM list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListedVm<'l> {
    /// The VM's name, which is the entry's name.
    pub name: &'l str,
    /// The data centre that the VM runs in.
    pub data_centre: &'l str,
    /// Whether the platform is about to stop the VM.
    pub leaving: bool,
}

/// The outcome of handling a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is the newest one of this entry.
    Accepted(EntryId),
    /// A newer sequence number or incarnation is known.
    Stale,
}

/// A pool as a subject of rendezvous hashing. Computed once per policy document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PoolKey {
    region: RegionId,
    name_hash: u64,
}

impl PoolKey {
    /// The key of `service` in `region` of `document`.
    pub fn new(document: &Document, service: ServiceId, region: RegionId) -> PoolKey {
        let service = &document.services[service].name;
        let name = format!("{service}/{}", document.regions[region].name);
        PoolKey { region, name_hash: xxh3_64(name.as_bytes()) }
    }
}

#[derive(Debug)]
struct Entry {
    name: String,
    /// The entry's input to each weight.
    name_hash: u64,
    data_centre: String,
    region: Option<RegionId>,
    listing: Listing,
    last_heartbeat: Option<LastHeartbeat>,
}

#[derive(Debug, Clone, Copy)]
enum Listing {
    /// No VM list has contained it yet.
    NeverListed,
    Live,
    Leaving,
    /// An earlier list contained it; the lists from `since` to `confirmed` did not.
    Absent {
        since: Instant,
        confirmed: Instant,
    },
}

#[derive(Debug, Clone, Copy)]
struct LastHeartbeat {
    at: Instant,
    incarnation: Incarnation,
    sequence: u64,
    leaving: bool,
    version: u64,
}

/// The entries known to one process.
#[derive(Debug)]
pub struct Roster {
    local_entry: EntryId,
    is_leaving: bool,
    entries: Arena<EntryId, Entry>,
    names: FxHashMap<String, EntryId>,
}

impl Roster {
    /// The roster of the entry named `name`, which knows only itself.
    pub fn new(name: &str, data_centre: &str) -> Roster {
        let mut roster = Roster {
            local_entry: EntryId(0),
            is_leaving: false,
            entries: Arena::new(),
            names: FxHashMap::default(),
        };
        roster.local_entry = roster.entry_or_insert(name, data_centre);
        roster
    }

    /// The id of this process's own entry.
    pub const fn local_entry(&self) -> EntryId {
        self.local_entry
    }

    /// The id of the entry named `name`.
    pub fn entry(&self, name: &str) -> Option<EntryId> {
        self.names.get(name).copied()
    }

    /// The name of `entry`.
    pub fn name(&self, entry: EntryId) -> &str {
        &self.entries[entry].name
    }

    /// Marks this process as leaving, so that it no longer chooses itself.
    pub const fn set_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Looks up the region of each entry in `document`. Must be called for each document that comes
    /// into force. Until the first call, no entry has a region.
    pub fn resolve_regions(&mut self, document: &Document) {
        for index in 0..self.entries.len() {
            let entry = &mut self.entries[EntryId(index as u32)];
            let centre = document.centre(&entry.data_centre);
            entry.region = centre.map(|centre| document.region_of(centre));
        }
    }

    /// Handles a complete VM list. Returns whether it contains an unknown entry, after which
    /// [`Roster::resolve_regions`] must be called.
    pub fn handle_vm_list<'l>(
        &mut self,
        now: Instant,
        list: impl IntoIterator<Item = ListedVm<'l>>,
    ) -> bool {
        let known = self.entries.len();
        for index in 0..known {
            let entry = &mut self.entries[EntryId(index as u32)];
            entry.listing = match entry.listing {
                Listing::NeverListed => Listing::NeverListed,
                Listing::Live | Listing::Leaving => Listing::Absent { since: now, confirmed: now },
                Listing::Absent { since, .. } => Listing::Absent { since, confirmed: now },
            };
        }
        for listed in list {
            let id = self.entry_or_insert(listed.name, listed.data_centre);
            let listing = if listed.leaving { Listing::Leaving } else { Listing::Live };
            self.entries[id].listing = listing;
        }
        self.entries.len() > known
    }

    /// Handles a heartbeat. If its entry was unknown, [`Roster::resolve_regions`] must be called.
    pub fn handle_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatOutcome {
        let id = self.entry_or_insert(&heartbeat.process.name, &heartbeat.data_centre);
        let incarnation = heartbeat.process.incarnation;
        if let Some(last) = self.entries[id].last_heartbeat {
            let is_last_recent = now.since(last.at) < INCARNATION_TIMEOUT;
            let is_stale = (incarnation < last.incarnation && is_last_recent)
                || (incarnation == last.incarnation && heartbeat.sequence <= last.sequence);
            if is_stale {
                return HeartbeatOutcome::Stale;
            }
        }
        self.entries[id].last_heartbeat = Some(LastHeartbeat {
            at: now,
            incarnation,
            sequence: heartbeat.sequence,
            leaving: heartbeat.leaving,
            version: heartbeat.version,
        });
        HeartbeatOutcome::Accepted(id)
    }

    /// Whether the last heartbeat of `entry` is within [`HEARTBEAT_TIMEOUT`].
    pub fn is_live(&self, now: Instant, entry: EntryId) -> bool {
        let is_recent = |heartbeat: LastHeartbeat| now.since(heartbeat.at) < HEARTBEAT_TIMEOUT;
        entry == self.local_entry || self.entries[entry].last_heartbeat.is_some_and(is_recent)
    }

    /// Whether a heartbeat of `entry` is overdue. The entry may have failed, so it gets no new
    /// requests, but it keeps its pools until [`HEARTBEAT_TIMEOUT`] so that one lost heartbeat
    /// moves no queue.
    pub fn is_overdue(&self, now: Instant, entry: EntryId) -> bool {
        let is_late = |heartbeat: LastHeartbeat| now.since(heartbeat.at) >= HEARTBEAT_OVERDUE_AFTER;
        entry != self.local_entry && self.entries[entry].last_heartbeat.is_none_or(is_late)
    }

    /// Whether `entry` is live and accepts new requests.
    pub fn is_ready(&self, now: Instant, entry: EntryId) -> bool {
        let Entry { listing, last_heartbeat, .. } = &self.entries[entry];
        let is_leaving = matches!(listing, Listing::Leaving)
            || last_heartbeat.is_some_and(|heartbeat| heartbeat.leaving)
            || (entry == self.local_entry && self.is_leaving);
        !is_leaving && self.is_live(now, entry)
    }

    /// The policy version that `entry` last reported, 0 for none.
    pub fn policy_version(&self, entry: EntryId) -> u64 {
        self.entries[entry].last_heartbeat.map_or(0, |heartbeat| heartbeat.version)
    }

    /// The incarnation in the last accepted heartbeat of `entry`.
    pub fn incarnation(&self, entry: EntryId) -> Option<Incarnation> {
        self.entries[entry].last_heartbeat.map(|heartbeat| heartbeat.incarnation)
    }

    /// How long `entry` has been missing from consecutive VM lists, if an earlier one contained it.
    /// The time since the last list does not count.
    pub fn absence(&self, entry: EntryId) -> Option<Span> {
        match self.entries[entry].listing {
            Listing::Absent { since, confirmed } => Some(confirmed.since(since)),
            _ => None,
        }
    }

    /// The live entries of a data centre, including this process.
    pub fn live_entries_in(
        &self,
        now: Instant,
        data_centre: &str,
    ) -> impl Iterator<Item = EntryId> {
        let is_in_centre = move |&entry: &EntryId| {
            self.entries[entry].data_centre == data_centre && self.is_live(now, entry)
        };
        self.entry_ids().filter(is_in_centre)
    }

    /// The entries that accept new requests. The order differs between processes.
    pub fn ready_entries(&self, now: Instant) -> impl Iterator<Item = EntryId> {
        self.entry_ids().filter(move |&entry| self.is_ready(now, entry))
    }

    /// The entry that owns `pool`.
    pub fn owner(&self, now: Instant, pool: PoolKey) -> Option<EntryId> {
        self.top_two(pool.name_hash, |id, entry| {
            entry.region == Some(pool.region) && self.is_ready(now, id)
        })[0]
    }

    /// The entries that watch the store for `data_centre`. The choice needs no policy document,
    /// because a process without one also has to find its watchers.
    pub fn watchers(&self, now: Instant, data_centre: &str) -> [Option<EntryId>; 2] {
        self.top_two(xxh3_64(data_centre.as_bytes()), |id, entry| {
            entry.data_centre == data_centre && self.is_ready(now, id)
        })
    }

    /// The two candidates with the largest weights for `subject_hash`.
    fn top_two(
        &self,
        subject_hash: u64,
        is_candidate: impl Fn(EntryId, &Entry) -> bool,
    ) -> [Option<EntryId>; 2] {
        let mut top: [Option<(u64, &str, EntryId)>; 2] = [None; 2];
        for (id, entry) in self.entries.iter() {
            if !is_candidate(id, entry) {
                continue;
            }
            // The name breaks ties, because ids differ between processes.
            let candidate = Some((weight(subject_hash, entry.name_hash), entry.name.as_str(), id));
            if candidate > top[0] {
                top = [candidate, top[0]];
            } else if candidate > top[1] {
                top[1] = candidate;
            }
        }
        top.map(|entry| entry.map(|(_, _, id)| id))
    }

    fn entry_ids(&self) -> impl Iterator<Item = EntryId> + use<> {
        (0..self.entries.len() as u32).map(EntryId)
    }

    fn entry_or_insert(&mut self, name: &str, data_centre: &str) -> EntryId {
        if let Some(&id) = self.names.get(name) {
            return id;
        }
        let id = self.entries.push(Entry {
            name: name.to_owned(),
            name_hash: xxh3_64(name.as_bytes()),
            data_centre: data_centre.to_owned(),
            region: None,
            listing: Listing::NeverListed,
            last_heartbeat: None,
        });
        self.names.insert(name.to_owned(), id);
        id
    }
}

/// The rendezvous weight of a candidate for a subject.
fn weight(subject_hash: u64, candidate_hash: u64) -> u64 {
    let mut pair = [0; 16];
    pair[..8].copy_from_slice(&subject_hash.to_le_bytes());
    pair[8..].copy_from_slice(&candidate_hash.to_le_bytes());
    xxh3_64(&pair)
}
