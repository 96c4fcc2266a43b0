//! Calls to the platform's store.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, header};
use smol::{LocalExecutor, Timer};

use crate::connection::{Connection, Error as ConnectionError};

/// Time for a connection to the store. An opening packet that is lost in a cut is sent again only
/// after seconds, so the next try must come soon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);
/// Bytes of an answer that are read; lists come in pages of about 1 MB.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// Why a call gave no answer.
#[derive(Debug)]
pub enum Error {
    /// The store was not reached, or did not answer.
    NoReply(String),
    /// The store refused the call with this status.
    Refused(StatusCode),
    /// The history that was asked for is gone.
    HistoryGone,
    /// The object is not as the call expects, or there is none.
    Conflict,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::NoReply(reason) => write!(f, "no answer: {reason}"),
            Error::Refused(status) => write!(f, "refused with status {status}"),
            Error::HistoryGone => f.write_str("history is gone"),
            Error::Conflict => f.write_str("conflict"),
        }
    }
}

/// A client of the store with one connection. Calls are made one after the other.
#[derive(Debug)]
pub struct Client {
    executor: Rc<LocalExecutor<'static>>,
    address: SocketAddr,
    connection: RefCell<Option<Connection>>,
}

impl Client {
    /// A client of the store, or of a peer that passes on what it says, at `address`.
    pub fn new(executor: Rc<LocalExecutor<'static>>, address: SocketAddr) -> Client {
        Client { executor, address, connection: RefCell::new(None) }
    }

    /// The address that is called.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes a call and returns the body of its answer.
    ///
    /// Errors: no answer within `timeout`, which says nothing of a write, or an answer that is not a
    /// success.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, Error> {
        let timer = async {
            Timer::after(timeout).await;
            Err(Error::NoReply("timeout".to_owned()))
        };
        // A connection whose answer did not come returns nothing further and is not reusable.
        let connection = self.connection.borrow_mut().take();
        let (connection, answer) =
            future::or(self.send_request(connection, method, path, body), timer).await?;
        *self.connection.borrow_mut() = Some(connection);
        answer
    }

    async fn send_request(
        &self,
        connection: Option<Connection>,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(Connection, Result<Bytes, Error>), Error> {
        let reusable = match connection {
            Some(mut connection) => connection.is_ready().await.then_some(connection),
            None => None,
        };
        let mut connection = match reusable {
            Some(connection) => connection,
            None => Connection::open(&self.executor, self.address, CONNECT_TIMEOUT)
                .await
                .map_err(|error| Error::NoReply(error.to_string()))?,
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::NoReply(error.to_string()))?;
        let reply = connection.send(request).await.map_err(|error| match error {
            ConnectionError::Unsent(reason) | ConnectionError::Lost(reason) => {
                Error::NoReply(reason)
            }
        })?;
        let status = reply.status();
        let body = Limited::new(reply.into_body(), MAX_REPLY_BYTES).collect().await;
        let body = body.map_err(|error| Error::NoReply(error.to_string()))?.to_bytes();
        let answer = match status {
            status if status.is_success() => Ok(body),
            StatusCode::GONE => Err(Error::HistoryGone),
            StatusCode::CONFLICT | StatusCode::NOT_FOUND => Err(Error::Conflict),
            status => Err(Error::Refused(status)),
        };
        Ok((connection, answer))
    }
}
