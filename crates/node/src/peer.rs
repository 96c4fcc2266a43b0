//! QUIC connections between entries.
//!
//! Each entry connects to each other one and sends its own frames there: heartbeats and the like
//! over one stream, which starts with [`Hello`], and each question or request over a stream of its
//! own, which also brings the answer. What it receives comes over the connections that the others
//! opened.

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

use crate::event::{Event, note};
use crate::stream::{Exchange, Incoming};
use crate::sync::lock;
use crate::tls::{self, Identity, name_of};
use crate::wire::{self, Frame, Hello, PROTOCOL, encode};

/// Silence after which a connection counts as lost. Heartbeats come every 500 ms.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two attempts to connect.
const RETRY: Duration = Duration::from_millis(250);

/// Frames that wait for one connection. More are dropped: each is sent again in a newer form.
const QUEUE: usize = 256;

/// Requests and questions under way over one connection.
const STREAMS: u32 = 4_096;

/// The name that stands in for an unknown one while connecting to an address of the settings.
const ANY_NAME: &str = "entry";

/// What an entry does with what its peers send.
pub trait Service: Send + Sync + 'static {
    /// Takes in that a peer has connected, and where it can be reached: a peer's connections come
    /// from the socket on which it listens.
    fn found(&self, from: &Hello, address: SocketAddr);

    /// Takes in a frame that needs no answer on its stream.
    fn note(&self, from: &Hello, frame: Frame);

    /// Answers a question or request.
    fn serve(
        &self,
        from: &Hello,
        frame: Frame,
        exchange: Exchange,
    ) -> impl Future<Output = ()> + Send;
}

/// Why a peer gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// There is no connection, and nothing was sent.
    Unsent,
    /// The connection or stream failed after something may have been sent.
    Lost,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Unsent => "peer not connected",
            Error::Lost => "peer lost",
        })
    }
}

impl std::error::Error for Error {}

/// The socket of an entry for its peers.
#[derive(Debug, Clone)]
pub struct Endpoint {
    endpoint: quinn::Endpoint,
    /// Shared by the clones, so that a renewed identity reaches links that exist.
    client: Arc<Mutex<quinn::ClientConfig>>,
    hello: Hello,
}

impl Endpoint {
    /// Binds `address`. `hello` is what peers are told, and its name has to be that of `identity`.
    pub fn bind(address: SocketAddr, identity: &Identity, hello: Hello) -> io::Result<Endpoint> {
        let socket = UdpSocket::bind(address)?;
        let server = server_config(identity).map_err(io::Error::other)?;
        let config = EndpointConfig::default();
        let runtime = Arc::new(SmolRuntime);
        let endpoint = quinn::Endpoint::new(config, Some(server), socket, runtime)?;
        let client = client_config(identity).map_err(io::Error::other)?;
        Ok(Endpoint { endpoint, client: Arc::new(Mutex::new(client)), hello })
    }

    /// Where peers connect.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Uses `identity` for connections from now on.
    pub fn set_identity(&self, identity: &Identity) -> Result<(), tls::Error> {
        self.endpoint.set_server_config(Some(server_config(identity)?));
        *lock(&self.client) = client_config(identity)?;
        Ok(())
    }

    /// Serves the connections of peers until the endpoint is closed.
    pub async fn serve<S: Service>(&self, service: Arc<S>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let service = service.clone();
            smol::spawn(async move {
                if let Ok(connection) = incoming.await {
                    serve_connection(connection, service).await;
                }
            })
            .detach();
        }
    }

    /// Connects to the entry called `name` at `address`, again and again until the link is dropped.
    /// Without a name any entry of the authority will do.
    pub fn link(&self, name: Option<String>, address: SocketAddr) -> Arc<Link> {
        let (queue, frames) = bounded(QUEUE);
        let link = Arc::new(Link { queue, connection: Mutex::default() });
        let run = run_link(self.clone(), Arc::downgrade(&link), name, address, frames);
        smol::spawn(run).detach();
        link
    }

    /// Ends all connections, after what was sent has arrived or 1 s has passed.
    pub async fn close(self) {
        self.endpoint.close(0u8.into(), b"stopping");
        let timer = async {
            let _ = Timer::after(Duration::from_secs(1)).await;
        };
        future::or(self.endpoint.wait_idle(), timer).await;
    }
}

/// The way to one peer.
#[derive(Debug)]
pub struct Link {
    queue: Sender<Frame>,
    connection: Mutex<Option<Connection>>,
}

impl Link {
    /// Whether the peer is connected.
    pub fn is_connected(&self) -> bool {
        lock(&self.connection).is_some()
    }

    /// UDP payload bytes sent and received on the present connection, acknowledgements included.
    pub fn bytes(&self) -> u64 {
        let stats = lock(&self.connection).as_ref().map(Connection::stats);
        stats.map_or(0, |stats| stats.udp_tx.bytes + stats.udp_rx.bytes)
    }

    /// Sends a frame that needs no answer on its stream. Returns whether it was queued.
    pub fn send(&self, frame: Frame) -> bool {
        self.is_connected() && self.queue.try_send(frame).is_ok()
    }

    /// Sends `frame` over a stream of its own.
    pub async fn open(&self, frame: &Frame) -> Result<Exchange, Error> {
        let connection = lock(&self.connection).clone().ok_or(Error::Unsent)?;
        let bytes = encode(frame).map_err(|_| Error::Unsent)?;
        let (send, recv) = connection.open_bi().await.map_err(|_| Error::Unsent)?;
        let mut exchange = Exchange::new(send, Incoming::new(recv));
        exchange.write(&bytes).await?;
        Ok(exchange)
    }
}

