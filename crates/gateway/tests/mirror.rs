//! Copies of the store's objects that follow one another. Guards against a machine that misses a
//! change because the machine that it polls keeps no more than the last change of an object.

use std::collections::BTreeMap;
use std::rc::Rc;

use ebonypass_gateway::mirror::Mirror;
use ebonypass_platform::object::{self, Metadata, Object};
use serde_json::json;

fn object(name: usize, value: u64) -> Object {
    let metadata = Metadata { name: format!("o-{name}"), ..Metadata::default() };
    Object { metadata, spec: json!({ "value": value }), ..Object::default() }
}

/// Brings `copy` to the state of `source` as a poll does. Returns whether it took a whole list.
fn poll(source: &mut Mirror, copy: &mut Mirror) -> bool {
    let known = copy.revision();
    let bytes = source.encode_since(known);
    if let Some(changes) = object::scan_changes(&bytes) {
        let events = changes.events.into_iter();
        copy.apply(changes.revision, events.map(|(object, gone)| (Rc::new(object), gone)));
        return false;
    }
    let page = object::scan_page(&bytes).unwrap();
    let objects = page.objects.into_iter().map(|object| (object.metadata.name.clone(), object));
    copy.replace(page.revision, objects.collect());
    true
}

fn content(mirror: &Mirror) -> Vec<Object> {
    mirror.objects().cloned().collect()
}

#[test]
fn copies_follow_changes() {
    for seed in 0..50 {
        let mut random = fastrand::Rng::with_seed(seed);
        let (mut source, mut near, mut far) =
            (Mirror::default(), Mirror::default(), Mirror::default());
        source.replace(1, BTreeMap::new());
        for revision in 2..300 {
            let (name, is_deleted) = (random.usize(0..12), random.u8(0..3) == 0);
            source.apply(revision, [(Rc::new(object(name, revision)), is_deleted)]);
            if random.u8(0..4) == 0 {
                poll(&mut source, &mut near);
                assert_eq!(content(&near), content(&source), "seed {seed}, revision {revision}");
            }
            if random.u8(0..20) == 0 {
                poll(&mut near, &mut far);
                assert_eq!(content(&far), content(&near), "seed {seed}, revision {revision}");
            }
        }
    }
}

/// However often objects change, the copy knows what has changed since any revision.
#[test]
fn changes_need_no_list() {
    let (mut source, mut copy) = (Mirror::default(), Mirror::default());
    source.replace(1, (0..3).map(|name| (format!("o-{name}"), object(name, 1))).collect());
    assert!(poll(&mut source, &mut copy));
    for revision in 2..5_000 {
        source.apply(revision, [(Rc::new(object(revision as usize % 3, revision)), false)]);
    }
    assert!(source.has_changes_since(copy.revision()));
    assert!(!poll(&mut source, &mut copy));
    assert_eq!(content(&copy), content(&source));
    assert!(!source.has_changes_since(copy.revision()));
}

/// Only so many deletions are kept. A copy from before them needs the list.
#[test]
fn old_deletions_need_a_list() {
    let (mut source, mut copy) = (Mirror::default(), Mirror::default());
    source.replace(1, (0..1_000).map(|name| (format!("o-{name}"), object(name, 1))).collect());
    poll(&mut source, &mut copy);
    for name in 0..900 {
        source.apply(2 + name as u64, [(Rc::new(object(name, 1)), true)]);
    }
    assert!(poll(&mut source, &mut copy));
    assert_eq!(content(&copy), content(&source));
}
