//! Stated outcomes.
