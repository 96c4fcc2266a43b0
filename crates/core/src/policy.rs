//! The policy document: the one statement of what the operators want.
//!
//! [`crate::parse::parse_document`] makes a [`Document`] from text, [`crate::format::format_document`]
//! makes text from a [`Document`].

use std::net::Ipv4Addr;

use crate::id::{Arena, CentreId, KindId, MemberId, RegionId, ServiceId, TargetId};
use crate::time::Span;

/// The schema number that this version reads and writes.
pub const SCHEMA_VERSION: u64 = 1;

/// Seats of a region that gives no number: one for each entry of today's regions.
pub const DEFAULT_SEATS: u32 = 4;

/// A checked policy document. Each name and key in it refers to something that it holds.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Document {
    /// Limits of traffic shifts.
    pub shift_limit: ShiftLimit,
    /// Members by key.
    pub members: Arena<MemberId, Member>,
    /// Regions by key.
    pub regions: Arena<RegionId, Region>,
    /// Data centres by key.
    pub centres: Arena<CentreId, Centre>,
    /// Directed links between regions.
    pub links: Vec<Link>,
    /// Services by key.
    pub services: Arena<ServiceId, Service>,
    /// Kinds of all services by key.
    pub kinds: Arena<KindId, Kind>,
    /// Targets of all services by key, ordered by service, data centre and number.
    pub targets: Arena<TargetId, Target>,
    /// Planned shifts.
    pub shifts: Vec<Shift>,
    /// Planned drains.
    pub drains: Vec<Drain>,
    /// Client blocks.
    pub blocks: Vec<Block>,
}

/// How fast traffic may move.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShiftLimit {
    /// The largest part of a region's traffic that one step moves, in percent.
    pub max_step_percent: u32,
    /// The shortest time between two steps.
    pub step_interval: Span,
}

impl Default for ShiftLimit {
    fn default() -> ShiftLimit {
        ShiftLimit { max_step_percent: 10, step_interval: Span::from_secs(30) }
    }
}

/// A company that uses the system.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Unique name.
    pub name: String,
}

/// A group of data centres that are close to each other.
#[derive(Debug, Clone, PartialEq)]
pub struct Region {
    /// Unique name.
    pub name: String,
    /// Number of equal slices into which the cap of each outgoing link is split.
    pub seats: u32,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct Centre {
    /// Unique name.
    pub name: String,
    /// The region that it lies in.
    pub region: RegionId,
}

/// One direction of the connection between two regions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Link {
    /// The sending region.
    pub from: RegionId,
    /// The receiving region.
    pub to: RegionId,
    /// The cap in Mbit/s (1 Mbit = 1,000,000 bits).
    pub cap_mbit: u64,
    /// Latency one way.
    pub delay: Span,
}

impl Link {
    /// The cap in bytes a second.
    pub const fn cap_bytes_per_s(&self) -> u64 {
        self.cap_mbit * 1_000_000 / 8
    }
}

/// A service that targets run.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// The members that may call it.
    pub members: Vec<MemberId>,
    /// Slots of each target.
    pub slots: u32,
    /// Connections that each target holds.
    pub connections: u32,
    /// Number of targets by data centre.
    pub placement: Vec<Placement>,
    /// Keys of its kinds.
    pub kinds: Vec<KindId>,
}

/// How many targets a service has in a data centre.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// The data centre.
    pub centre: CentreId,
    /// The number of targets there.
    pub count: u32,
}

/// A kind of work of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Name, unique within the service.
    pub name: String,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// The deadline that applies when the caller gives none.
    pub deadline: Span,
}

/// A server of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Unique name, `<service>-<data centre>-<NN>`.
    pub name: String,
    /// The service that it runs.
    pub service: ServiceId,
    /// Where it runs.
    pub centre: CentreId,
    /// Number of requests that it runs at once.
    pub slots: u32,
}

/// A part of a region's traffic for one service that another region serves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shift {
    /// The service.
    pub service: ServiceId,
    /// The clients' region.
    pub from: RegionId,
    /// The serving region.
    pub to: RegionId,
    /// The part in percent.
    pub percent: u32,
}

/// A planned time without new work for a data centre or a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Drain {
    /// What is drained.
    pub subject: DrainSubject,
    /// Start, in seconds of Unix time.
    pub from_s: u64,
    /// End, in seconds of Unix time.
    pub until_s: u64,
}

impl Drain {
    /// Whether the drain is in force at `unix_s` seconds of Unix time.
    pub const fn is_active(&self, unix_s: u64) -> bool {
        self.from_s <= unix_s && unix_s < self.until_s
    }
}

/// What a drain empties.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DrainSubject {
    /// Every target of a data centre.
    Centre(CentreId),
    /// One target.
    Target(TargetId),
}

/// A network of clients and the data centre that is closest to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Block {
    /// The network's first address.
    pub network: Ipv4Addr,
    /// Prefix length, 8 to 24.
    pub prefix: u8,
    /// The closest data centre.
    pub centre: CentreId,
}

impl Document {
    /// The key of the member called `name`.
    pub fn member(&self, name: &str) -> Option<MemberId> {
        self.members.find(|member| member.name == name)
    }

    /// The key of the region called `name`.
    pub fn region(&self, name: &str) -> Option<RegionId> {
        self.regions.find(|region| region.name == name)
    }

    /// The key of the data centre called `name`.
    pub fn centre(&self, name: &str) -> Option<CentreId> {
        self.centres.find(|centre| centre.name == name)
    }

    /// The key of the service called `name`.
    pub fn service(&self, name: &str) -> Option<ServiceId> {
        self.services.find(|service| service.name == name)
    }

    /// The key of the kind called `name` of `service`.
    pub fn kind(&self, service: ServiceId, name: &str) -> Option<KindId> {
        let kinds = &self.services[service].kinds;
        kinds.iter().copied().find(|&kind| self.kinds[kind].name == name)
    }

    /// The key of the target called `name`.
    pub fn target(&self, name: &str) -> Option<TargetId> {
        self.targets.find(|target| target.name == name)
    }

    /// The link from one region to another.
    pub fn link(&self, from: RegionId, to: RegionId) -> Option<&Link> {
        self.links.iter().find(|link| link.from == from && link.to == to)
    }

    /// The region that `centre` lies in.
    pub fn region_of(&self, centre: CentreId) -> RegionId {
        self.centres[centre].region
    }

    /// Whether a planned drain covers `target` at `unix_s` seconds of Unix time.
    pub fn is_drained(&self, target: TargetId, unix_s: u64) -> bool {
        self.drains
            .iter()
            .any(|drain| drain.is_active(unix_s) && self.covers(drain.subject, target))
    }

    /// Whether `subject` includes `target`.
    pub fn covers(&self, subject: DrainSubject, target: TargetId) -> bool {
        match subject {
            DrainSubject::Centre(centre) => self.targets[target].centre == centre,
            DrainSubject::Target(drained) => drained == target,
        }
    }

    /// Adds the targets of each service in the order of its placement.
    pub(crate) fn place_targets(&mut self) {
        for (service, entry) in self.services.iter() {
            for placement in &entry.placement {
                for number in 1..=placement.count {
                    let centre = &self.centres[placement.centre].name;
                    let name = format!("{}-{}-{:02}", entry.name, centre, number);
                    let target =
                        Target { name, service, centre: placement.centre, slots: entry.slots };
                    self.targets.push(target);
                }
            }
        }
    }
}
