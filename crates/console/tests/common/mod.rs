//! Starts a console with a stand-in store, and a client that acts as a browser without JavaScript.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use ebonypass_console::Server;
use ebonypass_console::settings::Settings;
use ebonypass_core::submission::Envelope;
use ebonypass_node::settings::scan;
use ebonypass_node::store::{Http, POLICY_KEY, Store as _};
use ebonypass_standin::server;
use ebonypass_standin::store::Store;
use trillium_client::{Client, Conn};
use trillium_server_common::ServerHandle;
use trillium_smol::ClientConfig;

/// The tokens of the operators `anna` and `carla`.
pub const TOKENS: [&str; 2] =
    ["0123456789abcdef0123456789abcdef", "fedcba9876543210fedcba9876543210"];

/// A small valid document.
pub const POLICY: &str = r#"
schema = 1
member = [{ name = "windelrunde" }]
region = [{ name = "zurich" }, { name = "geneva" }]
data_centre = [{ name = "zurich-1", region = "zurich" }, { name = "geneva-1", region = "geneva" }]
link = [{ from = "zurich", to = "geneva", cap_mbit = 4000, delay_us = 20000 }]
block = [{ cidr = "10.1.0.0/16", data_centre = "zurich-1" }]

[[service]]
name = "swaps"
members = ["windelrunde"]
slots = 3
connections = 400
targets = { zurich-1 = 2, geneva-1 = 2 }
kind = [{ name = "log", idempotent = false, deadline_ms = 1000 }]
shift = [{ from = "zurich", to = "geneva", percent = 10 }]

[[drain]]
target = "swaps-zurich-1-01"
from = 2026-12-05T02:00:00Z
until = 2026-12-05T03:00:00Z
"#;

/// A running console and its store.
pub struct Fixture {
    pub console: Server,
    pub store: Http,
    pub store_address: SocketAddr,
    handle: ServerHandle,
}

impl Fixture {
    pub async fn start(policy: Option<&str>) -> Fixture {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let handle =
            server::start(any_port, Store::default().handler()).await.expect("a free port");
        let store_address = server::address(&handle).await;
        let store = Http::new(store_address);
        if let Some(text) = policy {
            put_policy(&store, text, "bert", 0).await;
        }
        let console = Server::start(settings(store_address)).await.expect("a free port");
        Fixture { console, store, store_address, handle }
    }

    pub fn browser(&self) -> Browser {
        let client = Client::new(ClientConfig::new());
        let base = format!("http://{}", self.console.address());
        Browser { client, base, cookies: RefCell::default() }
    }

    /// Returns the version of the policy in the store and its envelope.
    pub async fn current_policy(&self) -> (u64, Envelope) {
        let object = self.store.get(POLICY_KEY).await.expect("a document");
        (object.version, serde_json::from_slice(&object.value).expect("an envelope"))
    }

    /// Injects faults into the store; `body` is the JSON of its `/fault` endpoint.
    pub async fn set_fault(&self, body: &'static str) {
        let url = format!("http://{}/fault", self.store_address);
        let conn = Client::new(ClientConfig::new()).post(url).with_body(body);
        let _ = conn.await.expect("the store answers");
    }

    pub async fn close(self) {
        self.console.close().await;
        self.handle.shut_down().await;
    }
}

/// Writes a policy to the store directly, not through the console.
pub async fn put_policy(store: &Http, text: &str, operator: &str, if_version: u64) {
    let (submission, text) = (format!("{operator}-{if_version}"), text.to_owned());
    let operator = operator.to_owned();
    let envelope = Envelope { submission, operator, text, earlier: Vec::new() };
    let value = serde_json::to_vec(&envelope).expect("JSON");
    store.put(POLICY_KEY, value, if_version).await.expect("the store accepts the policy");
}

