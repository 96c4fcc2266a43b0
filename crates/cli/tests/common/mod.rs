//! Runs the `ebonypass` program against a stand-in store on a loopback address.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use ebonypass_standin::server;
use ebonypass_standin::store::Store;
use trillium_client::Client;
use trillium_server_common::ServerHandle;
use trillium_smol::ClientConfig;

/// A small valid document.
pub const POLICY: &str = r#"# Rounds in Zurich.
schema = 1

[[member]]
name = "windelrunde"

[[region]]
name = "zurich"

[[data_centre]]
name = "zurich-1"
region = "zurich"

[[data_centre]]
name = "zurich-2"
region = "zurich"

[[service]]
name = "rounds"
members = ["windelrunde"]
slots = 3
connections = 400
targets = { zurich-1 = 2, zurich-2 = 2 }

[[service.kind]]
name = "lookup"
idempotent = true
deadline_ms = 500
"#;

/// A stand-in store in this process.
pub struct Server {
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    pub fn start() -> Server {
        smol::block_on(async {
            let any_port = "127.0.0.1:0".parse().expect("address");
            let handle = server::start(any_port, Store::default().handler())
                .await
                .expect("the store listens");
            Server { address: server::address(&handle).await, handle }
        })
    }

    /// Injects faults into the store; `body` is the JSON of its `/fault` endpoint.
    pub fn set_fault(&self, body: &str) {
        let url = format!("http://{}/fault", self.address);
        let client = Client::new(ClientConfig::new());
        let status = smol::block_on(async {
            let conn = client
                .post(url.as_str())
                .with_body(body.to_owned())
                .await
                .expect("the store answers");
            conn.status()
        });
        assert!(
            status.is_some_and(|status| status.is_success()),
            "status of the fault request: {status:?}"
        );
    }

    pub fn close(self) {
        smol::block_on(async { self.handle.shut_down().await });
    }
}

/// A folder that is removed when the value is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> TempFolder {
        let name = format!("ebonypass-cli-{}-{:016x}", std::process::id(), fastrand::u64(..));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("creates a folder");
        TempFolder(path)
    }

    /// Writes a file in the folder.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("writes a file");
        path
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs `ebonypass` with `arguments`.
pub fn run<S: AsRef<std::ffi::OsStr>>(arguments: impl IntoIterator<Item = S>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ebonypass"));
    command.args(arguments).output().expect("the program starts")
}

/// Submits `file` as `operator`, with more `arguments`.
pub fn submit(server: &Server, file: &Path, operator: &str, arguments: &[&str]) -> Output {
    let address = server.address.to_string();
    let mut command_line = vec!["submit", file.to_str().expect("a path"), "--store", &address];
    command_line.extend(["--operator", operator]);
    command_line.extend(arguments);
    run(command_line)
}

/// The standard output of a run as text.
pub fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}
