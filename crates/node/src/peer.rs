//! QUIC connections between entries.
//!
//! Each entry opens a connection to every other entry and sends its frames and requests on it. The
//! frames and requests of a peer arrive on the connection that the peer opened. One-way frames,
//! such as heartbeats, share a unidirectional control stream that starts with [`Hello`]. Each
//! request has a bidirectional stream of its own, on which the reply returns.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use futures_lite::future;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{Connection, EndpointConfig, SmolRuntime, TransportConfig};
use rustls_pki_types::CertificateDer;
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};

use crate::event::{Event, emit};
use crate::stream::{Exchange, Reader};
use crate::sync::lock;
use crate::tls::{self, Identity, dns_name};
use crate::wire::{self, Frame, Hello, PROTOCOL_VERSION, encode};

/// Idle time after which a connection counts as lost. Heartbeats are sent every 500 ms; QUIC
/// keep-alives every 1 s keep a connection open on which no frames are sent.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for establishing a connection, and for the first frame on it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two attempts to connect.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Capacity of a link's send queue, in one-way frames. A full queue drops new frames. That is safe:
/// heartbeats, seat votes, VM lists and requests for rate or credit are sent again periodically
/// with newer content, and a dropped reply is replaced by that to the next request.
const QUEUE_CAPACITY: usize = 256;

/// Maximum number of requests in flight on one connection. The limit of a connection starts at
/// [`INITIAL_STREAMS`] and doubles up to this as more of it is used.
const MAX_STREAMS: u32 = 4_096;

/// The stream limit of a new connection. The QUIC library keeps about 100 bytes for each allowed
/// stream, so 4,096 of them would cost 0.4 MB per connection.
const INITIAL_STREAMS: u32 = 64;

/// The server name sent when connecting to an address whose entry name is not known. The
/// certificate verifier ignores it.
const PLACEHOLDER_NAME: &str = "entry";

/// Handles connections, frames and requests of peers.
pub trait Handler: Send + Sync + 'static {
    /// Called when a peer has connected. `address` is the source address of the connection, which
    /// is also the peer's listening address, because an [`Endpoint`] uses one socket for both.
    fn handle_connect(&self, from: &Hello, address: SocketAddr);

    /// Handles a one-way frame.
    fn handle_frame(&self, from: &Hello, frame: Frame);

    /// Handles a request and sends its reply over `exchange`.
    fn handle_request(
        &self,
        from: &Hello,
        frame: Frame,
        exchange: Exchange,
    ) -> impl Future<Output = ()> + Send;
}

/// Why a request to a peer failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// There is no connection, the frame is too large, or no stream could be opened. Nothing was
    /// sent.
    Unsent,
    /// The connection or stream failed; the request may have been sent.
    Lost,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Unsent => "request not sent to the peer",
            Error::Lost => "connection to the peer lost",
        })
    }
}

impl std::error::Error for Error {}

/// The UDP socket over which an entry connects to its peers and accepts their connections.
#[derive(Debug, Clone)]
pub struct Endpoint {
    endpoint: quinn::Endpoint,
    /// Shared by all clones, so that existing links reconnect with a renewed identity.
    client_config: Arc<Mutex<quinn::ClientConfig>>,
    hello: Hello,
}

impl Endpoint {
    /// Binds `address`. `hello` is sent to peers; its process name must be that in the certificate
    /// of `identity`, or peers refuse the connections.
    ///
    /// Errors: the socket cannot be bound, or `identity` is not usable.
    pub fn bind(address: SocketAddr, identity: &Identity, hello: Hello) -> io::Result<Endpoint> {
        let socket = UdpSocket::bind(address)?;
        let server = server_config(identity).map_err(io::Error::other)?;
        let config = EndpointConfig::default();
        let runtime = Arc::new(SmolRuntime);
        let endpoint = quinn::Endpoint::new(config, Some(server), socket, runtime)?;
        let client = client_config(identity).map_err(io::Error::other)?;
        Ok(Endpoint { endpoint, client_config: Arc::new(Mutex::new(client)), hello })
    }

    /// The local address, where peers connect.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Uses `identity` for new connections. Existing connections stay open.
    pub fn set_identity(&self, identity: &Identity) -> Result<(), tls::Error> {
        self.endpoint.set_server_config(Some(server_config(identity)?));
        *lock(&self.client_config) = client_config(identity)?;
        Ok(())
    }

