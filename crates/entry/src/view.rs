//! The policy document in force, indexed for look-up by requests.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use ebonypass_core::block;
use ebonypass_core::id::{CentreId, Key, KindId, MemberId, RegionId, ServiceId};
use ebonypass_core::outcome::Reason;
use ebonypass_core::policy::Document;
use ebonypass_core::pool::Flow;
use ebonypass_core::roster::PoolKey;
use ebonypass_core::time::Span;

use crate::names::Interners;

/// A policy document with indexes by name.
#[derive(Debug)]
pub(crate) struct View {
    /// The store's version of the document.
    pub(crate) version: u64,
    /// The document.
    pub(crate) document: Document,
    /// The document's text, which is sent to peers.
    pub(crate) text: String,
    services: HashMap<String, Service>,
    blocks: block::Table,
    /// Pools by service, then by region.
    pools: Vec<Vec<PoolKey>>,
}

/// A valid document and its text.
#[derive(Debug)]
pub(crate) struct ParsedDocument {
    pub(crate) document: Document,
    pub(crate) text: String,
}

#[derive(Debug)]
struct Service {
    id: ServiceId,
    /// The members that may call the service.
    members: HashMap<String, MemberId>,
    kinds: HashMap<String, Kind>,
}

#[derive(Debug, Clone, Copy)]
struct Kind {
    key: KindId,
    idempotent: bool,
    default_deadline: Span,
}

/// What the policy states for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RequestPolicy {
    /// The service.
    pub(crate) service: ServiceId,
    /// The flow to which fair scheduling charges the request.
    pub(crate) flow: Flow,
    /// Whether the request may be run more than once.
    pub(crate) idempotent: bool,
    /// The deadline of a request for which the caller gives none.
    pub(crate) default_deadline: Span,
}

impl View {
    /// Builds the indexes of a document. `names` assigns the keys of members and kinds.
    pub(crate) fn new(version: u64, parsed: &ParsedDocument, names: &mut Interners) -> View {
        let (document, text) = (parsed.document.clone(), parsed.text.clone());
        let mut services = HashMap::new();
        for (id, service) in document.services.iter() {
            let members = service.members.iter().map(|&member| &document.members[member].name);
            let members = members.map(|name| (name.clone(), names.members.intern(name))).collect();
            let kinds = service.kinds.iter().map(|&kind| &document.kinds[kind]);
            let kinds = kinds.map(|kind| {
                let key = names.kinds.intern(&format!("{}/{}", service.name, kind.name));
                let indexed =
                    Kind { key, idempotent: kind.idempotent, default_deadline: kind.deadline };
                (kind.name.clone(), indexed)
            });
            let indexed = Service { id, members, kinds: kinds.collect() };
            services.insert(service.name.clone(), indexed);
        }
        let regions = || (0..document.regions.len()).map(RegionId::from_index);
        let pools = document.services.iter().map(|(service, _)| {
            regions().map(|region| PoolKey::new(&document, service, region)).collect()
        });
        let pools = pools.collect();
        let blocks = block::Table::from_blocks(&document.blocks);
        View { version, document, text, services, blocks, pools }
    }

    /// The pool of `service` in `region`.
    pub(crate) fn pool_key(&self, service: ServiceId, region: RegionId) -> PoolKey {
        self.pools[service.index()][region.index()]
    }

    /// What the policy states for a request of `kind` by `member` to `service`.
    ///
    /// Errors: a name is not in the policy, or `member` may not call `service`.
    pub(crate) fn request_policy(
        &self,
        member: &str,
        service: &str,
        kind: &str,
    ) -> Result<RequestPolicy, Reason> {
        let service = self.allowed_service(member, service)?;
        let kind = service.kinds.get(kind).ok_or(Reason::UnknownKind)?;
        let flow = Flow { member: service.members[member], kind: kind.key };
        let (idempotent, default_deadline) = (kind.idempotent, kind.default_deadline);
        Ok(RequestPolicy { service: service.id, flow, idempotent, default_deadline })
    }

    /// Whether the policy has a service called `name`.
    pub(crate) fn has_service(&self, name: &str) -> bool {
        self.services.contains_key(name)
    }

    /// Checks that `member` may call `service`, and returns the service's id.
    ///
    /// Errors: a name is not in the policy, or `member` may not call `service`.
    pub(crate) fn check_member(&self, member: &str, service: &str) -> Result<ServiceId, Reason> {
        self.allowed_service(member, service).map(|service| service.id)
    }

    fn allowed_service(&self, member: &str, service: &str) -> Result<&Service, Reason> {
        let service = self.services.get(service).ok_or(Reason::UnknownService)?;
        if service.members.contains_key(member) {
            return Ok(service);
        }
        let is_known = self.document.member(member).is_some();
        Err(if is_known { Reason::MemberNotAllowed } else { Reason::UnknownMember })
    }

    /// The data centre nearest to the clients in `network`.
    ///
    /// Errors: the policy has no block for `network`.
    pub(crate) fn nearest_centre(&self, network: Ipv4Addr) -> Result<CentreId, Reason> {
        self.blocks.find(network).ok_or(Reason::UnknownBlock)
    }

    /// The region of the data centre called `centre`.
    pub(crate) fn region_of(&self, centre: &str) -> Option<RegionId> {
        self.document.centre(centre).map(|centre| self.document.region_of(centre))
    }
}

/// Parses a client block `A.B.C.0/24`. Returns none for any other text and never panics.
pub fn scan_block(text: &str) -> Option<Ipv4Addr> {
    let network: Ipv4Addr = text.strip_suffix("/24")?.parse().ok()?;
    (network.octets()[3] == 0).then_some(network)
}
