//! Answers `GET /v1/lookup`.

use std::borrow::Cow;
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

/// How long callers may use an answer.
const TTL_MS: u64 = 5_000;

/// Entries in an answer. A caller needs some to fall back on.
const MAX_ENTRIES: usize = 4;

/// The body of an answer.
#[derive(Debug, Serialize)]
struct Answer<'a> {
    version: u64,
    ttl_ms: u64,
    arbiter: String,
    entries: Vec<Place<'a>>,
}

#[derive(Debug, Serialize)]
struct Place<'a> {
    name: &'a str,
    data_centre: &'a str,
    address: std::net::SocketAddr,
}

/// The handler of `/v1/lookup`.
pub(crate) struct Lookup<S, T: Target>(pub(crate) Arc<Entry<S, T>>);

impl<S: Store, T: Target> Handler for Lookup<S, T> {
    async fn run(&self, conn: Conn) -> Conn {
        match self.answer(conn.querystring()) {
            Ok(body) => {
                self.0.metrics.lookups.inc();
                conn.with_response_header("content-type", "application/json").ok(body)
            }
            Err(reason) => refuse(conn, &self.0.metrics, lookup_status(reason), reason),
        }
    }
}

impl<S: Store, T: Target> Lookup<S, T> {
    fn answer(&self, query: &str) -> Result<String, Reason> {
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
        let members = lock(&entry.peers);
        let owner = members.roster.owner(now, view.pool_key(service, region));
        let owner = owner.map(|owner| members.roster.name(owner));
        let ready = |vm: &&Vm| {
            let known = members.roster.entry(&vm.name);
            vm.role == Role::Entry && known.is_some_and(|key| members.roster.is_ready(now, key))
        };
        let mut places: Vec<Place<'_>> = vms.iter().filter(ready).map(place).collect();
        let own = &entry.settings;
        if !entry.is_leaving() && !places.iter().any(|place| place.name == own.name) {
            // The VM list lags behind a fresh process.
            let address = entry.caller_address.get().copied().unwrap_or(own.caller_listen);
            places.push(Place { name: &own.name, data_centre: &own.data_centre, address });
        }
        let is_near = |place: &Place<'_>| view.region_of(place.data_centre) == Some(region);
        if places.iter().any(is_near) {
            places.retain(is_near);
        }
        let own_centre = &view.document.centres[centre].name;
        places.sort_by_key(|place| (Some(place.name) != owner, place.data_centre != own_centre));
        places.truncate(MAX_ENTRIES);
        let token = Token {
            entry: &entry.process.name,
            incarnation: entry.process.incarnation.0,
            issued_s: Journal::issue(now),
        };
        let answer = Answer {
            version: view.version,
            ttl_ms: TTL_MS,
            arbiter: token.to_string(),
            entries: places,
        };
        serde_json::to_string(&answer).map_err(|_| Reason::NoOwner)
    }
}

fn place(vm: &Vm) -> Place<'_> {
    Place { name: &vm.name, data_centre: &vm.data_centre, address: vm.address }
}

fn lookup_status(reason: Reason) -> Status {
    match reason {
        Reason::UnknownService | Reason::UnknownMember | Reason::UnknownBlock => Status::NotFound,
        Reason::MemberNotAllowed => Status::NotFound,
        _ => Status::ServiceUnavailable,
    }
}

/// The value of `name` in a query string.
fn scan_field<'a>(query: &'a str, name: &str) -> Option<Cow<'a, str>> {
    let mut fields = form_urlencoded::parse(query.as_bytes());
    fields.find_map(|(field, value)| (field == name).then_some(value))
}
