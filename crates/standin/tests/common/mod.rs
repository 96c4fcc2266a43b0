//! A server on a port chosen by the system and a client for it.
#![allow(dead_code, reason = "each test file uses a part")]

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use ebonypass_standin::serve;
use trillium::Handler;
use trillium_client::{Client, Conn};
use trillium_server_common::ServerHandle;
use trillium_smol::ClientConfig;

/// No step of a test takes longer on a working system.
const LIMIT: Duration = Duration::from_secs(20);

/// A running stand-in.
pub struct Server {
    pub client: Client,
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    pub async fn start(handler: impl Handler) -> Server {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let handle = serve::start(listen, handler).await.expect("a free port");
        let address = serve::address(&handle).await;
        Server { client: Client::new(ClientConfig::new()), address, handle }
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Status and body of a GET.
    pub async fn get(&self, path: &str) -> (u16, String) {
        read(self.client.get(self.url(path))).await.expect("an answer")
    }

    /// Status and body of a POST.
    pub async fn post(&self, path: &str, body: impl Into<String>) -> (u16, String) {
        let conn = self.client.post(self.url(path)).with_body(body.into());
        read(conn).await.expect("an answer")
    }

    pub async fn close(self) {
        self.handle.shut_down().await;
    }
}

/// Sends a request; gives its status and body, or the error.
pub async fn read(conn: Conn) -> Result<(u16, String), String> {
    let mut conn = conn.await.map_err(|error| error.to_string())?;
    let status = conn.status().map_or(0, |status| status as u16);
    let body = conn.response_body().read_string().await.map_err(|error| error.to_string())?;
    Ok((status, body))
}

/// Runs a test that must end in bounded time.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let limit = async {
        smol::Timer::after(LIMIT).await;
        panic!("the test took longer than {LIMIT:?}")
    };
    smol::block_on(futures_lite::future::or(test, limit))
}
