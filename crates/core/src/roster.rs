//! Live entries and rendezvous choice.
