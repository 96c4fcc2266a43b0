//! Lending of link rate between seats.
