//! Runs a simulated system on a free loopback port, with a client for it.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use ebonypass_standin::server;
use trillium::Handler;
use trillium_client::{Client, Conn};
use trillium_server_common::ServerHandle;
use trillium_smol::ClientConfig;

/// Tests that take longer fail.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A running server and a client for it.
pub struct Server {
    pub client: Client,
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    pub async fn start(handler: impl Handler) -> Server {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let handle = server::start(listen, handler).await.expect("a free port is available");
        let address = server::address(&handle).await;
        Server { client: Client::new(ClientConfig::new()), address, handle }
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Returns the status and body of the reply to a GET.
    pub async fn get(&self, path: &str) -> (u16, String) {
        fetch(self.client.get(self.url(path))).await.expect("the server replies")
    }

    /// Returns the status and body of the reply to a POST.
    pub async fn post(&self, path: &str, body: impl Into<String>) -> (u16, String) {
        let conn = self.client.post(self.url(path)).with_body(body.into());
        fetch(conn).await.expect("the server replies")
    }

    pub async fn close(self) {
        self.handle.shut_down().await;
    }
}

/// Sends a request and returns the status and body of the reply.
pub async fn fetch(conn: Conn) -> Result<(u16, String), String> {
    let mut conn = conn.await.map_err(|error| error.to_string())?;
    let status = conn.status().map_or(0, |status| status as u16);
    let body = conn.response_body().read_string().await.map_err(|error| error.to_string())?;
    Ok((status, body))
}

/// Runs a test and panics if it exceeds [`TEST_TIMEOUT`].
pub fn run_test<T>(test: impl Future<Output = T>) -> T {
    let timeout = async {
        smol::Timer::after(TEST_TIMEOUT).await;
        panic!("the test took longer than {TEST_TIMEOUT:?}")
    };
    smol::block_on(futures_lite::future::or(test, timeout))
}
