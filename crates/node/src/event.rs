//! Numbered log events, listed in docs/events.md, and the logger.

use std::fmt;
use std::fs::OpenOptions;
use std::io;
use std::path::Path;

use log::{Level, LevelFilter};
use simplelog::{Config, ConfigBuilder, WriteLogger};

macro_rules! events {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal $level:ident $text:literal,)+) => {
        /// A kind of log event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $($(#[doc = $doc])+ $name = $number,)+
        }

        impl Event {
            /// Every event, ordered by number.
            pub const ALL: &'static [Event] = &[$(Event::$name,)+];

            /// The level at which the event is logged.
            pub const fn level(self) -> Level {
                match self {
                    $(Event::$name => Level::$level,)+
                }
            }

            /// The message, without details.
            pub const fn text(self) -> &'static str {
                match self {
                    $(Event::$name => $text,)+
                }
            }
        }
    };
}

events! {
    /// The process is ready to serve.
    Started = 100 Info "started",
    /// A signal asked the process to stop.
    Stopping = 101 Info "stopping",
    /// The process has stopped.
    Stopped = 102 Info "stopped",
    /// A setting is invalid; the process exits.
    InvalidSetting = 103 Error "bad setting",
    /// An unrecoverable error occurred; the process exits.
    Fatal = 104 Error "fatal error",
    /// The stop timeout expired with work still in flight.
    StopTimeout = 105 Warn "stopped with work in flight",

    /// A signal made the process reload its settings.
    Reloaded = 106 Info "settings reloaded",
    /// Log lines were dropped because the reader of the log is too slow.
    LinesDropped = 107 Warn "log lines dropped",

    /// A newer policy document took effect.
    PolicyApplied = 200 Info "policy in force",
    /// A policy document is invalid and was not applied.
    PolicyRefused = 201 Error "policy refused",
    /// The store stopped responding.
    StoreUnreachable = 202 Warn "store unreachable",
    /// The store responds again.
    StoreReachable = 203 Info "store reachable",
    /// An object in the store cannot be parsed.
    ObjectMalformed = 204 Warn "malformed object",

    /// The store has discarded changes since the last listing; the listing is read again.
    HistoryExpired = 205 Warn "change history expired",
    /// The set of data centres that must not get new work changed.
    EvacuationsChanged = 206 Info "evacuations changed",
    /// This machine gets the store's objects from another source than before.
    SourceChanged = 207 Info "source of objects changed",
    /// A target's entry is older than what is known of the target, and was ignored.
    EntryOutdated = 208 Info "outdated entry ignored",
    /// An entry of a tenant is not in force, or not as a whole.
    TenantFaulty = 209 Warn "tenant entry faulty",

    /// The store was restored from an older snapshot.
    EraRaised = 220 Warn "store restored",
    /// A reply of an earlier era of the store was ignored.
    ReplyOutdated = 221 Warn "reply of an earlier store era ignored",
    /// Only a lower era was seen for a while; the store is taken for another one.
    StoreReplaced = 222 Warn "store replaced",
    /// The first list of a new era was read. What was known before stays in force for a while.
    HoldStarted = 223 Info "hold after a restore started",
    /// What the store lists is in force again.
    HoldEnded = 224 Info "hold after a restore ended",

    /// Certificate and key were reloaded.
    CertificateLoaded = 300 Info "certificate loaded",
    /// Certificate or key cannot be loaded; the previous ones stay in use.
    CertificateInvalid = 301 Error "certificate not loaded",
    /// The certificate expires soon.
    CertificateExpiring = 302 Warn "certificate expires soon",

    /// A connection to a peer was established.
    PeerConnected = 400 Info "peer connected",
    /// The connection to a peer ended.
    PeerDisconnected = 401 Warn "peer disconnected",
    /// A peer was refused for its name or protocol version.
    PeerRefused = 402 Warn "peer refused",
    /// A frame was rejected.
    FrameRefused = 403 Warn "frame refused",

    /// A peer whose state this process follows does not answer, or has no state.
    PeerUnresponsive = 404 Warn "peer unresponsive",

    /// No other machine is heard; quotas are limited to this machine's own share.
    QuotaContactLost = 405 Warn "no contact for quotas",
    /// Other machines are heard again.
    QuotaContactRestored = 406 Info "contact for quotas restored",
    /// Quotas were taken over from machines that do not answer.
    QuotaTakenOver = 407 Info "quotas taken over",

    /// A target was added.
    TargetAdded = 500 Info "target added",
    /// A target accepts no new work.
    TargetLeaving = 501 Info "target leaving",
    /// A target is no longer listed.
    TargetRemoved = 502 Info "target removed",
    /// A target gives no valid load report.
    LoadUnavailable = 503 Warn "load report unavailable",
    /// Pooled connections to several targets were found closed; older ones are not reused for a
    /// while.
    ConnectionsSuspect = 504 Warn "pooled connections may be stale",

    /// A target asked this machine to send no requests for a time.
    TargetRefusing = 505 Info "target turns this machine away",
    /// How evenly the load is spread over targets, while gateways share it.
    LoadSpread = 520 Info "spread of load",

    /// A caller's request was malformed.
    CallerRefused = 600 Warn "caller refused",
    /// A limit refused or closed a caller's connection.
    CallerLimited = 601 Warn "caller limit exceeded",

    /// A request was answered by a target.
    RequestAnswered = 610 Info "request answered",
    /// A request was refused and has not run.
    RequestRefused = 611 Warn "request refused",
    /// A request failed and may have run.
    RequestFailed = 612 Warn "request failed",
    /// The caller disconnected before its request was answered.
    RequestAbandoned = 613 Info "request abandoned",

    /// Requests were rejected because their tenants are beyond their quotas.
    QuotaExhausted = 620 Warn "quotas exhausted",

    /// This entry acquired the steward lease.
    LeaseAcquired = 700 Info "steward lease acquired",
    /// This entry lost the steward lease.
    LeaseLost = 701 Warn "steward lease lost",
    /// A step of a shift plan was applied.
    StepApplied = 702 Info "shift step applied",
    /// This entry acquired a seat.
    SeatAcquired = 703 Info "seat acquired",
    /// This entry lost a seat.
    SeatLost = 704 Warn "seat lost",

    /// A span of a trace ended.
    Span = 900 Info "span",
}

impl Event {
    /// The event number, without the `E` prefix.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

/// Logs `event` with its number, text and `detail`.
pub fn emit(event: Event, detail: impl fmt::Display) {
    log::log!(target: "ebonypass", event.level(), "E{} {}: {detail}", event.number(), event.text());
}

/// Initialises the logger: events of at least `level` go to `file`, or to standard error.
///
/// Errors: the file cannot be opened, or a logger is already set.
pub fn init(level: LevelFilter, file: Option<&Path>) -> io::Result<()> {
    let initialised = match file {
        Some(path) => {
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            WriteLogger::init(level, config(), file)
        }
        None => WriteLogger::init(level, config(), io::stderr()),
    };
    initialised.map_err(io::Error::other)
}

fn config() -> Config {
    // The filter excludes records of libraries, which belong to no numbered event.
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("ebonypass")
        .build()
}
