//! Leased slices of link caps.
