//! Routes of a configuration: which service a request belongs to, and its terms.

use std::collections::HashMap;

use crate::time::Span;
use crate::weighted_round_robin::WeightedRoundRobin;

/// A service that a route sends a share of its requests to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the other services.
    pub weight: u32,
}

/// A route and its terms.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that the route belongs to.
    pub host: String,
    /// Start of the paths that the route takes; begins and ends with a slash.
    pub prefix: String,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// The longest time that a request is kept waiting.
    pub timeout: Span,
    /// The time within which a reply has its full value.
    pub latency_objective: Span,
    /// Rank of the route; 0 goes first.
    pub priority: u8,
    /// The most targets that may run one request.
    pub attempt_limit: u32,
    /// Whether requests for one object are faster on a target that has handled it recently.
    pub has_affinity: bool,
    /// Regions that may serve the route; empty if any may.
    pub allowed_regions: Vec<String>,
    /// Services that share the requests.
    pub services: Vec<WeightedService>,
}

/// The routes of one configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<TableEntry>>,
}

/// A route with the state of its rotation between services.
#[derive(Debug)]
pub struct TableEntry {
    /// The route.
    pub route: Route,
    rotation: WeightedRoundRobin,
}

impl TableEntry {
    /// The service that gets the next request.
    pub fn next_service(&mut self) -> &str {
        let index = self.rotation.next_index();
        &self.route.services[index].service
    }
}

impl RouteTable {
    /// A table of `routes`. Routes without a service are left out.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> RouteTable {
        let mut hosts: HashMap<String, Vec<TableEntry>> = HashMap::new();
        for route in routes {
            let weights: Vec<u32> = route.services.iter().map(|service| service.weight).collect();
            let Some(rotation) = WeightedRoundRobin::new(weights) else { continue };
            hosts.entry(route.host.clone()).or_default().push(TableEntry { route, rotation });
        }
        for entries in hosts.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.route.prefix.len()));
        }
        RouteTable { hosts }
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn find(&mut self, host: &str, path: &str) -> Option<&mut TableEntry> {
        let entries = self.hosts.get_mut(host)?;
        entries.iter_mut().find(|entry| path.starts_with(&entry.route.prefix))
    }

    /// The number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
