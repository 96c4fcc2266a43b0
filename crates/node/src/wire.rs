//! Frames between entries.
