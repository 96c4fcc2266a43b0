//! Reads requests and matches them to routes.

use ebonypass_core::balancer::RegionSet;
use ebonypass_core::id::ServiceId;
use ebonypass_core::outcome::Reason;
use ebonypass_core::tenant::TenantId;
use ebonypass_core::time::Span;
use ebonypass_node::clock;
use ebonypass_platform::header::{self, RequestMetadata};
use futures_lite::future;
use hyper::header as http_header;
use hyper::http::request::Parts;
use xxhash_rust::xxh3::xxh3_64;

use super::access::{Access, Rejection};
use super::quota::Token;
use super::{InFlightGuard, Job, MatchedRoute};
use crate::gateway::{Gateway, Phase};
use crate::listener::Upload;

/// Requests time out this long before the caller's own deadline, so that the error reply arrives in
/// time.
const DEADLINE_MARGIN: Span = Span::from_millis(25);

/// Reads a request and matches it to a route and a tenant.
pub(super) async fn read_request(
    in_flight: &mut InFlightGuard,
    metadata: Result<RequestMetadata, header::Error>,
    parts: Parts,
    body: Upload,
) -> Result<Job, Rejection> {
    let (gateway, arrived) = (in_flight.gateway.clone(), in_flight.arrived);
    let gateway = &gateway;
    let metadata = metadata.map_err(|_| Reason::HeadMalformed)?;
    if gateway.phase.get() >= Phase::Refusing {
        return Err(Reason::Stopping.into());
    }
    let (route, access, tenant) = resolve_route(gateway, &parts, &metadata)?;
    let time_left = metadata
        .time_left
        .map_or(route.timeout, |left| (left - DEADLINE_MARGIN).min(route.timeout));
    let deadline = arrived + time_left;
    in_flight.tenant = access.owner.as_ref().map(|owner| owner.name.clone());
    let token = Token::take(gateway, tenant, deadline).await;
    let token = token.map_err(|wait| Rejection {
        reason: Reason::AllotmentExhausted,
        retry_after: Some(wait),
    })?;
    in_flight.count_arrival();
    let now = clock::now();
    gateway.state().retry_budget(now, &gateway.settings, route.service).record_request(now);
    let limit = gateway.state().limits.body_bytes;
    let timer = async {
        gateway.wait_for_deadline(deadline).await;
        Err(Reason::DeadlinePassed)
    };
    let body = super::body::receive(gateway, &parts.headers, body, limit, deadline);
    let (body, reservation) = future::or(body, timer).await?;
    if gateway.phase.get() >= Phase::Refusing {
        return Err(Reason::Stopping.into());
    }
    let mut headers = header::end_to_end_headers(&parts.headers);
    access.set_headers(&mut headers);
    let (method, uri) = (parts.method, parts.uri);
    Ok(Job {
        metadata,
        method,
        uri,
        headers,
        body,
        _reservation: reservation,
        route,
        access,
        token,
        arrived,
        deadline,
    })
}

fn resolve_route(
    gateway: &Gateway,
    parts: &Parts,
    metadata: &RequestMetadata,
) -> Result<(MatchedRoute, Access, Option<TenantId>), Reason> {
    let host = parts.headers.get(http_header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).ok_or(Reason::HeadMalformed)?;
    let host = host.split(':').next().unwrap_or(host);
    let mut state = gateway.state();
    if state.version == 0 {
        return Err(Reason::NoPolicy);
    }
    let version = state.version;
    let path = parts.uri.path();
    let entry = state.route_table.find(host, path).ok_or(Reason::UnknownService)?;
    let is_public = entry.route.is_public;
    let (access, tenant) = Access::new(&state, &parts.headers, is_public)?;
    // Requests without a key do not take part in the split between services.
    let entry = state.route_table.find(host, path).ok_or(Reason::UnknownService)?;
    let service_name = entry.next_service().to_owned();
    let route = &entry.route;
    let object = metadata.affinity_key.as_ref().filter(|_| route.has_affinity);
    let mut matched = MatchedRoute {
        name: route.name.clone(),
        version,
        service: ServiceId(0),
        service_name,
        idempotent: route.idempotent,
        is_public,
        priority: route.priority,
        is_most_urgent: false,
        attempt_limit: route.attempt_limit,
        latency_objective: route.latency_objective,
        allowed_regions: RegionSet::ANY,
        object: object.map(|object| xxh3_64(object.as_bytes())),
        timeout: route.timeout,
    };
    let allowed_regions = route.allowed_regions.clone();
    matched.allowed_regions = state.balancer.region_set(&allowed_regions);
    matched.is_most_urgent =
        state.route_table.is_most_urgent(&matched.service_name, matched.priority);
    matched.service = state.balancer.service_id(&matched.service_name);
    Ok((matched, access, tenant))
}
