//! Metrics and their endpoint.

use std::sync::{Arc, Mutex};

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use trillium::{Conn, Handler};

use crate::sync::lock;

/// The media type of the metrics page.
const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The handler of `/metrics`.
#[derive(Debug, Clone)]
pub struct Page {
    registry: Arc<Mutex<Registry>>,
}

impl Page {
    /// A page that shows the metrics of `registry`.
    pub fn new(registry: Registry) -> Page {
        Page { registry: Arc::new(Mutex::new(registry)) }
    }

    /// The metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &lock(&self.registry));
        text
    }
}

impl Handler for Page {
    async fn run(&self, conn: Conn) -> Conn {
        conn.with_response_header("content-type", MEDIA_TYPE).ok(self.text())
    }
}
