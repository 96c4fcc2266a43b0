//! Steps of traffic shifts and credits.
