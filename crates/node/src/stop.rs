//! Graceful stop on signals.
