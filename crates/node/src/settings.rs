//! TOML settings of the programs.
