//! The policy document: the complete configuration that the operators maintain.
//!
//! [`crate::scan::scan_document`] scans the text of a [`Document`],
//! [`crate::format::format_document`] formats it.

use std::net::Ipv4Addr;

use crate::id::{Arena, CentreId, KindId, MemberId, RegionId, ServiceId, TargetId};
use crate::time::Span;

/// The schema version that this program reads and writes.
pub const SCHEMA_VERSION: u64 = 1;

/// Default number of seats of a region: existing regions have four entries, one seat for each.
pub const DEFAULT_SEATS: u32 = 4;

/// A validated policy document. All references in it resolve.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Document {
    /// How fast traffic shifts may proceed.
    pub shift_limit: ShiftLimit,
    /// Members.
    pub members: Arena<MemberId, Member>,
    /// Regions.
    pub regions: Arena<RegionId, Region>,
    /// Data centres.
    pub centres: Arena<CentreId, Centre>,
    /// Directed links between regions.
    pub links: Vec<Link>,
    /// Services.
    pub services: Arena<ServiceId, Service>,
    /// Kinds of all services.
    pub kinds: Arena<KindId, Kind>,
    /// Targets of all services, ordered by service, data centre and number.
    pub targets: Arena<TargetId, Target>,
    /// Planned shifts.
    pub shifts: Vec<Shift>,
    /// Planned drains.
    pub drains: Vec<Drain>,
    /// Client networks with their closest data centres.
    pub blocks: Vec<Block>,
}

/// How fast traffic may move between regions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShiftLimit {
    /// The largest share of a region's traffic that one step moves, in percent.
    pub max_step_percent: u32,
    /// The shortest time between steps.
    pub step_interval: Span,
}

impl Default for ShiftLimit {
    fn default() -> ShiftLimit {
        ShiftLimit { max_step_percent: 10, step_interval: Span::from_secs(30) }
    }
}

/// A company whose requests the system steers.
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
    /// Number of equal parts into which the rate cap of each outgoing link is split.
    pub seats: u32,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct Centre {
    /// Unique name.
    pub name: String,
    /// The region that contains it.
    pub region: RegionId,
}

/// One direction of the connection between two regions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Link {
    /// The sending region.
    pub from: RegionId,
    /// The receiving region.
    pub to: RegionId,
    /// Rate cap in Mbit/s (1 Mbit = 1,000,000 bits).
    pub cap_mbit: u64,
    /// One-way latency.
    pub delay: Span,
}

impl Link {
    /// Rate cap in bytes per second.
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
    /// Number of requests that each target runs at once.
    pub slots: u32,
    /// Number of connections of each target.
    pub connections: u32,
    /// Number of targets by data centre.
    pub placement: Vec<Placement>,
    /// Its kinds of requests.
    pub kinds: Vec<KindId>,
}

/// The number of targets of a service in a data centre.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// The data centre.
    pub centre: CentreId,
    /// The number of targets there.
    pub count: u32,
}

/// A kind of request to one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Name, unique within the service.
    pub name: String,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// The deadline of requests that do not set one.
    pub deadline: Span,
}

/// A server instance of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Unique name, `<service>-<data centre>-<NN>`.
    pub name: String,
    /// The service that it runs.
    pub service: ServiceId,
    /// The data centre in which it runs.
    pub centre: CentreId,
    /// Number of requests that it runs at once.
    pub slots: u32,
}

/// A share of a region's traffic for one service that another region serves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shift {
    /// The service.
    pub service: ServiceId,
    /// The region from which the traffic comes.
    pub from: RegionId,
    /// The region that serves it.
    pub to: RegionId,
    /// The share in percent.
    pub percent: u32,
}

/// A period in which a data centre or a target gets no new requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Drain {
    /// What is drained.
    pub subject: Subject,
    /// Start in seconds of Unix time, inclusive.
    pub from_s: u64,
    /// End in seconds of Unix time, exclusive.
    pub until_s: u64,
}

impl Drain {
    /// Whether the drain is active at `unix_s` seconds of Unix time.
    pub const fn is_active(&self, unix_s: u64) -> bool {
        self.from_s <= unix_s && unix_s < self.until_s
    }
}

/// What a drain applies to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Subject {
    /// All targets of a data centre.
    Centre(CentreId),
    /// One target.
    Target(TargetId),
}

/// A client network and the data centre closest to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Block {
    /// The network's first address.
    pub network: Ipv4Addr,
    /// Prefix length in bits, 8 to 24.
    pub prefix: u8,
    /// The closest data centre.
    pub centre: CentreId,
}

impl Document {
    /// Finds the member by name.
    pub fn member(&self, name: &str) -> Option<MemberId> {
        self.members.find(|member| member.name == name)
    }

    /// Finds the region by name.
    pub fn region(&self, name: &str) -> Option<RegionId> {
        self.regions.find(|region| region.name == name)
    }

    /// Finds the data centre by name.
    pub fn centre(&self, name: &str) -> Option<CentreId> {
        self.centres.find(|centre| centre.name == name)
    }

    /// Finds the service by name.
    pub fn service(&self, name: &str) -> Option<ServiceId> {
        self.services.find(|service| service.name == name)
    }

    /// Finds a kind of `service` by name.
    pub fn kind(&self, service: ServiceId, name: &str) -> Option<KindId> {
        let kinds = &self.services[service].kinds;
        kinds.iter().copied().find(|&kind| self.kinds[kind].name == name)
    }

    /// Finds the target by name.
    pub fn target(&self, name: &str) -> Option<TargetId> {
        self.targets.find(|target| target.name == name)
    }

    /// Finds the link between two regions in this direction.
    pub fn link(&self, from: RegionId, to: RegionId) -> Option<&Link> {
        self.links.iter().find(|link| link.from == from && link.to == to)
    }

    /// The region that contains `centre`.
    pub fn region_of(&self, centre: CentreId) -> RegionId {
        self.centres[centre].region
    }

    /// Whether an active drain covers `target` at `unix_s` seconds of Unix time.
    pub fn is_drained(&self, target: TargetId, unix_s: u64) -> bool {
        self.drains
            .iter()
            .any(|drain| drain.is_active(unix_s) && self.covers(drain.subject, target))
    }

    /// Whether `subject` includes `target`.
    pub fn covers(&self, subject: Subject, target: TargetId) -> bool {
        match subject {
            Subject::Centre(centre) => self.targets[target].centre == centre,
            Subject::Target(drained) => drained == target,
        }
    }

    /// Creates the targets of each service from its placement.
    pub(crate) fn add_targets(&mut self) {
        for (id, service) in self.services.iter() {
            for placement in &service.placement {
                for number in 1..=placement.count {
                    let centre = &self.centres[placement.centre].name;
                    let name = format!("{}-{}-{:02}", service.name, centre, number);
                    let target = Target {
                        name,
                        service: id,
                        centre: placement.centre,
                        slots: service.slots,
                    };
                    self.targets.push(target);
                }
            }
        }
    }
}
