//! Handles `POST /v1/run/SERVICE/KIND`.

use std::sync::Arc;
use std::time::{Duration, Instant as StdInstant};

use ebonypass_core::credit::Destination;
use ebonypass_core::id::{EntryId, RegionId};
use ebonypass_core::outcome::{Outcome, Reason};
use ebonypass_core::pool::Job;
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::peer::Link;
use ebonypass_node::store::Store;
use ebonypass_node::sync::lock;
use ebonypass_node::target::{Request, Target};
use ebonypass_node::trace::{self, Context, Span as TraceSpan};
use ebonypass_node::{clock, peer};
use futures_lite::future;
use prometheus_client::metrics::gauge::Gauge;
use smol::Timer;
use trillium::{Conn, Handler, KnownHeaderName};
use trillium_router::RouterConnExt;

use crate::claim::{Refusal, claim, report_outcome};
use crate::driver::Answer;
use crate::egress::Egress;
use crate::forward::{BodyReader, Outbound, forward};
use crate::metric::{LimitLabels, Metrics, ServiceLabels};
use crate::remote::Query;
use crate::reply::{PRIOR_HEADER, answer, refuse, run_status};
use crate::state::Entry;
use crate::view::{RequestPolicy, View, scan_block};

/// How often the heartbeat of an entry that runs a forwarded request is checked.
const HEARTBEAT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The handler of `/v1/run/:service/:kind`, which forwards requests to targets.
pub(crate) struct Run<S, T: Target>(pub(crate) Arc<Entry<S, T>>);

/// Counts a request as in flight until dropped, also if its handling is cancelled.
pub(crate) struct InFlight(Gauge);

