//! Metrics and their endpoint.
