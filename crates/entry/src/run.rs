//! Answers `POST /v1/run/SERVICE/KIND`.

use std::sync::Arc;
use std::time::Instant as StdInstant;

use ebonypass_core::outcome::Reason;
use ebonypass_core::pool::Job;
use ebonypass_core::time::Span;
use ebonypass_node::clock;
use ebonypass_node::store::Store;
use ebonypass_node::target::{Request, Target};
use ebonypass_node::trace::{self, Context, Span as TraceSpan};
use prometheus_client::metrics::gauge::Gauge;
use trillium::{Conn, Handler, KnownHeaderName};
use trillium_router::RouterConnExt;

use crate::driver::Answer;
use crate::gauge::{Gauges, ServiceLabels};
use crate::reply::{answer, refuse, run_status};
use crate::state::Entry;
use crate::view::{Terms, scan_block};

/// The handler of `/v1/run/:service/:kind`.
pub(crate) struct Run<S, T: Target>(pub(crate) Arc<Entry<S, T>>);

/// Counts a request for as long as it is handled, also when handling ends early.
struct InFlight(Gauge);

impl InFlight {
    fn new(gauges: &Gauges) -> InFlight {
        gauges.in_flight.inc();
        InFlight(gauges.in_flight.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// A caller's request, read and checked.
struct Call {
    terms: Terms,
    request: Arc<Request>,
    deadline: Span,
    key: Option<String>,
    trace: Context,
}

impl<S: Store, T: Target> Handler for Run<S, T> {
    async fn run(&self, mut conn: Conn) -> Conn {
        let start = StdInstant::now();
        let _in_flight = InFlight::new(&self.0.gauges);
        let context = Context::from_header(conn.request_headers().get_str(trace::HEADER));
        let span = TraceSpan::new(context, "entry");
        let service = conn.param("service").unwrap_or_default().to_owned();
        let result = match self.read(&mut conn, span.context()).await {
            Ok(call) => self.serve(call).await,
            Err(reason) => Answer::Failed(reason),
        };
        let is_known = !matches!(result, Answer::Failed(Reason::UnknownService));
        span.close(result_name(&result));
        let conn = match result {
            Answer::Answered(reply) => answer(conn, &self.0.gauges, reply),
            Answer::Failed(reason) => refuse(conn, &self.0.gauges, run_status(reason), reason),
        };
        if is_known {
            // Names that no policy has would make metrics without bound.
            let latency = self.0.gauges.latency.get_or_create(&ServiceLabels { service });
            latency.observe(start.elapsed().as_secs_f64());
        }
        if self.0.is_leaving() { conn.with_response_header("connection", "close") } else { conn }
    }
}

impl<S: Store, T: Target> Run<S, T> {
    async fn read(&self, conn: &mut Conn, trace: Context) -> Result<Call, Reason> {
        let view = self.0.view()?;
        let service = conn.param("service").ok_or(Reason::UnknownService)?.to_owned();
        let kind = conn.param("kind").ok_or(Reason::UnknownKind)?.to_owned();
        let headers = conn.request_headers();
        let text = |name: &'static str| headers.get_str(name);
        let member = text("ebonypass-member").ok_or(Reason::UnknownMember)?;
        let terms = view.terms(member, &service, &kind)?;
        let block = text("ebonypass-block").and_then(scan_block).ok_or(Reason::UnknownBlock)?;
        view.centre(block)?;
        let deadline = match text("ebonypass-deadline-ms") {
            Some(text) => self.scan_deadline(text)?,
            None => terms.deadline,
        };
        let key = text("ebonypass-key").map(str::to_owned);
        if !terms.idempotent && key.is_none() {
            return Err(Reason::KeyMissing);
        }
        let content_type = headers.get_str(KnownHeaderName::ContentType).map(str::to_owned);
        let limit = self.0.settings.limits.body_bytes;
        let length = headers.get_str(KnownHeaderName::ContentLength);
        if length.is_some_and(|text| text.parse().map_or(true, |length: usize| length > limit)) {
            return Err(Reason::BodyTooLarge);
        }
        let body = conn.request_body().with_max_len(limit as u64).read_bytes().await;
        let body = body.map_err(|_| Reason::BodyTooLarge)?;
        let idempotent = terms.idempotent;
        let request = Arc::new(Request { service, kind, idempotent, body, content_type });
        Ok(Call { terms, request, deadline, key, trace })
    }

    fn scan_deadline(&self, text: &str) -> Result<Span, Reason> {
        let ms: u64 = text.parse().map_err(|_| Reason::HeadMalformed)?;
        Ok(Span::from_millis(ms.min(self.0.settings.limits.deadline_ms)))
    }

    async fn serve(&self, call: Call) -> Answer<T::Reader> {
        if let Some(key) = call.key.filter(|_| !call.terms.idempotent)
            && let Err(reason) = self.0.claim(&key)
        {
            return Answer::Failed(reason);
        }
        let job = Job {
            flow: call.terms.flow,
            deadline: clock::now() + call.deadline,
            idempotent: call.terms.idempotent,
        };
        let driver = self.0.pool(&call.request.service);
        match driver.offer(job, call.request, call.trace) {
            Ok(waiting) => waiting.answer().await,
            Err(reason) => Answer::Failed(reason),
        }
    }
}

fn result_name<B>(result: &Answer<B>) -> &'static str {
    match result {
        Answer::Answered(_) => "answered",
        Answer::Failed(reason) => reason.outcome().as_str(),
    }
}
