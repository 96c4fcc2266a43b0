//! Fair queue over flows.