    /// Serves the connections of peers until the endpoint is closed.
    pub async fn serve<H: Handler>(&self, handler: Arc<H>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let handler = handler.clone();
            smol::spawn(async move {
                if let Ok(connection) = incoming.await {
                    serve_connection(connection, handler).await;
                }
            })
            .detach();
        }
    }

    /// Connects to the entry `name` at `address`, and reconnects until the link is dropped. Without
    /// a name, any entry with a certificate of the authority is accepted.
    pub fn connect(&self, name: Option<String>, address: SocketAddr) -> Arc<Link> {
        let (queue, frames) = bounded(QUEUE_CAPACITY);
        let link = Arc::new(Link { queue, connection: Mutex::default() });
        let run = run_link(self.clone(), Arc::downgrade(&link), name, address, frames);
        smol::spawn(run).detach();
        link
    }

    /// Closes all connections and waits up to 1 s until the peers have acknowledged it.
    pub async fn close(self) {
        self.endpoint.close(0u8.into(), b"stopping");
        let timer = async {
            let _ = Timer::after(Duration::from_secs(1)).await;
        };
        future::or(self.endpoint.wait_idle(), timer).await;
    }
}

/// An outgoing connection to one peer that reconnects by itself.
#[derive(Debug)]
pub struct Link {
    queue: Sender<Frame>,
    connection: Mutex<Option<Connection>>,
}

impl Link {
    /// Whether the connection is established.
    pub fn is_connected(&self) -> bool {
        lock(&self.connection).is_some()
    }

    /// UDP payload bytes sent and received on the current connection, including acknowledgements.
    pub fn bytes_transferred(&self) -> u64 {
        let stats = lock(&self.connection).as_ref().map(Connection::stats);
        stats.map_or(0, |stats| stats.udp_tx.bytes + stats.udp_rx.bytes)
    }

    /// Queues a one-way frame. Returns whether it was queued.
    pub fn send(&self, frame: Frame) -> bool {
        self.is_connected() && self.queue.try_send(frame).is_ok()
    }

    /// Opens a stream and sends the request `frame` over it.
    ///
    /// Errors: [`Error::Unsent`] if it fails before the stream is open, [`Error::Lost`] if it fails
    /// after that.
    pub async fn open_stream(&self, frame: &Frame) -> Result<Exchange, Error> {
        let connection = lock(&self.connection).clone().ok_or(Error::Unsent)?;
        let bytes = encode(frame).map_err(|_| Error::Unsent)?;
        let (send, recv) = connection.open_bi().await.map_err(|_| Error::Unsent)?;
        let mut exchange = Exchange::new(send, Reader::new(recv));
        exchange.write(&bytes).await?;
        Ok(exchange)
    }
}

