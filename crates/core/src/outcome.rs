//! What a caller is told about its request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The outcome of a request, which each reply states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The reply is the target's complete answer.
    Answered,
    /// No target has run the request or will run it, so a retry is safe.
    NotRun,
    /// The request may have run, so only an idempotent one may be retried.
    Unknown,
}

impl Outcome {
    /// The value of the `ebonypass-outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Why a request was not answered. docs/errors.md lists the codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The policy names no such service.
    UnknownService,
    /// The policy names no such member.
    UnknownMember,
    /// The service has no such kind.
    UnknownKind,
    /// No client block of the policy contains the client's address.
    UnknownBlock,
    /// The member may not call the service.
    MemberNotAllowed,
    /// The deadline cannot be met behind the requests that already wait.
    DeadlineTooClose,
    /// The queue of the pool is full.
    QueueFull,
    /// The pool has no target that may take work.
    NoTarget,
    /// The process has no policy document yet.
    NoPolicy,
    /// A non-idempotent request came without a request key.
    KeyMissing,
    /// The request key has no arbiter part or is too long.
    KeyMalformed,
    /// The arbiter's journal of request keys is full.
    JournalFull,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The request head is malformed or larger than the limit.
    HeadMalformed,
    /// The process is stopping.
    Stopping,
    /// Each attempt was refused by its target or did not reach it.
    Shed,
    /// No region with credit could take the request.
    NoCredit,
    /// The deadline passed while the request was waiting.
    DeadlinePassed,
    /// The caller went away while the request was waiting.
    CallerGone,
    /// No entry that owns the pool could be reached.
    NoOwner,
    /// The connection to the target failed after the request was written.
    TargetLost,
    /// The target's reply was cut off.
    ReplyTruncated,
    /// The arbiter of the request key cannot be reached.
    ArbiterGone,
    /// The request key was used before.
    KeyRepeated,
    /// The deadline passed while the request was running.
    DeadlinePassedRunning,
    /// The connection to another entry failed after the request was forwarded.
    PeerLost,
    /// The request key is older than the time within which it can be granted.
    KeyExpired,
    // Entries send each other the position of a reason, so new ones come last.
    /// The request has no key, or one that belongs to no tenant.
    CredentialUnknown,
    /// The tenant has used up its quota of requests.
    AllotmentExhausted,
}

impl Reason {
    /// Every reason, in the order of its code.
    pub const ALL: [Reason; 29] = [
        Reason::UnknownService,
        Reason::UnknownMember,
        Reason::UnknownKind,
        Reason::UnknownBlock,
        Reason::MemberNotAllowed,
        Reason::DeadlineTooClose,
        Reason::QueueFull,
        Reason::NoTarget,
        Reason::NoPolicy,
        Reason::KeyMissing,
        Reason::KeyMalformed,
        Reason::JournalFull,
        Reason::BodyTooLarge,
        Reason::HeadMalformed,
        Reason::Stopping,
        Reason::Shed,
        Reason::NoCredit,
        Reason::DeadlinePassed,
        Reason::CallerGone,
        Reason::NoOwner,
        Reason::CredentialUnknown,
        Reason::AllotmentExhausted,
        Reason::TargetLost,
        Reason::ReplyTruncated,
        Reason::ArbiterGone,
        Reason::KeyRepeated,
        Reason::DeadlinePassedRunning,
        Reason::PeerLost,
        Reason::KeyExpired,
    ];

    /// The numbered code, without its `EP-` prefix.
    pub const fn code(self) -> u16 {
        match self {
            Reason::UnknownService => 2001,
            Reason::UnknownMember => 2002,
            Reason::UnknownKind => 2003,
            Reason::UnknownBlock => 2004,
            Reason::MemberNotAllowed => 2005,
            Reason::DeadlineTooClose => 2006,
            Reason::QueueFull => 2007,
            Reason::NoTarget => 2008,
            Reason::NoPolicy => 2009,
            Reason::KeyMissing => 2010,
            Reason::KeyMalformed => 2011,
            Reason::JournalFull => 2012,
            Reason::BodyTooLarge => 2013,
            Reason::HeadMalformed => 2014,
            Reason::Stopping => 2015,
            Reason::Shed => 2016,
            Reason::NoCredit => 2017,
            Reason::DeadlinePassed => 2018,
            Reason::CallerGone => 2019,
            Reason::NoOwner => 2020,
            Reason::CredentialUnknown => 2021,
            Reason::AllotmentExhausted => 2022,
            Reason::TargetLost => 3001,
            Reason::ReplyTruncated => 3002,
            Reason::ArbiterGone => 3003,
            Reason::KeyRepeated => 3004,
            Reason::DeadlinePassedRunning => 3005,
            Reason::PeerLost => 3006,
            Reason::KeyExpired => 3007,
        }
    }

    /// The outcome that goes with the reason: codes from 3000 mean that the request may have run.
    pub const fn outcome(self) -> Outcome {
        if self.code() < 3000 { Outcome::NotRun } else { Outcome::Unknown }
    }

    /// Whether the request was refused because of its tenant. Such requests are no demand that
    /// machines should serve.
    pub const fn is_tenant_refusal(self) -> bool {
        matches!(self, Reason::CredentialUnknown | Reason::AllotmentExhausted)
    }

    /// A one-line description for the caller.
    pub const fn message(self) -> &'static str {
        match self {
            Reason::UnknownService => "the policy names no such service",
            Reason::UnknownMember => "the policy names no such member",
            Reason::UnknownKind => "the service has no such kind",
            Reason::UnknownBlock => "no client block of the policy holds this address",
            Reason::MemberNotAllowed => "the member may not call this service",
            Reason::DeadlineTooClose => "the deadline cannot be met with the work already waiting",
            Reason::QueueFull => "the queue is full",
            Reason::NoTarget => "no target may take work now",
            Reason::NoPolicy => "this entry has no policy document yet",
            Reason::KeyMissing => "a non-idempotent request needs a request key",
            Reason::KeyMalformed => "the request key is not ARBITER/NONCE",
            Reason::JournalFull => "the journal of request keys is full",
            Reason::BodyTooLarge => "the body is larger than the limit",
            Reason::HeadMalformed => "the head is malformed or larger than the limit",
            Reason::Stopping => "this entry is stopping",
            Reason::Shed => "the targets refused the request before running it",
            Reason::NoCredit => "no other region has confirmed capacity",
            Reason::DeadlinePassed => "the deadline passed while the request was waiting",
            Reason::CallerGone => "the caller went away while the request was waiting",
            Reason::NoOwner => "no entry that owns this pool can be reached",
            Reason::CredentialUnknown => "the request has no key of a tenant",
            Reason::AllotmentExhausted => "the tenant has used up its quota of requests",
            Reason::TargetLost => "the connection to the target failed after the request was sent",
            Reason::ReplyTruncated => "the target's reply was cut short",
            Reason::ArbiterGone => "the entry that vouches for this request key cannot be reached",
            Reason::KeyRepeated => "this request key was used before",
            Reason::DeadlinePassedRunning => "the deadline passed while the request was running",
            Reason::PeerLost => "the connection to another entry failed after forwarding",
            Reason::KeyExpired => "the request key is too old to be vouched for",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "EP-{:04}: {}", self.code(), self.message())
    }
}
