//! The platform's store and VM list, met only here.
