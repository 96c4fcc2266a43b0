//! The targets' wire, met only here.
