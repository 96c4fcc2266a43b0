//! What happens when the store was restored from an older snapshot: which replies still count, and
//! for how long what was known before stays in force. docs/design/store-rollback.md describes it.

use std::collections::HashSet;

use bytes::Bytes;
use ebonypass_core::era::{Era, HOLD_TIME, Sighting, Stamp};
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use ebonypass_platform::object::Kind;
use hyper::Response;
use serde_json::json;

use super::Source;
use crate::gateway::Gateway;
use crate::metric::SourceLabels;
use crate::mirror::{Difference, Mirror};
use crate::store::{Error, Reply};

/// Time between two log lines of ignored replies. Each kind of objects may be told an earlier era
/// several times a second.
const IGNORED_LINE_INTERVAL: Span = Span::from_secs(1);

/// Targets that the list of a new era lacks, and which stay in use for a while.
#[derive(Debug, Default)]
pub struct Hold {
    /// Their names.
    pub targets: HashSet<String>,
    /// End of the hold; none before the first one.
    pub until: Option<Instant>,
    /// Whether the hold has not ended.
    pub is_open: bool,
}

impl Gateway {
    /// The era of the store that this machine follows.
    pub fn era(&self) -> Era {
        self.state().era.era()
    }

    /// What this machine knows of the objects of `kind`: its copy, or nothing of the era that it
    /// follows.
    pub fn known_stamp(&self, kind: Kind) -> Stamp {
        let state = self.state();
        let era = state.era.era();
        let stamp = state.mirrors.get(&kind).map(Mirror::stamp);
        stamp.filter(|stamp| stamp.era == era).unwrap_or(Stamp::new(era, 0))
    }

    /// Whether the copy of `kind` is of the era that this machine follows.
    pub(super) fn is_of_era(&self, kind: Kind, era: Era) -> bool {
        let stamp = self.known_stamp(kind);
        stamp.revision > 0 && stamp.era == era
    }

    /// Checks the era of a reply of the store.
    ///
    /// Errors: those of the call, or the reply is of an earlier era than the one followed.
    pub fn check_reply(&self, reply: Reply) -> Result<(Era, Response<Bytes>), Error> {
        let era = reply.era.unwrap_or_default();
        if reply.era.is_some() {
            self.check_era(era, Source::Store)?;
        }
        Ok((era, reply.result?))
    }

    /// Records the era of a reply. The copies of other eras are read again by their synchronizers.
    ///
    /// Errors: the reply is of an earlier era than the one that this machine follows.
    pub fn check_era(&self, era: Era, source: Source) -> Result<(), Error> {
        let now = clock::now();
        let (sighting, followed) = {
            let mut state = self.state();
            let followed = state.era.era();
            (state.era.record(now, era), followed)
        };
        let (event, before) = match sighting {
            Sighting::Current => return Ok(()),
            Sighting::Outdated => {
                self.record_ignored(now, era, followed, source);
                return Err(Error::Outdated(era));
            }
            Sighting::Raised(before) => (Event::EraRaised, before),
            Sighting::Replaced(before) => (Event::StoreReplaced, before),
        };
        self.metrics.era_changes.inc();
        let fields = json!({ "era": era.number(), "before": before.number(), "source": source.name(), "version": self.state().version });
        self.log.record(event, fields);
        Ok(())
    }

    fn record_ignored(&self, now: Instant, era: Era, followed: Era, source: Source) {
        let labels = SourceLabels { source: source.label() };
        self.metrics.ignored_replies.get_or_create(&labels).inc();
        if now < self.next_ignored_line.get() {
            return;
        }
        self.next_ignored_line.set(now + IGNORED_LINE_INTERVAL);
        let fields =
            json!({ "era": era.number(), "followed": followed.number(), "source": source.name() });
        self.log.record(Event::ReplyOutdated, fields);
    }

