//! QUIC connections between entries.
