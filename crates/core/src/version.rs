//! Versions of the configuration.
