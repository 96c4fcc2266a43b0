//! Leases with epochs.
