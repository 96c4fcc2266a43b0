//! Client of the platform's object store and VM list.
//!
//! [`Http`] implements the wire protocol of section 5.4 of docs/design.md. All other code depends
//! only on the [`Store`] trait.

use std::fmt;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::future;
use serde::{Deserialize, Serialize};
use trillium_client::{Client, Conn, Status};
use trillium_smol::ClientConfig;

/// Key of the policy document.
pub const POLICY_KEY: &str = "policy/current";
/// Key of the lease that elects the steward, the entry that advances the shift plan.
pub const STEWARD_KEY: &str = "lease/steward";
/// Key of the shift plan.
pub const PLAN_KEY: &str = "plan/current";

/// The largest value that the store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The largest listing that is read, in bytes.
const MAX_LIST_BYTES: u64 = 16 * 1024 * 1024;

/// Timeout of a call. A healthy store answers within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A stored value and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The version, starting at 1.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// An entry of a listing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The version.
    pub version: u64,
}

/// What a VM is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Runs an entry.
    Entry,
    /// Runs a target.
    Target,
}

/// The state that the platform reports for a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// Running.
    Live,
    /// About to stop.
    Leaving,
}

/// A VM in the platform's list, which lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Unique name.
    pub name: String,
    /// What the VM is used for.
    pub role: Role,
    /// The service, for a target.
    #[serde(default)]
    pub service: Option<String>,
    /// The data centre it runs in.
    pub data_centre: String,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Where it accepts connections of peers, for an entry.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
    /// How many requests it runs at once, for a target.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Whether it is running or about to stop.
    pub state: Lifecycle,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The object's version is not the one that the write expected. Nothing was written.
    Conflict {
        /// The version that the store holds; 0 if the object is absent.
        current: u64,
    },
    /// The store has no such object.
    NotFound,
    /// The store could not be reached. Nothing was written.
    Unreachable(String),
    /// The write was sent but not confirmed. It may have taken effect.
    Uncertain(String),
    /// The store refused the call with this status code. Nothing was written.
    Refused(u16),
    /// The reply violates the protocol.
    Malformed(String),
    /// The value is larger than [`MAX_VALUE_BYTES`]. Nothing was sent.
    TooLarge(usize),
    /// The key contains `..`, `//`, or a character other than ASCII letters, digits, `-`, `_`, `.`
    /// and `/`. Nothing was sent.
    InvalidKey(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Conflict { current } => {
                write!(f, "version conflict: the store holds version {current}")
            }
            Error::NotFound => write!(f, "the store has no such object"),
            Error::Unreachable(cause) => write!(f, "the store is not reachable: {cause}"),
            Error::Uncertain(cause) => {
                write!(f, "the write was not confirmed and may have taken effect: {cause}")
            }
            Error::Refused(status) => write!(f, "the store refused the call with status {status}"),
            Error::Malformed(cause) => write!(f, "malformed reply from the store: {cause}"),
            Error::TooLarge(len) => {
                write!(f, "value of {len} bytes exceeds the limit of {MAX_VALUE_BYTES}")
            }
            Error::InvalidKey(key) => write!(f, "invalid object key {key:?}"),
        }
    }
}

impl std::error::Error for Error {}

/// An object store with versions, conditional writes and watches, and the platform's VM list.
pub trait Store: Send + Sync + 'static {
    /// Returns the object at `key`, or [`Error::NotFound`].
    fn get(&self, key: &str) -> impl Future<Output = Result<Object, Error>> + Send;

    /// Returns the object at `key` as soon as its version is above `after`, or `None` after `wait`.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Writes `value` if the object's version is `if_version` (0: if the object is absent), and
    /// returns the new version.
    fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        if_version: u64,
    ) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Lists the objects whose keys start with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Item>, Error>> + Send;

    /// Returns the VM list.
    fn vms(&self) -> impl Future<Output = Result<Vec<Vm>, Error>> + Send;
}

/// A client of the store over HTTP/1.1.
#[derive(Debug, Clone)]
pub struct Http {
    client: Client,
    base_url: String,
    timeout: Duration,
}

impl Http {
    /// A client of the store at `address`, with a timeout of 2 s per call.
    pub fn new(address: SocketAddr) -> Http {
        let config = ClientConfig::new().with_nodelay(true);
        // Bodies up to this size are sent without `Expect: 100-continue`. A store need not support
        // that header, and waiting for its answer would cost a second per write.
        let client = Client::new(config).with_max_buffered_request_body(MAX_VALUE_BYTES);
        Http { client, base_url: format!("http://{address}"), timeout: CALL_TIMEOUT }
    }

    /// Sets the timeout of a call.
    pub fn with_timeout(self, timeout: Duration) -> Http {
        Http { timeout, ..self }
    }

    async fn fetch(&self, url: String, wait: Duration, max_bytes: u64) -> Result<Reply, Error> {
        let call = call(self.client.get(url.as_str()), max_bytes);
        let reply = timeout_after(call, self.timeout + wait).await;
        reply.map_err(|cause| Error::Unreachable(cause.to_string()))
    }
}

