//! Age of measurements.