async fn run_link(
    endpoint: Endpoint,
    weak_link: Weak<Link>,
    name: Option<String>,
    address: SocketAddr,
    frames: Receiver<Frame>,
) {
    while weak_link.strong_count() > 0 {
        if let Some((connection, peer)) = connect(&endpoint, name.as_deref(), address).await {
            emit(Event::PeerConnected, format_args!("{peer} at {address}"));
            let Some(link) = weak_link.upgrade() else { return };
            *lock(&link.connection) = Some(connection.clone());
            drop(link);
            send_frames(&endpoint, &connection, &frames).await;
            if let Some(link) = weak_link.upgrade() {
                *lock(&link.connection) = None;
            }
            connection.close(0u8.into(), b"");
            emit(Event::PeerDisconnected, format_args!("{peer} at {address}"));
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}

/// Sends queued frames until the connection closes or the link is dropped.
async fn send_frames(endpoint: &Endpoint, connection: &Connection, frames: &Receiver<Frame>) {
    let send = async {
        let mut stream = connection.open_uni().await.ok()?;
        let hello = encode(&Frame::Hello(endpoint.hello.clone())).ok()?;
        stream.write_all(&hello).await.ok()?;
        while let Ok(frame) = frames.recv().await {
            match encode(&frame) {
                Ok(bytes) => stream.write_all(&bytes).await.ok()?,
                // An own frame that is too large is dropped and logged with the same event as a
                // rejected frame of a peer. The frames after it must still be sent.
                Err(error) => emit(Event::FrameRefused, format_args!("not sent: {error}")),
            }
        }
        Some(())
    };
    let closed = async {
        connection.closed().await;
        None
    };
    future::or(send, closed).await;
}

async fn connect(
    endpoint: &Endpoint,
    name: Option<&str>,
    address: SocketAddr,
) -> Option<(Connection, String)> {
    let client = lock(&endpoint.client_config).clone();
    let server_name = name.unwrap_or(PLACEHOLDER_NAME);
    let connecting = endpoint.endpoint.connect_with(client, address, server_name).ok()?;
    let timer = async {
        Timer::after(CONNECT_TIMEOUT).await;
        None
    };
    let connection = future::or(async { connecting.await.ok() }, timer).await?;
    let peer = peer_name(&connection)?;
    if name.is_some_and(|name| name != peer) || peer == endpoint.hello.process.name {
        emit(
            Event::PeerRefused,
            format_args!(
                "{address} has the certificate of {peer}, expected that of {name:?} \
                 (None: any other entry)"
            ),
        );
        connection.close(1u8.into(), b"other name");
        return None;
    }
    Some((connection, peer))
}

async fn serve_connection<H: Handler>(connection: Connection, handler: Arc<H>) {
    let address = connection.remote_address();
    let Some(name) = peer_name(&connection) else { return };
    let Some((hello, control)) = read_hello(&connection).await else { return };
    if hello.protocol != PROTOCOL_VERSION || hello.process.name != name {
        let (process, protocol) = (&hello.process, hello.protocol);
        emit(
            Event::PeerRefused,
            format_args!(
                "{name} at {address}: hello names {process} and protocol {protocol}, expected {name} \
                 and protocol {PROTOCOL_VERSION}"
            ),
        );
        connection.close(1u8.into(), b"hello refused");
        return;
    }
    handler.handle_connect(&hello, address);
    let hello = Arc::new(hello);
    let frames = receive_frames(control, &hello, &*handler);
    let streams = serve_streams(&connection, &hello, &handler);
    future::or(frames, streams).await;
    connection.close(0u8.into(), b"");
}

async fn read_hello(connection: &Connection) -> Option<(Hello, Reader)> {
    let read = async {
        let mut control = Reader::new(connection.accept_uni().await.ok()?);
        match wire::read(&mut control).await {
            Ok(Some(Frame::Hello(hello))) => Some((hello, control)),
            _ => None,
        }
    };
    let timer = async {
        Timer::after(CONNECT_TIMEOUT).await;
        None
    };
    future::or(read, timer).await
}

async fn receive_frames(mut control: Reader, hello: &Hello, handler: &impl Handler) {
    loop {
        match wire::read(&mut control).await {
            Ok(Some(frame)) => handler.handle_frame(hello, frame),
            Ok(None) | Err(wire::Error::Truncated) => return,
            Err(error) => {
                emit(Event::FrameRefused, format_args!("{}: {error}", hello.process));
                return;
            }
        }
    }
}

async fn serve_streams<H: Handler>(connection: &Connection, hello: &Arc<Hello>, handler: &Arc<H>) {
    let mut limit = INITIAL_STREAMS;
    // Each task holds a clone until its request is handled. The count is checked before the clone
    // for a new stream is made, so it is the number of requests in flight including the new one.
    let in_use = Arc::new(());
    while let Ok((send, recv)) = connection.accept_bi().await {
        if Arc::strong_count(&in_use) > limit as usize / 2 && limit < MAX_STREAMS {
            limit *= 2;
            connection.set_max_concurrent_bi_streams(limit.into());
        }
        let mut recv = Reader::new(recv);
        let (hello, handler, in_use) = (hello.clone(), handler.clone(), in_use.clone());
        smol::spawn(async move {
            let _in_use = in_use;
            match wire::read(&mut recv).await {
                Ok(Some(frame)) => {
                    handler.handle_request(&hello, frame, Exchange::new(send, recv)).await
                }
                Ok(None) | Err(wire::Error::Truncated) => {}
                Err(error) => {
                    emit(Event::FrameRefused, format_args!("{}: {error}", hello.process));
                }
            }
        })
        .detach();
    }
}

/// The name in the peer's certificate.
fn peer_name(connection: &Connection) -> Option<String> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    dns_name(chain.first()?)
}

fn server_config(identity: &Identity) -> Result<quinn::ServerConfig, tls::Error> {
    let crypto = QuicServerConfig::try_from(identity.server_config()?);
    let crypto = crypto.map_err(|error| tls::Error::Config(error.to_string()))?;
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport(INITIAL_STREAMS, 1));
    Ok(config)
}

fn client_config(identity: &Identity) -> Result<quinn::ClientConfig, tls::Error> {
    let crypto = QuicClientConfig::try_from(identity.client_config_any_name()?);
    let crypto = crypto.map_err(|error| tls::Error::Config(error.to_string()))?;
    let mut config = quinn::ClientConfig::new(Arc::new(crypto));
    // The accepting peer may not open streams; it opens a connection of its own for that.
    config.transport_config(transport(0, 0));
    Ok(config)
}

/// Transport settings with limits for the streams that the peer may open.
fn transport(bidirectional: u32, unidirectional: u32) -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    let idle = IDLE_TIMEOUT.try_into().expect("3 s fit a QUIC timeout");
    config.max_idle_timeout(Some(idle));
    config.keep_alive_interval(Some(IDLE_TIMEOUT / 3));
    config.max_concurrent_bidi_streams(bidirectional.into());
    config.max_concurrent_uni_streams(unidirectional.into());
    Arc::new(config)
}
