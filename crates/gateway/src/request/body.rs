//! Receives the bodies of requests.

use std::rc::Rc;

use ebonypass_core::outcome::Reason;
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use futures_lite::future;
use http_body::Body as HttpBody;
use http_body_util::BodyExt;
use hyper::HeaderMap;

use crate::budget::{Reservation, Windows};
use crate::footprint::{REQUEST_BYTES, UPLOAD_BYTES, WIDE_READ_BYTES};
use crate::gateway::Gateway;
use crate::limit::Limit;
use crate::listener::Upload;
use crate::payload::{Collector, Payload};

/// How long a body waits for memory that other bodies use, all in all. A caller gives up a request
/// that is not read within a second. Bodies that had this long for each part would hold what they
/// have against each other.
const MAX_BODY_WAIT: Span = Span::from_millis(500);
/// Memory of a header, beside its name and value.
const HEADER_OVERHEAD: usize = 64;
/// A body larger than this is received with an enlarged receive buffer.
const SMALL_BODY_BYTES: usize = 16 << 10;

/// Receives a body of at most `limit` bytes. The reservation covers the body and `headers`.
///
/// Errors: the body is too large or malformed, or there is no memory for it.
pub(super) async fn receive(
    gateway: &Rc<Gateway>,
    headers: &HeaderMap,
    body: Upload,
    limit: usize,
    deadline: Instant,
) -> Result<(Payload, Reservation), Reason> {
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > limit {
        gateway.tally.add(Limit::BodySize);
        return Err(Reason::BodyTooLarge);
    }
    let (reservation, eviction) = gateway.bodies.reservation_for_reader();
    let overhead = if body.is_end_stream() { REQUEST_BYTES } else { UPLOAD_BYTES };
    let sizes = Sizes {
        head: overhead + head_bytes(headers),
        // The kernel lets twice the size of the buffer in.
        window: 2 * gateway.settings.limits.socket_buffer() + WIDE_READ_BYTES,
        total: gateway.bodies.total(),
        limit,
    };
    let evicted = async {
        eviction.wait().await;
        Err(Reason::QueueFull)
    };
    let result = future::or(
        collect(&gateway.bodies.windows, body, stated, sizes, reservation, deadline),
        evicted,
    )
    .await;
    match result {
        Err(Reason::QueueFull) if eviction.is_set() => gateway.tally.add(Limit::Body),
        Err(Reason::QueueFull) => gateway.tally.add(Limit::Memory),
        Err(Reason::BodyTooLarge) => gateway.tally.add(Limit::BodySize),
        _ => {}
    }
    result
}

/// Memory that the headers of a request take.
fn head_bytes(headers: &HeaderMap) -> usize {
    let sizes =
        headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD);
    sizes.sum()
}

/// What the size of a reservation follows from.
#[derive(Debug, Clone, Copy)]
struct Sizes {
    /// What the request takes beside its body.
    head: usize,
    window: usize,
    total: usize,
    limit: usize,
}

impl Sizes {
    /// The reservation for a body that takes `capacity`. None if there is never as much.
    fn reservation(&self, capacity: usize) -> Option<usize> {
        // A body of the permitted size is served on a machine with just that memory for bodies.
        let bytes = (capacity + self.head).min(self.total.max(self.head));
        (capacity <= self.total).then_some(bytes)
    }
}

async fn collect(
    windows: &Rc<Windows>,
    mut body: Upload,
    stated: usize,
    sizes: Sizes,
    mut reservation: Reservation,
    deadline: Instant,
) -> Result<(Payload, Reservation), Reason> {
    // All of an announced body is reserved before it is read, so that bodies do not wait for each
    // other half-read.
    let limit = if stated > 0 { stated } else { sizes.limit };
    let mut wait = Wait { left: MAX_BODY_WAIT, deadline };
    wait.reserve(&mut reservation, sizes.reservation(stated)).await?;
    if stated > SMALL_BODY_BYTES {
        widen(&body, windows, sizes.window);
    }
    let mut collector = Collector::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Reason::HeadMalformed)?;
        let Ok(data) = frame.into_data() else { continue };
        if collector.length() + data.len() > limit {
            return Err(Reason::BodyTooLarge);
        }
        let capacity = collector.capacity_with(data.len(), limit);
        let capacity = capacity.max(stated);
        wait.reserve(&mut reservation, sizes.reservation(capacity)).await?;
        if capacity > SMALL_BODY_BYTES {
            widen(&body, windows, sizes.window);
        }
        collector.push(&data, limit);
        reservation.record_received(collector.length());
    }
    reservation.complete();
    Ok((collector.finish(), reservation))
}

/// Enlarges the receive buffer of the connection if there is memory for `window` now. Until then a
/// client can leave no more unread than on any other connection.
fn widen(body: &Upload, windows: &Rc<Windows>, window: usize) {
    if !body.is_wide()
        && let Some(memory) = windows.try_reserve(window)
    {
        body.widen(memory);
    }
}

/// How long a body may still wait for memory.
#[derive(Debug, Clone, Copy)]
struct Wait {
    left: Span,
    deadline: Instant,
}

impl Wait {
    /// Enlarges a reservation to `bytes`, if there may ever be as many.
    async fn reserve(
        &mut self,
        reservation: &mut Reservation,
        bytes: Option<usize>,
    ) -> Result<(), Reason> {
        let bytes = bytes.ok_or(Reason::QueueFull)?;
        let start = clock::now();
        let is_grown = reservation.grow(bytes, self.deadline.min(start + self.left)).await;
        self.left = self.left - clock::now().since(start).min(self.left);
        if is_grown { Ok(()) } else { Err(Reason::QueueFull) }
    }
}
