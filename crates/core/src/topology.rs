//! Arena tree of regions, data centres and targets.