impl InFlight {
    pub(crate) fn new(metrics: &Metrics) -> InFlight {
        metrics.in_flight.inc();
        InFlight(metrics.in_flight.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Bytes of the memory limit for request bodies that are reserved for one body, released on drop.
struct Reservation {
    bytes: Gauge,
    length: i64,
}

impl Reservation {
    /// Reserves `length` bytes, unless the total would exceed `limit`.
    fn new(metrics: &Metrics, length: usize, limit: usize) -> Option<Reservation> {
        let bytes = metrics.held_bytes.clone();
        let length = length as i64;
        let before = bytes.inc_by(length);
        let reservation = Reservation { bytes, length };
        // Dropping the reservation undoes the increment.
        (before + length <= limit as i64).then_some(reservation)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.bytes.dec_by(self.length);
    }
}

/// A validated request of a caller.
struct Call {
    policy: RequestPolicy,
    member: String,
    request: Arc<Request>,
    view: Arc<View>,
    /// The region of this entry, if the policy names its data centre.
    region: Option<RegionId>,
    /// The region of the client's block.
    client_region: RegionId,
    deadline: Instant,
    key: Option<String>,
    trace: Context,
    _reservation: Reservation,
}

impl<S: Store, T: Target> Handler for Run<S, T> {
    async fn run(&self, mut conn: Conn) -> Conn {
        let start = StdInstant::now();
        let _in_flight = InFlight::new(&self.0.metrics);
        let context = Context::from_header(conn.request_headers().get_str(trace::HEADER));
        let span = TraceSpan::new(context, "entry");
        let service = conn.param("service").unwrap_or_default().to_owned();
        let call = self.read_call(&mut conn, span.context()).await;
        // If `read_call` fails, the body counts as consumed only if its content-length is 0.
        let is_body_consumed = call.is_ok() || conn.request_headers().content_length() == Some(0);
        let result = match call {
            Ok(call) => self.claim_and_serve(&call).await,
            Err(reason) => Ok(Answer::Failed(reason)),
        };
        let is_known_service = !matches!(result, Ok(Answer::Failed(Reason::UnknownService)));
        span.close(match &result {
            Ok(answer) => outcome_of(answer).as_str(),
            // The key could not be claimed.
            Err(_) => "refused",
        });
        let metrics = &self.0.metrics;
        let conn = match result {
            Ok(Answer::Answered(reply)) => answer(conn, metrics, reply),
            Ok(Answer::Failed(reason)) | Err(Refusal::Reason(reason)) => {
                refuse(conn, metrics, run_status(reason), reason)
            }
            Err(Refusal::Repeated(prior_state)) => {
                let reason = Reason::KeyRepeated;
                refuse(conn, metrics, run_status(reason), reason)
                    .with_response_header(PRIOR_HEADER, prior_state)
            }
        };
        if is_known_service {
            // Unknown names would create an unbounded number of label values.
            let latency = self.0.metrics.latency.get_or_create(&ServiceLabels { service });
            latency.observe(start.elapsed().as_secs_f64());
        }
        // The rest of an unread body would be parsed as the next request, so the connection is
        // closed, as it also is during shutdown.
        if self.0.is_leaving() || !is_body_consumed {
            conn.with_response_header("connection", "close")
        } else {
            conn
        }
    }
}

impl<S: Store, T: Target> Run<S, T> {
    async fn read_call(&self, conn: &mut Conn, trace: Context) -> Result<Call, Reason> {
        let view = self.0.view()?;
        let service = conn.param("service").ok_or(Reason::UnknownService)?.to_owned();
        let kind = conn.param("kind").ok_or(Reason::UnknownKind)?.to_owned();
        let headers = conn.request_headers();
        let header = |name: &'static str| headers.get_str(name);
        let member = header("ebonypass-member").ok_or(Reason::UnknownMember)?.to_owned();
        let policy = view.request_policy(&member, &service, &kind)?;
        let block = header("ebonypass-block").and_then(scan_block).ok_or(Reason::UnknownBlock)?;
        let client_region = view.document.region_of(view.nearest_centre(block)?);
        let time_limit = match header("ebonypass-deadline-ms") {
            Some(text) => self.scan_deadline(text)?,
            None => policy.default_deadline,
        };
        let key = header("ebonypass-key").map(str::to_owned);
        if !policy.idempotent && key.is_none() {
            return Err(Reason::KeyMissing);
        }
        let content_type = headers.get_str(KnownHeaderName::ContentType).map(str::to_owned);
        let length = headers.get_str(KnownHeaderName::ContentLength).map(str::to_owned);
        let (reservation, body) = self.read_body(conn, length.as_deref()).await?;
        let idempotent = policy.idempotent;
        let request = Arc::new(Request { service, kind, idempotent, body, content_type });
        let region = view.region_of(&self.0.settings.data_centre);
        let deadline = clock::now() + time_limit;
        let _reservation = reservation;
        Ok(Call {
            policy,
            member,
            request,
            view,
            region,
            client_region,
            deadline,
            key,
            trace,
            _reservation,
        })
    }

    /// Reserves memory for a body, then reads it.
    async fn read_body(
        &self,
        conn: &mut Conn,
        length: Option<&str>,
    ) -> Result<(Reservation, Vec<u8>), Reason> {
        let metrics = &self.0.metrics;
        let limits = &self.0.settings.limits;
        let limit = limits.body_bytes;
        let count_limited =
            |label| metrics.limited.get_or_create(&LimitLabels { limit: label }).inc();
        let chunked = conn.request_headers().has_header(KnownHeaderName::TransferEncoding);
        let length = match length {
            // A chunked body has no known length, so the largest permitted one is reserved.
            None if chunked => limit,
            None => 0,
            Some(text) => text.parse().map_err(|_| Reason::HeadMalformed)?,
        };
        if length > limit {
            count_limited("body");
            return Err(Reason::BodyTooLarge);
        }
        let reservation =
            Reservation::new(metrics, length, limits.held_bytes).ok_or_else(|| {
                count_limited("held");
                // Used-up body memory is reported with the reason for a full queue.
                Reason::QueueFull
            })?;
        let body = conn.request_body().with_max_len(limit as u64).read_bytes().await;
        let body = body.map_err(|error| match error {
            trillium::Error::ReceivedBodyTooLong(_) => {
                count_limited("body");
                Reason::BodyTooLarge
            }
            // Any other error in reading a chunked body is also reported as too large.
            _ if chunked => {
                count_limited("body");
                Reason::BodyTooLarge
            }
            // Any other error, such as an incomplete body, is reported as a malformed head.
            _ => Reason::HeadMalformed,
        })?;
        Ok((reservation, body))
    }

    /// Parses the deadline header. Longer times are cut to the limit.
    fn scan_deadline(&self, text: &str) -> Result<Span, Reason> {
        let ms: u64 = text.parse().map_err(|_| Reason::HeadMalformed)?;
        Ok(Span::from_millis(ms.min(self.0.settings.limits.deadline_ms)))
    }

    /// Serves a request. The key of non-idempotent work is claimed first, so that it runs at most
    /// once.
    async fn claim_and_serve(&self, call: &Call) -> Result<Answer<BodyReader<T::Reader>>, Refusal> {
        let Some(key) = call.key.as_ref().filter(|_| !call.request.idempotent) else {
            return Ok(self.serve(call).await);
        };
        let key_grant = claim(&self.0, &call.member, key).await?;
        let answer = self.serve(call).await;
        report_outcome(&self.0, key_grant, outcome_of(&answer));
        Ok(answer)
    }

    /// Serves in the home region, which is that of this entry, or in another region if the shift
    /// plan (which moves load between regions) says so, if the wait there is expected to be
    /// shorter, or if the home region has no capacity.
    async fn serve(&self, call: &Call) -> Answer<BodyReader<T::Reader>> {
        let home_wait = self.home_wait(call);
        if let Destination::Remote(region) = self.choose_and_take_credit(call, Some(home_wait))
            && let Some(answer) = self.serve_remote(call, region).await
        {
            return answer;
        }
        // `Destination::Refused` counts as `Home` here: the home pool decides.
        let answer = self.serve_in_home_region(call).await;
        let Answer::Failed(reason) = answer else { return answer };
        let lacks_capacity =
            matches!(reason, Reason::DeadlineTooClose | Reason::QueueFull | Reason::NoTarget);
        if lacks_capacity
            && let Destination::Remote(region) = self.choose_and_take_credit(call, None)
            && let Some(answer) = self.serve_remote(call, region).await
        {
            return answer;
        }
        Answer::Failed(reason)
    }

    /// The expected wait in the local pool. If another entry owns the pool, the wait is unknown and
    /// counts as zero, so at first only the shift plan moves the request. This is rare: look-ups
    /// direct callers to the owner.
    fn home_wait(&self, call: &Call) -> Span {
        match self.other_owner(call) {
            None => self.0.pool(&call.request.service).expected_wait(call.policy.flow),
            Some(_) => Span::ZERO,
        }
    }

    /// Chooses where to serve a request, and takes credit if that is another region. `home_wait` is
    /// none if the home region cannot reply in time. Requests of other regions' clients stay here.
    fn choose_and_take_credit(&self, call: &Call, home_wait: Option<Span>) -> Destination {
        let Some(home) = call.region.filter(|region| *region == call.client_region) else {
            return Destination::Home;
        };
        let (service, deadline) = (call.policy.service, call.deadline);
        let query = Query { service, home, deadline, home_wait };
        let now = clock::now();
        let egress = &self.0.egress;
        self.0.ledger.choose(now, &call.view, query, |region| egress.can_send_to(now, region))
    }

    /// Serves in another region and releases the credit that the caller has taken there. None if
    /// nothing was sent, or if the link failed and the request can be retried.
    async fn serve_remote(
        &self,
        call: &Call,
        region: RegionId,
    ) -> Option<Answer<BodyReader<T::Reader>>> {
        let region_name = call.view.document.regions[region].name.as_str();
        let pool = call.view.pool_key(call.policy.service, region);
        let owner_link = {
            let peers = lock(&self.0.peers);
            let now = clock::now();
            let owner = peers.roster.owner(now, pool);
            let owner = owner.filter(|&owner| !peers.roster.is_overdue(now, owner));
            owner.and_then(|owner| Some((owner, peers.link_of(owner)?)))
        };
        let result = match owner_link {
            Some((owner, link)) => {
                let outbound = self.outbound(call, Some((&self.0.egress, region_name)));
                self.forward_to_owner(owner, &link, outbound).await
            }
            None => Err(peer::Error::Unsent),
        };
        // Releases the credit, also if nothing was sent.
        self.0.ledger.end_request(&call.request.service, region_name);
        if result.is_ok() {
            self.0.metrics.sent_remote.inc();
        }
        match result {
            Ok(answer) => Some(answer),
            Err(peer::Error::Unsent) => None,
            Err(peer::Error::Lost) if call.can_retry_now() => None,
            Err(peer::Error::Lost) => Some(Answer::Failed(Reason::PeerLost)),
        }
    }

    /// Serves from the entry of this region that owns the pool. Uses the local pool if no other
    /// owner is known, its heartbeat is overdue, or its link failed and a retry is possible. Two
    /// entries may then send to one target, which sheds the excess load.
    async fn serve_in_home_region(&self, call: &Call) -> Answer<BodyReader<T::Reader>> {
        let Some(owner) = self.other_owner(call) else { return self.serve_locally(call).await };
        let link = lock(&self.0.peers).link_of(owner);
        let Some(link) = link else { return Answer::Failed(Reason::NoOwner) };
        match self.forward_to_owner(owner, &link, self.outbound(call, None)).await {
            Ok(answer) => answer,
            Err(peer::Error::Unsent) => Answer::Failed(Reason::NoOwner),
            Err(peer::Error::Lost) if call.can_retry_now() => self.serve_locally(call).await,
            Err(peer::Error::Lost) => Answer::Failed(Reason::PeerLost),
        }
    }

    /// Forwards a request. For idempotent work, returns `Lost` once the heartbeat of `owner` is
    /// overdue, since there may be time to run it elsewhere. Other work waits: it is not retried.
    async fn forward_to_owner(
        &self,
        owner: EntryId,
        link: &Link,
        outbound: Outbound<'_>,
    ) -> Result<Answer<BodyReader<T::Reader>>, peer::Error> {
        if outbound.request.idempotent {
            future::or(forward(link, outbound), self.until_heartbeat_overdue(owner)).await
        } else {
            forward(link, outbound).await
        }
    }

    /// Fails when the heartbeat of `owner` is overdue.
    async fn until_heartbeat_overdue<B>(&self, owner: EntryId) -> Result<Answer<B>, peer::Error> {
        while !lock(&self.0.peers).roster.is_overdue(clock::now(), owner) {
            Timer::after(HEARTBEAT_CHECK_INTERVAL).await;
        }
        Err(peer::Error::Lost)
    }

    /// `route` is the egress limiter and the region's name if the request leaves this region.
    fn outbound<'a>(&self, call: &'a Call, route: Option<(&'a Egress, &'a str)>) -> Outbound<'a> {
        Outbound {
            member: &call.member,
            request: &call.request,
            deadline: call.deadline,
            trace: call.trace,
            is_failover: call.is_failover(),
            route,
        }
    }

    /// The owner of the pool, unless it is this entry, is unknown, or has an overdue heartbeat.
    fn other_owner(&self, call: &Call) -> Option<EntryId> {
        let pool = call.view.pool_key(call.policy.service, call.region?);
        let now = clock::now();
        let roster = &lock(&self.0.peers).roster;
        let owner = roster.owner(now, pool)?;
        (owner != roster.local_entry() && !roster.is_overdue(now, owner)).then_some(owner)
    }

    /// Serves from the local pool, whether or not this entry owns it.
    async fn serve_locally(&self, call: &Call) -> Answer<BodyReader<T::Reader>> {
        let idempotent = call.request.idempotent;
        let job = Job { flow: call.policy.flow, deadline: call.deadline, idempotent };
        let driver = self.0.pool(&call.request.service);
        if call.is_failover() {
            driver.record_failover(call.deadline);
        }
        // The last argument, `has_credit`, is false: the request came from a caller.
        match driver.offer(job, call.request.clone(), call.trace, false) {
            Ok(handle) => handle.answer().await.map(BodyReader::Target),
            Err(reason) => Answer::Failed(reason),
        }
    }
}

impl Call {
    /// Whether the request is idempotent and its deadline has not passed.
    fn can_retry_now(&self) -> bool {
        self.request.idempotent && clock::now() < self.deadline
    }

    /// Whether the client belongs to another region, taken as a sign that its own is down.
    fn is_failover(&self) -> bool {
        self.region.is_some_and(|region| region != self.client_region)
    }
}

fn outcome_of<B>(answer: &Answer<B>) -> Outcome {
    match answer {
        Answer::Answered(_) => Outcome::Answered,
        Answer::Failed(reason) => reason.outcome(),
    }
}
