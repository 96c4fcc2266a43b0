//! Journal of request keys at their arbiter.
