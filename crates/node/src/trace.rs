//! Trace context and spans.