    /// Applies the first list of a new era. What was known before stays in force until targets and
    /// operators have had time to write again.
    pub(super) fn apply_restored(&self, kind: Kind, difference: &Difference) {
        let now = clock::now();
        let (kept, ignored) = match kind {
            Kind::Config => {
                self.apply_restored_config(difference);
                return;
            }
            Kind::Machine => return,
            Kind::Evacuation => {
                let mut state = self.state();
                let listed = listed_centres(state.mirrors.entry(kind).or_default());
                state.evacuations.restore(now, listed);
                let held = state.evacuations.held();
                drop(state);
                self.apply_evacuations();
                held
            }
            Kind::Target => {
                let ignored = self.apply_restored_targets(difference);
                let mut state = self.state();
                for object in &difference.removed {
                    let name = &object.metadata.name;
                    if state.balancer.find_target(name).is_some() {
                        state.hold.targets.insert(name.clone());
                    }
                }
                state.hold.until = Some(now + HOLD_TIME);
                state.hold.is_open = true;
                (state.hold.targets.len(), ignored)
            }
        };
        let stamp = self.known_stamp(kind);
        let fields = json!({ "kind": kind.label(), "era": stamp.era.number(), "revision": stamp.revision, "kept": kept, "ignored": ignored });
        self.log.record(Event::HoldStarted, fields);
    }

    /// Applies the configuration of a restored store. A lower version than the one in force is not
    /// installed, and machines that poll this one get what is in force here.
    fn apply_restored_config(&self, difference: &Difference) {
        for (object, previous) in difference.changed.iter().zip(&difference.previous) {
            let before = self.state().version;
            self.apply(Kind::Config, std::slice::from_ref(object), &[]);
            let mut state = self.state();
            if state.version == before && previous.is_some() {
                let mirror = state.mirrors.entry(Kind::Config).or_default();
                mirror.substitute(&object.metadata.name, previous.clone());
            }
        }
        let mut state = self.state();
        let mirror = state.mirrors.entry(Kind::Config).or_default();
        difference.removed.iter().for_each(|object| mirror.keep(object.clone()));
    }

    /// Applies the entries of targets that differ in a list of a store that was restored. Returns
    /// how many are not later than what is known. There may be one for each target, so they get no
    /// lines of their own.
    pub(super) fn apply_restored_targets(&self, difference: &Difference) -> usize {
        let mut ignored = 0;
        for (object, previous) in difference.changed.iter().zip(&difference.previous) {
            if !self.apply_restored_target(object) {
                ignored += 1;
                let mut state = self.state();
                let mirror = state.mirrors.entry(Kind::Target).or_default();
                mirror.substitute(&object.metadata.name, previous.clone());
            }
        }
        ignored
    }

    /// Whether the store was restored in the lifetime of this process, so that its lists may hold
    /// entries of targets that are older than what is known.
    pub(super) fn has_seen_restore(&self) -> bool {
        self.state().hold.until.is_some()
    }

    /// Records evacuations that another machine keeps in force although the restored store does not
    /// list them.
    pub(crate) fn keep_evacuations(&self, left: Span, names: Vec<String>) {
        self.state().evacuations.keep(clock::now(), left, names);
        self.apply_evacuations();
    }

    /// Ends holds whose time is over.
    pub fn end_holds(&self) {
        let now = clock::now();
        let mut state = self.state();
        if state.evacuations.end_hold(now) {
            drop(state);
            self.log.record(Event::HoldEnded, json!({ "kind": Kind::Evacuation.label() }));
            self.apply_evacuations();
            state = self.state();
        }
        if state.hold.is_open && state.hold.until.is_some_and(|until| now >= until) {
            state.hold.is_open = false;
            let missing = std::mem::take(&mut state.hold.targets);
            let fields = json!({ "kind": Kind::Target.label(), "missing": missing.len() });
            // They are removed as any others that are no longer listed: once the store has been
            // reachable for long enough.
            state.unlisted.extend(missing);
            drop(state);
            self.log.record(Event::HoldEnded, fields);
        }
    }
}

/// Names of the data centres that a copy lists as evacuated.
fn listed_centres(mirror: &Mirror) -> HashSet<String> {
    let objects = mirror.objects().filter(|object| !object.metadata.deleting);
    objects.map(|object| object.metadata.name.clone()).collect()
}
