//! Token bucket.
