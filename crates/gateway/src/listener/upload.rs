//! The body of a request, with the connection that it arrives on.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use super::table::Place;
use crate::budget::Window;

/// The body of an incoming request.
#[derive(Debug)]
pub struct Upload {
    body: Incoming,
    place: Rc<Place>,
}

impl Upload {
    pub(super) fn new(body: Incoming, place: Rc<Place>) -> Upload {
        Upload { body, place }
    }

    /// Whether the receive buffer of the connection is enlarged.
    pub fn is_wide(&self) -> bool {
        self.place.is_wide()
    }

    /// Enlarges the receive buffer of the connection. `memory` covers what may then be unread; it
    /// is kept until that has been read.
    pub fn widen(&self, memory: Window) {
        self.place.widen(memory);
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
