//! Bodies of replies to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Incoming;

use crate::connection::Connection;

/// A body. A body that breaks off ends the caller's connection, so that it never looks complete.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Whole(Option<Bytes>),
    /// What has been read of it, and the rest as it comes.
    Stream {
        /// What has been read and not been sent.
        start: Option<Bytes>,
        /// The rest.
        rest: Incoming,
        /// The connection that it comes on.
        _connection: Connection,
    },
}

impl Body {
    /// The body `bytes`.
    pub fn whole(bytes: impl Into<Bytes>) -> Body {
        let bytes = bytes.into();
        Body::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Body::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Body::Stream { start, rest, .. } => match start.take() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => Pin::new(rest).poll_frame(context),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(bytes) => bytes.is_none(),
            Body::Stream { start, rest, .. } => start.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Body::Stream { start, rest, .. } => {
                let start = start.as_ref().map_or(0, |bytes| bytes.len() as u64);
                rest.size_hint()
                    .exact()
                    .map_or_else(SizeHint::new, |rest| SizeHint::with_exact(start + rest))
            }
        }
    }
}
