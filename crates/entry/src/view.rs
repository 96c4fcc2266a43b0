//! The policy document in force, prepared for requests.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use ebonypass_core::block;
use ebonypass_core::id::{CentreId, Key, KindId, MemberId, RegionId, ServiceId};
use ebonypass_core::outcome::Reason;
use ebonypass_core::policy::Document;
use ebonypass_core::pool::Flow;
use ebonypass_core::roster::PoolKey;
use ebonypass_core::time::Span;

use crate::names::Catalogue;

/// A policy document and what requests need of it.
#[derive(Debug)]
pub(crate) struct View {
    /// The store's version of the document.
    pub(crate) version: u64,
    /// The document.
    pub(crate) document: Document,
    /// The document's text, as peers ask for it.
    pub(crate) text: String,
    services: HashMap<String, ServiceView>,
    blocks: block::Table,
    /// Pools by service, then by region.
    pools: Vec<Vec<PoolKey>>,
}

/// A checked document with its text.
#[derive(Debug)]
pub(crate) struct Parsed {
    pub(crate) document: Document,
    pub(crate) text: String,
}

#[derive(Debug)]
struct ServiceView {
    id: ServiceId,
    members: HashMap<String, MemberId>,
    kinds: HashMap<String, KindView>,
}

#[derive(Debug, Clone, Copy)]
struct KindView {
    key: KindId,
    idempotent: bool,
    deadline: Span,
}

/// What the policy says about a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Terms {
    /// The service.
    pub(crate) service: ServiceId,
    /// Whose turn the request uses.
    pub(crate) flow: Flow,
    /// Whether running it twice does no harm.
    pub(crate) idempotent: bool,
    /// The deadline when the caller gives none.
    pub(crate) deadline: Span,
}

impl View {
    /// Prepares a document.
    pub(crate) fn new(version: u64, parsed: &Parsed, names: &mut Catalogue) -> View {
        let (document, text) = (parsed.document.clone(), parsed.text.clone());
        let mut services = HashMap::new();
        for (id, service) in document.services.iter() {
            let members = service.members.iter().map(|&member| &document.members[member].name);
            let members = members.map(|name| (name.clone(), names.members.key(name))).collect();
            let kinds = service.kinds.iter().map(|&kind| &document.kinds[kind]);
            let kinds = kinds.map(|kind| {
                let key = names.kinds.key(&format!("{}/{}", service.name, kind.name));
                let view = KindView { key, idempotent: kind.idempotent, deadline: kind.deadline };
                (kind.name.clone(), view)
            });
            let view = ServiceView { id, members, kinds: kinds.collect() };
            services.insert(service.name.clone(), view);
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
    pub(crate) fn pool(&self, service: ServiceId, region: RegionId) -> PoolKey {
        self.pools[service.index()][region.index()]
    }

    /// What the policy says about work of `kind` that `member` asks `service` for.
    pub(crate) fn terms(&self, member: &str, service: &str, kind: &str) -> Result<Terms, Reason> {
        let view = self.service(member, service)?;
        let kind = view.kinds.get(kind).ok_or(Reason::UnknownKind)?;
        let flow = Flow { member: view.members[member], kind: kind.key };
        let (idempotent, deadline) = (kind.idempotent, kind.deadline);
        Ok(Terms { service: view.id, flow, idempotent, deadline })
    }

    /// Whether the policy has a service called `name`.
    pub(crate) fn has_service(&self, name: &str) -> bool {
        self.services.contains_key(name)
    }

    /// Checks that `member` may call `service`.
    pub(crate) fn check_member(&self, member: &str, service: &str) -> Result<ServiceId, Reason> {
        self.service(member, service).map(|view| view.id)
    }

    fn service(&self, member: &str, service: &str) -> Result<&ServiceView, Reason> {
        let view = self.services.get(service).ok_or(Reason::UnknownService)?;
        if view.members.contains_key(member) {
            return Ok(view);
        }
        let is_known = self.document.member(member).is_some();
        Err(if is_known { Reason::MemberNotAllowed } else { Reason::UnknownMember })
    }

    /// The data centre closest to the clients of `network`.
    pub(crate) fn centre(&self, network: Ipv4Addr) -> Result<CentreId, Reason> {
        self.blocks.find(network).ok_or(Reason::UnknownBlock)
    }

    /// The region of the data centre called `name`.
    pub(crate) fn region_of(&self, name: &str) -> Option<RegionId> {
        self.document.centre(name).map(|centre| self.document.region_of(centre))
    }
}

/// Reads a client block `A.B.C.0/24`. Arbitrary text gives none, never a panic.
pub fn scan_block(text: &str) -> Option<Ipv4Addr> {
    let network: Ipv4Addr = text.strip_suffix("/24")?.parse().ok()?;
    (network.octets()[3] == 0).then_some(network)
}
