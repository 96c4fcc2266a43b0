//! Which tenant a request belongs to, by its key and the configuration in force.

use ebonypass_core::balancer::RegionSet;
use ebonypass_core::outcome::Reason;
use ebonypass_core::tenant::{Digest, TenantId};
use ebonypass_core::time::Span;
use ebonypass_platform::header;
use hyper::HeaderMap;

use super::Job;
use crate::gateway::{Gateway, State};

/// Ranks of one tenant. Routes with a priority of as much or more share ranks with those of the next
/// tenants.
const RANKS_PER_TENANT: u16 = 8;

/// Why a request is refused before it is sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rejection {
    pub(crate) reason: Reason,
    /// When the caller should retry, if known.
    pub(crate) retry_after: Option<Span>,
}

impl From<Reason> for Rejection {
    fn from(reason: Reason) -> Rejection {
        Rejection { reason, retry_after: None }
    }
}

/// The tenant of a request, as of one version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Owner {
    pub(crate) name: String,
    priority: Option<u8>,
    allowed_regions: RegionSet,
}

/// The key of a request and the tenant that it belongs to.
#[derive(Debug)]
pub(crate) struct Access {
    /// Version of the configuration that decided.
    version: u64,
    credential: Credential,
    /// None without tenants, or on a public route without a known key.
    pub(crate) owner: Option<Owner>,
}

/// The key in the head of a request.
#[derive(Debug, Clone, Copy)]
enum Credential {
    /// The configuration had no tenants, so the head was not looked at and is forwarded as it is.
    Unread,
    /// The digest, unless there is no well-formed key.
    Read(Option<Digest>),
}

impl Access {
    /// Decides on a request that has just arrived, and names the tenant's id for its quota.
    ///
    /// Errors: the route needs a key, and the request has none of a tenant.
    pub(super) fn new(
        state: &State,
        headers: &HeaderMap,
        is_public: bool,
    ) -> Result<(Access, Option<TenantId>), Reason> {
        let credential = match &state.tenants {
            None => Credential::Unread,
            Some(_) => Credential::Read(header::scan_credentials(headers)),
        };
        let id = find_tenant(state, credential, is_public)?;
        let owner = id.and_then(|id| find_owner(state, id));
        Ok((Access { version: state.version, credential, owner }, id))
    }

    /// Prepares the headers for targets: they get the tenant's name and no key.
    pub(super) fn set_headers(&self, headers: &mut HeaderMap) {
        if let Credential::Read(_) = self.credential {
            header::set_tenant_header(headers, self.owner.as_ref().map(|owner| &*owner.name));
        }
    }

    /// The regions that may run the request, of those that may serve its route.
    pub(super) fn allowed_regions(&self, route: RegionSet) -> RegionSet {
        self.owner.as_ref().map_or(route, |owner| route.intersection(owner.allowed_regions))
    }

    /// Rank of the request on a route with priority `route`: the tenant's priority goes first.
    pub(super) fn rank(&self, route: u8) -> u16 {
        let tenant = self.owner.as_ref().and_then(|owner| owner.priority).unwrap_or(0);
        u16::from(tenant) * RANKS_PER_TENANT + u16::from(route)
    }

    /// The priority of the request on a route with priority `route`.
    pub(crate) fn priority(&self, route: u8) -> u8 {
        self.owner.as_ref().and_then(|owner| owner.priority).unwrap_or(route)
    }
}

/// The tenant of a request; none if it has none and needs none.
fn find_tenant(
    state: &State,
    credential: Credential,
    is_public: bool,
) -> Result<Option<TenantId>, Reason> {
    let Some(table) = &state.tenants else { return Ok(None) };
    let digest = match credential {
        Credential::Unread => None,
        Credential::Read(digest) => digest,
    };
    match digest.and_then(|digest| table.find(&digest)) {
        None if !is_public => Err(Reason::CredentialUnknown),
        id => Ok(id),
    }
}

fn find_owner(state: &State, id: TenantId) -> Option<Owner> {
    let tenant = state.tenants.as_ref()?.get(id)?;
    Some(Owner {
        name: tenant.name.clone(),
        priority: tenant.priority,
        allowed_regions: state.balancer.region_set(&tenant.allowed_regions),
    })
}

/// Decides again on a request, by the configuration in force. None if nothing has changed.
fn decide_again(state: &State, job: &Job) -> Option<Result<Access, Reason>> {
    if state.version == job.access.version {
        return None;
    }
    if state.tenants.is_none() {
        // The headers of the request have been prepared, and stay as they are.
        let Access { credential, ref owner, .. } = job.access;
        return Some(Ok(Access { version: state.version, credential, owner: owner.clone() }));
    }
    let credential = match job.access.credential {
        Credential::Unread => Credential::Read(header::scan_credentials(&job.headers)),
        read => read,
    };
    Some(find_tenant(state, credential, job.route.is_public).map(|id| {
        let owner = id.and_then(|id| find_owner(state, id));
        Access { version: state.version, credential, owner }
    }))
}

/// Checks the key of a waiting request again if the configuration has changed. Call it before each
/// attempt at a target.
///
/// Errors: the key belongs to no tenant any more.
pub(super) fn check_again(gateway: &Gateway, job: &mut Job) -> Result<(), Reason> {
    let decision = decide_again(&gateway.state(), job);
    if let Some(access) = decision {
        job.access = access?;
        job.access.set_headers(&mut job.headers);
    }
    Ok(())
}

/// Whether a request may be sent as it was prepared. The configuration may have changed since
/// [`check_again`], while a connection was opened.
pub(crate) fn may_send(gateway: &Gateway, job: &Job) -> bool {
    match decide_again(&gateway.state(), job) {
        None => true,
        Some(Ok(access)) => {
            let is_read = |access: &Access| matches!(access.credential, Credential::Read(_));
            access.owner == job.access.owner && is_read(&access) == is_read(&job.access)
        }
        Some(Err(_)) => false,
    }
}