impl Store for Http {
    async fn get(&self, key: &str) -> Result<Object, Error> {
        check_key(key)?;
        let url = format!("{}/objects/{key}", self.base_url);
        self.fetch(url, Duration::ZERO, MAX_VALUE_BYTES as u64).await?.into_object()
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Object>, Error> {
        check_key(key)?;
        let wait_ms = wait.as_millis();
        let url = format!("{}/objects/{key}?after={after}&wait_ms={wait_ms}", self.base_url);
        let reply = self.fetch(url, wait, MAX_VALUE_BYTES as u64).await?;
        if reply.status == 304 {
            return Ok(None);
        }
        let object = reply.into_object()?;
        if object.version <= after {
            // A faulty store, or one restored from a backup, may return an old version, which must
            // not be used.
            return Err(Error::Malformed(format!("version {} after {after}", object.version)));
        }
        Ok(Some(object))
    }

    async fn put(&self, key: &str, value: Vec<u8>, if_version: u64) -> Result<u64, Error> {
        check_key(key)?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge(value.len()));
        }
        let url = format!("{}/objects/{key}", self.base_url);
        let conn = self.client.put(url.as_str()).with_request_header("x-if-version", if_version);
        let conn = conn.with_body(value);
        let reply = match timeout_after(call(conn, MAX_VALUE_BYTES as u64), self.timeout).await {
            Ok(reply) => reply,
            Err(cause) if cause.is_unsent() => return Err(Error::Unreachable(cause.to_string())),
            Err(cause) => return Err(Error::Uncertain(cause.to_string())),
        };
        match (reply.status, reply.version) {
            (200, Some(version)) => Ok(version),
            (412, Some(current)) => Err(Error::Conflict { current }),
            (412, None) => Err(Error::Conflict { current: 0 }),
            (400..=499, _) => Err(Error::Refused(reply.status)),
            (status, _) => Err(Error::Uncertain(format!("status {status}"))),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Item>, Error> {
        check_key(prefix)?;
        let url = format!("{}/objects?prefix={prefix}", self.base_url);
        let reply = self.fetch(url, Duration::ZERO, MAX_LIST_BYTES).await?;
        scan_items(&reply.into_value()?)
    }

    async fn vms(&self) -> Result<Vec<Vm>, Error> {
        let url = format!("{}/vms", self.base_url);
        let reply = self.fetch(url, Duration::ZERO, MAX_LIST_BYTES).await?;
        scan_vms(&reply.into_value()?)
    }
}

/// Parses a listing. Arbitrary bytes give an error, never a panic.
pub fn scan_items(bytes: &[u8]) -> Result<Vec<Item>, Error> {
    #[derive(Deserialize)]
    struct List {
        objects: Vec<Item>,
    }
    let list: List = serde_json::from_slice(bytes).map_err(malformed)?;
    Ok(list.objects)
}

/// Parses a VM list. Arbitrary bytes give an error, never a panic.
pub fn scan_vms(bytes: &[u8]) -> Result<Vec<Vm>, Error> {
    #[derive(Deserialize)]
    struct List {
        vms: Vec<Vm>,
    }
    let list: List = serde_json::from_slice(bytes).map_err(malformed)?;
    Ok(list.vms)
}

fn malformed(cause: impl fmt::Display) -> Error {
    Error::Malformed(cause.to_string())
}

fn check_key(key: &str) -> Result<(), Error> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
    if key.bytes().all(is_allowed) && !key.contains("..") && !key.contains("//") {
        return Ok(());
    }
    Err(Error::InvalidKey(key.to_owned()))
}

/// A complete reply of the store.
#[derive(Debug)]
struct Reply {
    status: u16,
    version: Option<u64>,
    value: Vec<u8>,
}

impl Reply {
    fn into_value(self) -> Result<Vec<u8>, Error> {
        match self.status {
            200 => Ok(self.value),
            404 => Err(Error::NotFound),
            500..=599 => Err(Error::Unreachable(format!("status {}", self.status))),
            status => Err(Error::Refused(status)),
        }
    }

    fn into_object(self) -> Result<Object, Error> {
        let version = self.version;
        let value = self.into_value()?;
        let version = version.ok_or_else(|| malformed("no x-version header"))?;
        Ok(Object { version, value })
    }
}

/// Why a call got no complete reply.
#[derive(Debug)]
enum CallError {
    Timeout,
    Client(trillium_client::Error),
}

impl CallError {
    /// Whether the connection was refused, so that no byte of the request was sent.
    fn is_unsent(&self) -> bool {
        let CallError::Client(trillium_client::Error::Io(error)) = self else { return false };
        matches!(
            error.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::AddrNotAvailable
        )
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Timeout => write!(f, "the call timed out"),
            CallError::Client(error) => write!(f, "{error}"),
        }
    }
}

async fn call(mut conn: Conn, max_bytes: u64) -> Result<Reply, trillium_client::Error> {
    (&mut conn).await?;
    let status = conn.status().map_or(0, |status: Status| status as u16);
    let version = conn.response_headers().get_str("x-version").and_then(|text| text.parse().ok());
    let value = conn.response_body().with_max_len(max_bytes).read_bytes().await?;
    Ok(Reply { status, version, value })
}

async fn timeout_after(
    call: impl Future<Output = Result<Reply, trillium_client::Error>>,
    timeout: Duration,
) -> Result<Reply, CallError> {
    let call = async { call.await.map_err(CallError::Client) };
    let timer = async {
        smol::Timer::after(timeout).await;
        Err(CallError::Timeout)
    };
    future::or(call, timer).await
}