/// Settings with the operators `anna` and `carla`, whose tokens are [`TOKENS`].
fn settings(store: SocketAddr) -> Settings {
    let folder = std::env::temp_dir().join(format!("ebonypass-console-{store}"));
    std::fs::create_dir_all(&folder).expect("creates a folder");
    let mut text = format!("listen = \"127.0.0.1:0\"\nstore = \"{store}\"\n");
    for (name, token) in ["anna", "carla"].iter().zip(TOKENS) {
        std::fs::write(folder.join(name), token).expect("writes a token file");
        text += &format!("[[operator]]\nname = \"{name}\"\ntoken_file = \"{name}\"\n");
    }
    let settings = scan(&text, &folder).expect("valid settings");
    std::fs::remove_dir_all(folder).expect("removes the folder");
    settings
}

/// An HTTP client that keeps cookies and does not follow redirects.
pub struct Browser {
    client: Client,
    base: String,
    cookies: RefCell<Vec<(String, String)>>,
}

/// A response to the browser.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub location: Option<String>,
    pub cookies: Vec<String>,
    /// The `content-security-policy` header.
    pub security_policy: Option<String>,
    pub media_type: Option<String>,
    pub body: String,
}

impl Browser {
    pub async fn get(&self, path: &str) -> Response {
        self.send(self.client.get(format!("{}{path}", self.base))).await
    }

    pub async fn post(&self, path: &str, fields: &[(&str, &str)]) -> Response {
        let body = form_urlencoded::Serializer::new(String::new()).extend_pairs(fields).finish();
        self.send(self.client.post(format!("{}{path}", self.base)).with_body(body)).await
    }

    /// Loads the page at `from` and posts a form with its hidden fields to `path`.
    pub async fn submit_form(&self, from: &str, path: &str, fields: &[(&str, &str)]) -> Response {
        let body = self.get(from).await.body;
        let (csrf, revision) = (field_value(&body, "csrf"), field_value(&body, "revision"));
        let mut all_fields = vec![("csrf", csrf.as_str()), ("revision", revision.as_str())];
        all_fields.extend_from_slice(fields);
        self.post(path, &all_fields).await
    }

    pub async fn log_in(&self, token: &str) -> Response {
        self.submit_form("/login", "/login", &[("token", token)]).await
    }

    async fn send(&self, conn: Conn) -> Response {
        let cookies: Vec<String> =
            self.cookies.borrow().iter().map(|(name, value)| format!("{name}={value}")).collect();
        let mut conn = conn.with_request_header("cookie", cookies.join("; "));
        (&mut conn).await.expect("the console answers");
        let header = |name: &'static str| conn.response_headers().get_str(name).map(str::to_owned);
        let set_cookies: Vec<String> = header("set-cookie").into_iter().collect();
        let (location, security_policy) = (header("location"), header("content-security-policy"));
        let media_type = header("content-type");
        let status = conn.status().map_or(0, |status| status as u16);
        let body = conn.response_body().read_string().await.expect("a body");
        for cookie in &set_cookies {
            let pair = cookie.split(';').next().and_then(|pair| pair.split_once('='));
            let (name, value) = pair.expect("a cookie");
            let mut cookies = self.cookies.borrow_mut();
            cookies.retain(|(other, _)| other != name);
            cookies.push((name.to_owned(), value.to_owned()));
        }
        Response { status, location, cookies: set_cookies, security_policy, media_type, body }
    }
}

/// Returns the value of the first form field called `name`.
pub fn field_value(html: &str, name: &str) -> String {
    let start = format!("name=\"{name}\"");
    let rest = html.split(&start).nth(1).unwrap_or_default();
    let rest = rest.split("value=\"").nth(1).unwrap_or_default();
    rest.split('"').next().unwrap_or_default().to_owned()
}

/// Runs a test; fails it after 60 seconds.
pub fn run_with_timeout(test: impl Future<Output = ()>) {
    let timeout = async {
        smol::Timer::after(Duration::from_secs(60)).await;
        panic!("the test took longer than 60 s")
    };
    smol::block_on(futures_lite::future::or(test, timeout));
}
