//! Client block table.
