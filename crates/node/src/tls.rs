//! Keys and certificates.
