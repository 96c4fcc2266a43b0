//! Handles `GET /v1/lookup`.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;

use ebonypass_core::key::{Journal, Token};
use ebonypass_core::outcome::Reason;
use ebonypass_node::clock;
use ebonypass_node::store::{Role, Store, Vm};
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use serde::Serialize;
use trillium::{Conn, Handler, Status};

use crate::reply::refuse;
use crate::state::Entry;
use crate::view::scan_block;

/// How long callers may cache a reply.
const TTL_MS: u64 = 5_000;

/// Maximum number of entries in a reply. Those after the first are for failover.
const MAX_ENTRIES: usize = 4;

/// The JSON body of a reply.
#[derive(Debug, Serialize)]
struct Reply<'a> {
    version: u64,
    ttl_ms: u64,
    arbiter: String,
    entries: Vec<Endpoint<'a>>,
}

#[derive(Debug, Serialize)]
struct Endpoint<'a> {
    name: &'a str,
    data_centre: &'a str,
    address: SocketAddr,
}

/// The handler of `/v1/lookup`.
pub(crate) struct Lookup<S, T: Target>(pub(crate) Arc<Entry<S, T>>);

impl<S: Store, T: Target> Handler for Lookup<S, T> {
    async fn run(&self, conn: Conn) -> Conn {
        match self.reply(conn.querystring()) {
            Ok(body) => {
                self.0.metrics.lookups.inc();
                conn.with_response_header("content-type", "application/json").ok(body)
            }
            Err(reason) => refuse(conn, &self.0.metrics, lookup_status(reason), reason),
        }
    }
}

impl<S: Store, T: Target> Lookup<S, T> {
    fn reply(&self, query: &str) -> Result<String, Reason> {
        let entry = &self.0;
        let view = entry.view()?;
        let member = scan_field(query, "member").ok_or(Reason::UnknownMember)?;
        let service = scan_field(query, "service").ok_or(Reason::UnknownService)?;
        let block = scan_field(query, "block").ok_or(Reason::UnknownBlock)?;
        let block = scan_block(&block).ok_or(Reason::UnknownBlock)?;
        let centre = view.nearest_centre(block)?;
        let region = view.document.region_of(centre);
        let service = view.check_member(&member, &service)?;
        let now = clock::now();
        let vms = entry.vms.load();
        let peers = lock(&entry.peers);
        let owner = peers.roster.owner(now, view.pool_key(service, region));
        let owner = owner.map(|owner| peers.roster.name(owner));
        let is_ready = |vm: &&Vm| {
            let id = peers.roster.entry(&vm.name);
            vm.role == Role::Entry && id.is_some_and(|id| peers.roster.is_ready(now, id))
        };
        let mut endpoints: Vec<Endpoint<'_>> = vms.iter().filter(is_ready).map(endpoint).collect();
        let settings = &entry.settings;
        if !entry.is_leaving() && !endpoints.iter().any(|endpoint| endpoint.name == settings.name) {
            // The VM list may not contain a process that has just started.
            let address = entry.caller_address.get().copied().unwrap_or(settings.caller_listen);
            endpoints.push(Endpoint {
                name: &settings.name,
                data_centre: &settings.data_centre,
                address,
            });
        }
        let is_in_region =
            |endpoint: &Endpoint<'_>| view.region_of(endpoint.data_centre) == Some(region);
        if endpoints.iter().any(is_in_region) {
            endpoints.retain(is_in_region);
        }
        let nearest_centre = &view.document.centres[centre].name;
        endpoints.sort_by_key(|endpoint| {
            (Some(endpoint.name) != owner, endpoint.data_centre != nearest_centre)
        });
        endpoints.truncate(MAX_ENTRIES);
        let token = Token {
            entry: &entry.process.name,
            incarnation: entry.process.incarnation.0,
            issued_s: Journal::issue_second(now),
        };
        let reply = Reply {
            version: view.version,
            ttl_ms: TTL_MS,
            arbiter: token.to_string(),
            entries: endpoints,
        };
        serde_json::to_string(&reply).map_err(|_| Reason::NoOwner)
    }
}

fn endpoint(vm: &Vm) -> Endpoint<'_> {
    Endpoint { name: &vm.name, data_centre: &vm.data_centre, address: vm.address }
}

fn lookup_status(reason: Reason) -> Status {
    match reason {
        Reason::UnknownService | Reason::UnknownMember | Reason::UnknownBlock => Status::NotFound,
        Reason::MemberNotAllowed => Status::NotFound,
        _ => Status::ServiceUnavailable,
    }
}

/// The decoded value of the field `name` in a query string.
fn scan_field<'a>(query: &'a str, name: &str) -> Option<Cow<'a, str>> {
    let mut fields = form_urlencoded::parse(query.as_bytes());
    fields.find_map(|(field, value)| (field == name).then_some(value))
}
