//! The metrics endpoint.

use std::sync::{Arc, Mutex};

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use trillium::{Conn, Handler};

use crate::sync::lock;

/// Media type of the OpenMetrics text format.
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The HTTP handler of `/metrics`, in OpenMetrics text format.
#[derive(Debug, Clone)]
pub struct Exporter {
    registry: Arc<Mutex<Registry>>,
}

impl Exporter {
    /// An exporter of the metrics in `registry`.
    pub fn new(registry: Registry) -> Exporter {
        Exporter { registry: Arc::new(Mutex::new(registry)) }
    }

    /// The current metrics in OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = encode(&mut text, &lock(&self.registry));
        text
    }
}

impl Handler for Exporter {
    async fn run(&self, conn: Conn) -> Conn {
        conn.with_response_header("content-type", CONTENT_TYPE).ok(self.text())
    }
}