async fn run_link(
    endpoint: Endpoint,
    link: Weak<Link>,
    name: Option<String>,
    address: SocketAddr,
    frames: Receiver<Frame>,
) {
    while link.strong_count() > 0 {
        if let Some((connection, peer)) = connect(&endpoint, name.as_deref(), address).await {
            note(Event::PeerFound, format_args!("{peer} at {address}"));
            let Some(owner) = link.upgrade() else { return };
            *lock(&owner.connection) = Some(connection.clone());
            drop(owner);
            send_frames(&endpoint, &connection, &frames).await;
            if let Some(owner) = link.upgrade() {
                *lock(&owner.connection) = None;
            }
            connection.close(0u8.into(), b"");
            note(Event::PeerLost, format_args!("{peer} at {address}"));
        }
        Timer::after(RETRY).await;
    }
}

/// Sends what is queued until the connection or the link ends.
async fn send_frames(endpoint: &Endpoint, connection: &Connection, frames: &Receiver<Frame>) {
    let send = async {
        let mut stream = connection.open_uni().await.ok()?;
        let hello = encode(&Frame::Hello(endpoint.hello.clone())).ok()?;
        stream.write_all(&hello).await.ok()?;
        while let Ok(frame) = frames.recv().await {
            match encode(&frame) {
                Ok(bytes) => stream.write_all(&bytes).await.ok()?,
                // A frame that is too large must not end the connection of the others.
                Err(error) => note(Event::FrameRefused, format_args!("own frame: {error}")),
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
    let client = lock(&endpoint.client).clone();
    let name_or_any = name.unwrap_or(ANY_NAME);
    let connecting = endpoint.endpoint.connect_with(client, address, name_or_any).ok()?;
    let timer = async {
        Timer::after(CONNECT_TIMEOUT).await;
        None
    };
    let connection = future::or(async { connecting.await.ok() }, timer).await?;
    let peer = peer_name(&connection)?;
    if name.is_some_and(|name| name != peer) || peer == endpoint.hello.process.name {
        note(Event::PeerRefused, format_args!("{address} is {peer}, not {name:?}"));
        connection.close(1u8.into(), b"other name");
        return None;
    }
    Some((connection, peer))
}

async fn serve_connection<S: Service>(connection: Connection, service: Arc<S>) {
    let address = connection.remote_address();
    let Some(name) = peer_name(&connection) else { return };
    let Some((hello, control)) = read_hello(&connection).await else { return };
    if hello.protocol != PROTOCOL || hello.process.name != name {
        let (process, protocol) = (&hello.process, hello.protocol);
        note(Event::PeerRefused, format_args!("{name} at {address}: {process}, {protocol}"));
        connection.close(1u8.into(), b"hello refused");
        return;
    }
    service.found(&hello, address);
    let hello = Arc::new(hello);
    let frames = note_frames(control, &hello, &*service);
    let streams = serve_streams(&connection, &hello, &service);
    future::or(frames, streams).await;
    connection.close(0u8.into(), b"");
}

async fn read_hello(connection: &Connection) -> Option<(Hello, Incoming)> {
    let read = async {
        let mut control = Incoming::new(connection.accept_uni().await.ok()?);
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

async fn note_frames(mut control: Incoming, hello: &Hello, service: &impl Service) {
    loop {
        match wire::read(&mut control).await {
            Ok(Some(frame)) => service.note(hello, frame),
            Ok(None) | Err(wire::Error::Cut) => return,
            Err(error) => {
                note(Event::FrameRefused, format_args!("{}: {error}", hello.process));
                return;
            }
        }
    }
}

async fn serve_streams<S: Service>(connection: &Connection, hello: &Arc<Hello>, service: &Arc<S>) {
    while let Ok((send, recv)) = connection.accept_bi().await {
        let mut recv = Incoming::new(recv);
        let (hello, service) = (hello.clone(), service.clone());
        smol::spawn(async move {
            match wire::read(&mut recv).await {
                Ok(Some(frame)) => service.serve(&hello, frame, Exchange::new(send, recv)).await,
                Ok(None) | Err(wire::Error::Cut) => {}
                Err(error) => {
                    note(Event::FrameRefused, format_args!("{}: {error}", hello.process));
                }
            }
        })
        .detach();
    }
}

/// The name in the certificate of the other side.
fn peer_name(connection: &Connection) -> Option<String> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    name_of(chain.first()?)
}

fn server_config(identity: &Identity) -> Result<quinn::ServerConfig, tls::Error> {
    let crypto = QuicServerConfig::try_from(identity.server()?);
    let crypto = crypto.map_err(|error| tls::Error::Config(error.to_string()))?;
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport());
    Ok(config)
}

fn client_config(identity: &Identity) -> Result<quinn::ClientConfig, tls::Error> {
    let crypto = QuicClientConfig::try_from(identity.peer_client()?);
    let crypto = crypto.map_err(|error| tls::Error::Config(error.to_string()))?;
    let mut config = quinn::ClientConfig::new(Arc::new(crypto));
    config.transport_config(transport());
    Ok(config)
}

fn transport() -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    let idle = IDLE_TIMEOUT.try_into().expect("3 s fit a QUIC timeout");
    config.max_idle_timeout(Some(idle));
    config.keep_alive_interval(Some(IDLE_TIMEOUT / 3));
    config.max_concurrent_bidi_streams(STREAMS.into());
    config.max_concurrent_uni_streams(4u8.into());
    Arc::new(config)
}
