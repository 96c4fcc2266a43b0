//! Numbered log events of the console. docs/console.md lists them.

use std::fmt;

use log::Level;

/// The kind of a log event; the discriminant is its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// An operator logged in.
    LoggedIn = 800,
    /// A log-in was refused.
    LogInRefused = 801,
    /// A session ended.
    LoggedOut = 802,
    /// A form had no valid CSRF token.
    FormRefused = 803,
    /// A submission has an outcome.
    Submitted = 804,
    /// The policy document in the store cannot be parsed.
    DocumentUnreadable = 805,
}

impl Event {
    const fn level(self) -> Level {
        match self {
            Event::LoggedIn | Event::LoggedOut | Event::Submitted => Level::Info,
            Event::LogInRefused | Event::FormRefused => Level::Warn,
            Event::DocumentUnreadable => Level::Error,
        }
    }

    const fn text(self) -> &'static str {
        match self {
            Event::LoggedIn => "operator logged in",
            Event::LogInRefused => "log-in refused",
            Event::LoggedOut => "operator logged out",
            Event::FormRefused => "form refused",
            Event::Submitted => "submission ended",
            Event::DocumentUnreadable => "policy document not readable",
        }
    }
}

/// Logs `event` with `detail`.
pub(crate) fn emit(event: Event, detail: impl fmt::Display) {
    log::log!(target: "ebonypass", event.level(), "E{} {}: {detail}", event as u16, event.text());
}
