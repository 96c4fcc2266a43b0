//! Placeholder until the program lands.
fn main() {}
