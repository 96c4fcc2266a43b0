//! Handles a caller's request: reads it, forwards it to targets with retries, and returns the
//! reply.

pub(crate) mod access;
mod body;
mod forward;
mod place;
mod quota;
mod read;
mod reply;

use std::rc::Rc;
use std::time::Duration;

use ebonypass_core::balancer::RegionSet;
use ebonypass_core::id::ServiceId;
use ebonypass_core::outcome::Reason;
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use ebonypass_platform::header::{self, RequestMetadata};
use hyper::{HeaderMap, Method, Request, Response, Uri, header as http_header};
use serde_json::{Value, json};

use self::access::{Access, Rejection};
use self::quota::Token;
use crate::body::Body;
use crate::budget::Reservation;
use crate::gateway::{Gateway, Phase};
use crate::listener::Upload;
use crate::metric::Ending;
use crate::payload::Payload;

/// A request that has been read and matched to a route.
pub(crate) struct Job {
    pub(crate) metadata: RequestMetadata,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Payload,
    /// Memory of the body.
    _reservation: Reservation,
    pub(crate) route: MatchedRoute,
    pub(crate) access: Access,
    token: Token,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

/// Parameters of the matched route, as of the request's arrival.
pub(crate) struct MatchedRoute {
    pub(crate) name: String,
    pub(crate) version: u64,
    pub(crate) service: ServiceId,
    pub(crate) service_name: String,
    pub(crate) idempotent: bool,
    pub(crate) is_public: bool,
    pub(crate) priority: u8,
    /// Whether no route of the service is more urgent.
    pub(crate) is_most_urgent: bool,
    pub(crate) attempt_limit: u32,
    pub(crate) latency_objective: Span,
    pub(crate) allowed_regions: RegionSet,
    pub(crate) object: Option<u64>,
    pub(crate) timeout: Span,
}

/// The result of a request: the reply, the error reason if the gateway made it, and logged
/// attempts.
struct Completion {
    reason: Option<Reason>,
    response: Response<Body>,
    attempts: Vec<Value>,
}

/// What is recorded of a request, apart from its completion.
struct Summary {
    id: String,
    /// Name of the route; empty if the request was refused before it was read.
    route: String,
    latency_objective: Span,
    /// Tenant that the request belonged to on arrival.
    tenant: Option<String>,
    /// Priority, once the request was read.
    priority: Option<u8>,
}

/// Counts a request as in flight. Dropped before the end, it records the request as abandoned.
struct InFlightGuard {
    gateway: Rc<Gateway>,
    id: String,
    /// Tenant that the request belongs to, once known.
    tenant: Option<String>,
    arrived: Instant,
    /// Whether the request counts toward the machine's demand.
    is_counted: bool,
    is_finished: bool,
}

impl InFlightGuard {
    fn new(gateway: &Rc<Gateway>, arrived: Instant) -> InFlightGuard {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        InFlightGuard {
            gateway: gateway.clone(),
            id: String::new(),
            tenant: None,
            arrived,
            is_counted: false,
            is_finished: false,
        }
    }

    /// Counts the request toward the machine's demand, once.
    fn count_arrival(&mut self) {
        if !std::mem::replace(&mut self.is_counted, true) {
            self.gateway.arrivals.set(self.gateway.arrivals.get() + 1);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gateway.in_flight.set(self.gateway.in_flight.get() - 1);
        if !self.is_finished {
            let age = clock::now().since(self.arrived);
            let fields = json!({ "request": self.id, "ms": age.as_millis() });
            self.gateway.log.record(Event::RequestAbandoned, fields);
            let labels = reply::labels(String::new(), Ending::Abandoned, None);
            self.gateway.metrics.requests.get_or_create(&labels).inc();
            reply::count_tenant(&self.gateway, self.tenant.as_deref(), Ending::Abandoned, None);
        }
    }
}

/// Handles a caller's request, and records how it ended.
pub async fn handle(gateway: Rc<Gateway>, request: Request<Upload>) -> Response<Body> {
    let arrived = clock::now();
    let mut in_flight = InFlightGuard::new(&gateway, arrived);
    let (parts, body) = request.into_parts();
    let metadata = header::scan_request_metadata(&parts.headers);
    if let Ok(metadata) = &metadata {
        in_flight.id.clone_from(&metadata.id);
    }
    let id = in_flight.id.clone();
    let mut summary = Summary {
        id: id.clone(),
        route: String::new(),
        latency_objective: Span::MAX,
        tenant: None,
        priority: None,
    };
    let completion = match read::read_request(&mut in_flight, metadata, parts, body).await {
        Ok(job) => {
            summary.route.clone_from(&job.route.name);
            summary.latency_objective = job.route.latency_objective;
            summary.priority = Some(job.access.priority(job.route.priority));
            forward::forward(&gateway, job).await
        }
        Err(Rejection { reason, retry_after }) => {
            // Requests without a key or beyond a quota are not demand that the fleet should serve.
            if !reason.is_tenant_refusal() {
                in_flight.count_arrival();
            }
            Completion {
                reason: Some(reason),
                response: reply::error_reply(reason, retry_after),
                attempts: Vec::new(),
            }
        }
    };
    in_flight.is_finished = true;
    summary.tenant = in_flight.tenant.take();
    let age = clock::now().since(arrived);
    reply::record_completion(&gateway, &summary, age, &completion);
    let mut response = completion.response;
    if let Some((name, value)) = header::request_id_header(&id) {
        response.headers_mut().insert(name, value);
    }
    if gateway.phase.get() > Phase::Serving {
        let close = http_header::HeaderValue::from_static("close");
        response.headers_mut().insert(http_header::CONNECTION, close);
    }
    response
}

/// How often a stopping process checks for requests in flight.
pub const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
