//! Routes of a configuration: the service that a request belongs to, and its deadline and retry
//! rules.

use std::collections::HashMap;

use crate::rotation;
use crate::time::Span;

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Its share of the requests, relative to the other services of the route.
    pub weight: u32,
}

/// A route of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name that it matches.
    pub host: String,
    /// Prefix of the paths that it matches; starts and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The maximum time until a request is answered.
    pub timeout: Span,
    /// The latency within which a reply has its full value.
    pub latency_objective: Span,
    /// Priority, 0 first.
    pub priority: u8,
    /// Maximum number of targets that may run one request.
    pub attempt_limit: u32,
    /// Whether a target that has recently handled an object serves requests for it faster.
    pub has_affinity: bool,
    /// Whether requests need no key where the configuration has tenants.
    pub is_public: bool,
    /// Regions that may serve the route; any if empty.
    pub allowed_regions: Vec<String>,
    /// Services among which the requests are split.
    pub services: Vec<WeightedService>,
}

/// The routes of one configuration.
#[derive(Debug, Default)]
pub struct Table {
    hosts: HashMap<String, Vec<Entry>>,
    /// The most urgent priority among the routes of each service.
    priorities: HashMap<String, u8>,
}

/// A route and the state of the split between its services.
#[derive(Debug)]
pub struct Entry {
    /// The route.
    pub route: Route,
    rotation: rotation::RoundRobin,
}

impl Entry {
    /// The service for the next request.
    pub fn next_service(&mut self) -> &str {
        let index = self.rotation.next_index();
        &self.route.services[index].service
    }
}

impl Table {
    /// Builds a table of `routes`, without those that have no service of positive weight.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Table {
        let mut hosts: HashMap<String, Vec<Entry>> = HashMap::new();
        let mut priorities: HashMap<String, u8> = HashMap::new();
        for route in routes {
            let weights: Vec<u32> = route.services.iter().map(|service| service.weight).collect();
            let Some(rotation) = rotation::RoundRobin::new(weights) else { continue };
            for service in route.services.iter().filter(|service| service.weight > 0) {
                let priority = priorities.entry(service.service.clone()).or_insert(u8::MAX);
                *priority = route.priority.min(*priority);
            }
            hosts.entry(route.host.clone()).or_default().push(Entry { route, rotation });
        }
        for entries in hosts.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.route.prefix.len()));
        }
        Table { hosts, priorities }
    }

    /// The route of `host` with the longest prefix that `path` starts with.
    pub fn find(&mut self, host: &str, path: &str) -> Option<&mut Entry> {
        let entries = self.hosts.get_mut(host)?;
        entries.iter_mut().find(|entry| path.starts_with(&entry.route.prefix))
    }

    /// Whether no route of `service` is more urgent than one with this priority.
    pub fn is_most_urgent(&self, service: &str, priority: u8) -> bool {
        self.priorities.get(service).is_none_or(|most_urgent| priority <= *most_urgent)
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
