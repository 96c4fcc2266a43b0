//! Answers `POST /v1/run/SERVICE/KIND`.

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

use crate::afar::Search;
use crate::claim::{Refusal, claim, settle};
use crate::driver::Answer;
use crate::egress::Egress;
use crate::forward::{Parcel, Rest, forward};
use crate::metric::{LimitLabels, Metrics, ServiceLabels};
use crate::reply::{PRIOR, answer, refuse, run_status};
use crate::state::Entry;
use crate::view::{RequestPolicy, View, scan_block};

/// Time between two looks at the heartbeats of an entry that has a request.
const OVERDUE_INTERVAL: Duration = Duration::from_millis(100);

/// The handler of `/v1/run/:service/:kind`.
pub(crate) struct Run<S, T: Target>(pub(crate) Arc<Entry<S, T>>);

/// Counts a request for as long as it is handled, also when handling ends early.
pub(crate) struct InFlight(Gauge);

impl InFlight {
    pub(crate) fn new(gauges: &Metrics) -> InFlight {
        gauges.in_flight.inc();
        InFlight(gauges.in_flight.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Room for a body among the bytes that are held.
struct Held {
    bytes: Gauge,
    length: i64,
}

impl Held {
    /// Room for `length` bytes, if no more than `limit` are held then.
    fn new(gauges: &Metrics, length: usize, limit: usize) -> Option<Held> {
        let bytes = gauges.held_bytes.clone();
        let length = length as i64;
        let before = bytes.inc_by(length);
        let held = Held { bytes, length };
        (before + length <= limit as i64).then_some(held)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.bytes.dec_by(self.length);
    }
}

/// A caller's request, read and checked.
struct Call {
    terms: RequestPolicy,
    member: String,
    request: Arc<Request>,
    view: Arc<View>,
    /// The region of this entry, if the policy names its data centre.
    region: Option<RegionId>,
    /// The region of the client.
    client_region: RegionId,
    deadline: Instant,
    key: Option<String>,
    trace: Context,
    _held: Held,
}

impl<S: Store, T: Target> Handler for Run<S, T> {
    async fn run(&self, mut conn: Conn) -> Conn {
        let start = StdInstant::now();
        let _in_flight = InFlight::new(&self.0.metrics);
        let context = Context::from_header(conn.request_headers().get_str(trace::HEADER));
        let span = TraceSpan::new(context, "entry");
        let service = conn.param("service").unwrap_or_default().to_owned();
        let call = self.read(&mut conn, span.context()).await;
        let is_read = call.is_ok() || conn.request_headers().content_length() == Some(0);
        let result = match call {
            Ok(call) => self.claim(&call).await,
            Err(reason) => Ok(Answer::Failed(reason)),
        };
        let is_known = !matches!(result, Ok(Answer::Failed(Reason::UnknownService)));
        span.close(match &result {
            Ok(answer) => outcome_of(answer).as_str(),
            Err(_) => "refused",
        });
        let gauges = &self.0.metrics;
        let conn = match result {
            Ok(Answer::Answered(reply)) => answer(conn, gauges, reply),
            Ok(Answer::Failed(reason)) | Err(Refusal::Reason(reason)) => {
                refuse(conn, gauges, run_status(reason), reason)
            }
            Err(Refusal::Repeated(prior)) => {
                let reason = Reason::KeyRepeated;
                refuse(conn, gauges, run_status(reason), reason).with_response_header(PRIOR, prior)
            }
        };
        if is_known {
            // Names that no policy has would make metrics without bound.
            let latency = self.0.metrics.latency.get_or_create(&ServiceLabels { service });
            latency.observe(start.elapsed().as_secs_f64());
        }
        // A refused body may not have been read, so the next request could not be found.
        if self.0.is_leaving() || !is_read {
            conn.with_response_header("connection", "close")
        } else {
            conn
        }
    }
}

impl<S: Store, T: Target> Run<S, T> {
    async fn read(&self, conn: &mut Conn, trace: Context) -> Result<Call, Reason> {
        let view = self.0.view()?;
        let service = conn.param("service").ok_or(Reason::UnknownService)?.to_owned();
        let kind = conn.param("kind").ok_or(Reason::UnknownKind)?.to_owned();
        let headers = conn.request_headers();
        let text = |name: &'static str| headers.get_str(name);
        let member = text("ebonypass-member").ok_or(Reason::UnknownMember)?.to_owned();
        let terms = view.request_policy(&member, &service, &kind)?;
        let block = text("ebonypass-block").and_then(scan_block).ok_or(Reason::UnknownBlock)?;
        let client_region = view.document.region_of(view.nearest_centre(block)?);
        let deadline = match text("ebonypass-deadline-ms") {
            Some(text) => self.scan_deadline(text)?,
            None => terms.default_deadline,
        };
        let key = text("ebonypass-key").map(str::to_owned);
        if !terms.idempotent && key.is_none() {
            return Err(Reason::KeyMissing);
        }
        let content_type = headers.get_str(KnownHeaderName::ContentType).map(str::to_owned);
        let length = headers.get_str(KnownHeaderName::ContentLength).map(str::to_owned);
        let (held, body) = self.read_body(conn, length.as_deref()).await?;
        let idempotent = terms.idempotent;
        let request = Arc::new(Request { service, kind, idempotent, body, content_type });
        let region = view.region_of(&self.0.settings.data_centre);
        let deadline = clock::now() + deadline;
        let _held = held;
        Ok(Call {
            terms,
            member,
            request,
            view,
            region,
            client_region,
            deadline,
            key,
            trace,
            _held,
        })
    }

    /// Reads a body, once there is room for it among the bytes that are held.
    async fn read_body(
        &self,
        conn: &mut Conn,
        length: Option<&str>,
    ) -> Result<(Held, Vec<u8>), Reason> {
        let gauges = &self.0.metrics;
        let limits = &self.0.settings.limits;
        let limit = limits.body_bytes;
        let count = |limit| gauges.limited.get_or_create(&LimitLabels { limit }).inc();
        let chunked = conn.request_headers().has_header(KnownHeaderName::TransferEncoding);
        let length = match length {
            // Bodies in chunks tell no length, so room for the largest one is kept.
            None if chunked => limit,
            None => 0,
            Some(text) => text.parse().map_err(|_| Reason::HeadMalformed)?,
        };
        if length > limit {
            count("body");
            return Err(Reason::BodyTooLarge);
        }
        let held = Held::new(gauges, length, limits.held_bytes).ok_or_else(|| {
            count("held");
            Reason::QueueFull
        })?;
        let body = conn.request_body().with_max_len(limit as u64).read_bytes().await;
        let body = body.map_err(|error| match error {
            trillium::Error::ReceivedBodyTooLong(_) => {
                count("body");
                Reason::BodyTooLarge
            }
            _ if chunked => {
                count("body");
                Reason::BodyTooLarge
            }
            _ => Reason::HeadMalformed,
        })?;
        Ok((held, body))
    }

    fn scan_deadline(&self, text: &str) -> Result<Span, Reason> {
        let ms: u64 = text.parse().map_err(|_| Reason::HeadMalformed)?;
        Ok(Span::from_millis(ms.min(self.0.settings.limits.deadline_ms)))
    }

    /// Claims the key of non-idempotent work, and serves.
    async fn claim(&self, call: &Call) -> Result<Answer<Rest<T::Reader>>, Refusal> {
        let Some(key) = call.key.as_ref().filter(|_| !call.request.idempotent) else {
            return Ok(self.serve(call).await);
        };
        let grant = claim(&self.0, &call.member, key).await?;
        let answer = self.serve(call).await;
        settle(&self.0, grant, outcome_of(&answer));
        Ok(answer)
    }

    /// Serves in the home region or, by plan or because the home region cannot, in another one.
    /// Clients of other regions come here when theirs is gone, and are served here.
    async fn serve(&self, call: &Call) -> Answer<Rest<T::Reader>> {
        let home_wait = self.home_wait(call);
        if let Destination::Remote(region) = self.place(call, Some(home_wait))
            && let Some(answer) = self.serve_afar(call, region).await
        {
            return answer;
        }
        let answer = self.serve_home(call).await;
        let Answer::Failed(reason) = answer else { return answer };
        let is_full =
            matches!(reason, Reason::DeadlineTooClose | Reason::QueueFull | Reason::NoTarget);
        if is_full
            && let Destination::Remote(region) = self.place(call, None)
            && let Some(answer) = self.serve_afar(call, region).await
        {
            return answer;
        }
        Answer::Failed(reason)
    }

    /// The expected wait in the own pool. Another owner's is not known here and counts as none;
    /// look-ups send callers to the owner.
    fn home_wait(&self, call: &Call) -> Span {
        match self.owner(call) {
            None => self.0.pool(&call.request.service).expected_wait(call.terms.flow),
            Some(_) => Span::ZERO,
        }
    }

    fn place(&self, call: &Call, home_wait: Option<Span>) -> Destination {
        let Some(home) = call.region.filter(|region| *region == call.client_region) else {
            return Destination::Home;
        };
        let (service, deadline) = (call.terms.service, call.deadline);
        let search = Search { service, home, deadline, home_wait };
        let now = clock::now();
        let border = &self.0.egress;
        self.0.afar.choose(now, &call.view, search, |region| border.can_send_to(now, region))
    }

    /// Serves in another region, whose credit has been taken. None if nothing was sent there, or
    /// if the work may be done again.
    async fn serve_afar(&self, call: &Call, region: RegionId) -> Option<Answer<Rest<T::Reader>>> {
        let name = call.view.document.regions[region].name.as_str();
        let pool = call.view.pool_key(call.terms.service, region);
        let way = {
            let members = lock(&self.0.peers);
            let now = clock::now();
            let owner = members.roster.owner(now, pool);
            let owner = owner.filter(|&owner| !members.roster.is_overdue(now, owner));
            owner.and_then(|owner| Some((owner, members.link_of(owner)?)))
        };
        let result = match way {
            Some((owner, link)) => {
                let parcel = self.parcel(call, Some((&self.0.egress, name)));
                self.forward(owner, &link, parcel).await
            }
            None => Err(peer::Error::Unsent),
        };
        self.0.afar.put(&call.request.service, name);
        if result.is_ok() {
            self.0.metrics.sent_afar.inc();
        }
        match result {
            Ok(answer) => Some(answer),
            Err(peer::Error::Unsent) => None,
            Err(peer::Error::Lost) if call.may_repeat() => None,
            Err(peer::Error::Lost) => Some(Answer::Failed(Reason::PeerLost)),
        }
    }

    /// Serves from the entry of this region that owns the pool, or from the own pool while nothing
    /// is heard of the owner. Targets then shed what is too much.
    async fn serve_home(&self, call: &Call) -> Answer<Rest<T::Reader>> {
        let Some(owner) = self.owner(call) else { return self.serve_here(call).await };
        let link = lock(&self.0.peers).link_of(owner);
        let Some(link) = link else { return Answer::Failed(Reason::NoOwner) };
        match self.forward(owner, &link, self.parcel(call, None)).await {
            Ok(answer) => answer,
            Err(peer::Error::Unsent) => Answer::Failed(Reason::NoOwner),
            Err(peer::Error::Lost) if call.may_repeat() => self.serve_here(call).await,
            Err(peer::Error::Lost) => Answer::Failed(Reason::PeerLost),
        }
    }

    /// Forwards a request. Idempotent work is given up as soon as nothing is heard of `owner`, since
    /// there may be time to run it elsewhere.
    async fn forward(
        &self,
        owner: EntryId,
        link: &Link,
        parcel: Parcel<'_>,
    ) -> Result<Answer<Rest<T::Reader>>, peer::Error> {
        if parcel.request.idempotent {
            future::or(forward(link, parcel), self.until_overdue(owner)).await
        } else {
            forward(link, parcel).await
        }
    }

    /// Ends when the heartbeat of `owner` is overdue.
    async fn until_overdue<B>(&self, owner: EntryId) -> Result<Answer<B>, peer::Error> {
        while !lock(&self.0.peers).roster.is_overdue(clock::now(), owner) {
            Timer::after(OVERDUE_INTERVAL).await;
        }
        Err(peer::Error::Lost)
    }

    fn parcel<'a>(&self, call: &'a Call, way: Option<(&'a Egress, &'a str)>) -> Parcel<'a> {
        Parcel {
            member: &call.member,
            request: &call.request,
            deadline: call.deadline,
            trace: call.trace,
            is_visit: call.is_visit(),
            way,
        }
    }

    /// The other entry that owns the pool; none if it is this one, or if a heartbeat is overdue.
    fn owner(&self, call: &Call) -> Option<EntryId> {
        let pool = call.view.pool_key(call.terms.service, call.region?);
        let now = clock::now();
        let roster = &lock(&self.0.peers).roster;
        let owner = roster.owner(now, pool)?;
        (owner != roster.local_entry() && !roster.is_overdue(now, owner)).then_some(owner)
    }

    async fn serve_here(&self, call: &Call) -> Answer<Rest<T::Reader>> {
        let idempotent = call.request.idempotent;
        let job = Job { flow: call.terms.flow, deadline: call.deadline, idempotent };
        let driver = self.0.pool(&call.request.service);
        if call.is_visit() {
            driver.note_visit(call.deadline);
        }
        match driver.offer(job, call.request.clone(), call.trace, false) {
            Ok(waiting) => waiting.answer().await.map(Rest::Target),
            Err(reason) => Answer::Failed(reason),
        }
    }
}

impl Call {
    /// Whether doing the work a second time does no harm and there is time for it.
    fn may_repeat(&self) -> bool {
        self.request.idempotent && clock::now() < self.deadline
    }

    /// Whether the client belongs to another region and came here because its own is gone.
    fn is_visit(&self) -> bool {
        self.region.is_some_and(|region| region != self.client_region)
    }
}

fn outcome_of<B>(answer: &Answer<B>) -> Outcome {
    match answer {
        Answer::Answered(_) => Outcome::Answered,
        Answer::Failed(reason) => reason.outcome(),
    }
}
