//! Tenants of a configuration. Guards against a key that counts for the wrong tenant, against a
//! faulty entry that puts others out of force, and against keys in what is printed.

use ebonypass_core::balancer::{Balancer, Config};
use ebonypass_core::tenant::{Defect, Digest, Entry, Fault, Limit, Table, Tenant};
use test_case::test_case;

fn digest(seed: u8) -> Digest {
    Digest::new([seed; 32])
}

fn entry(name: &str, keys: &[u8]) -> Entry {
    let tenant = Tenant { name: name.to_owned(), ..Tenant::default() };
    let keys = keys.iter().copied().map(digest).collect();
    Entry { tenant, keys, defects: Vec::new() }
}

fn table(entries: impl IntoIterator<Item = Entry>) -> (Table, Vec<(usize, Defect)>) {
    let (table, faults) = Table::new(entries, |region| region == "zurich");
    (table, faults.into_iter().map(|fault| (fault.row, fault.defect)).collect())
}

/// Name of the tenant that each key belongs to.
fn owners<const N: usize>(table: &Table, keys: [u8; N]) -> [Option<&str>; N] {
    keys.map(|key| table.find(&digest(key)).map(|id| &*table[id].name))
}

#[test]
fn finds_keys() {
    let (table, faults) = table([entry("a", &[1, 2]), entry("b", &[3]), entry("c", &[])]);
    assert_eq!(owners(&table, [1, 2, 3, 4]), [Some("a"), Some("a"), Some("b"), None]);
    assert_eq!((table.len(), faults), (3, vec![]));
    let names: Vec<&str> = table.iter().map(|(_, tenant)| &*tenant.name).collect();
    assert_eq!(names, ["a", "b", "c"]);
    assert!(table.find_name("c").is_some() && table.find_name("d").is_none());
}

/// Guards against a tenant that can use the quota of another one with the same key.
#[test]
fn shared_key() {
    let entries = [entry("a", &[1, 2]), entry("b", &[2, 3]), entry("c", &[2]), entry("d", &[4])];
    let (table, faults) = table(entries);
    let expected = [Some("a"), None, Some("b"), Some("d")];
    assert_eq!(owners(&table, [1, 2, 3, 4]), expected);
    assert_eq!(faults, [0, 1, 2].map(|row| (row, Defect::KeyShared)));
}

/// Guards against a key counted as shared because its tenant lists it twice.
#[test]
fn repeated_key() {
    let (table, faults) = table([entry("a", &[1, 1])]);
    assert_eq!((owners(&table, [1]), faults), ([Some("a")], vec![]));
}

/// Guards against an entry that is not in force but still takes a key away from another one.
#[test_case(entry("a", &[1, 2]), Defect::NameRepeated; "a repeated name")]
#[test_case(entry("", &[1, 2]), Defect::NameMissing; "no name")]
#[test_case(entry(" ", &[1, 2]), Defect::NameMissing; "a name of spaces")]
#[test_case(Entry { defects: vec![Defect::Malformed], ..entry("x", &[1, 2]) }, Defect::Malformed; "a malformed entry")]
fn rejected_entry(faulty: Entry, defect: Defect) {
    let (table, faults) = table([entry("a", &[1]), faulty, entry("b", &[3])]);
    assert_eq!(owners(&table, [1, 2, 3]), [Some("a"), None, Some("b")]);
    assert_eq!((table.len(), faults), (2, vec![(1, defect)]));
}

/// Guards against a malformed entry that keeps a sound one with its name out of force.
#[test]
fn name_after_malformed() {
    let malformed = Entry { defects: vec![Defect::Malformed], ..entry("a", &[1]) };
    let (table, faults) = table([malformed, entry("a", &[2])]);
    assert_eq!(owners(&table, [1, 2]), [None, Some("a")]);
    assert_eq!(faults, [(0, Defect::Malformed)]);
}

/// Guards against an entry whose bad key puts its other keys out of force, and against a line for
/// each of many bad keys.
#[test]
fn faulty_keys() {
    let defects = vec![Defect::KeyEmpty, Defect::KeyMalformed, Defect::KeyEmpty];
    let (table, faults) = table([Entry { defects, ..entry("a", &[1]) }]);
    assert_eq!(owners(&table, [1]), [Some("a")]);
    assert_eq!(faults, [(0, Defect::KeyEmpty), (0, Defect::KeyMalformed)]);
}

/// Guards against home regions that an unknown name opens: only the known ones may run requests,
/// and none if no name is known.
#[test_case(&["zurich"], &[], false; "a known region")]
#[test_case(&["zurich", "mars"], &[(0, Defect::RegionUnknown)], false; "one of two is unknown")]
#[test_case(&["mars"], &[(0, Defect::RegionUnknown)], true; "all are unknown")]
fn unknown_region(regions: &[&str], expected: &[(usize, Defect)], is_nowhere: bool) {
    let mut entry = entry("a", &[1]);
    entry.tenant.allowed_regions = regions.iter().map(|&region| region.to_owned()).collect();
    let (table, faults) = table([entry]);
    assert_eq!(faults, expected);
    let id = table.find(&digest(1)).unwrap();
    let centre_regions = [("z", "zurich"), ("g", "geneva")];
    let centre_regions =
        centre_regions.map(|(centre, region)| (centre.to_owned(), region.to_owned()));
    let balancer = Balancer::new(Config {
        machine: "vm-1".to_owned(),
        region: "zurich".to_owned(),
        centre_regions: centre_regions.into(),
    });
    let set = balancer.region_set(&table[id].allowed_regions);
    let zurich = balancer.region_set(&["zurich".to_owned()]);
    let geneva = balancer.region_set(&["geneva".to_owned()]);
    let nowhere = zurich.intersection(geneva);
    assert_eq!(set, if is_nowhere { nowhere } else { zurich });
    assert_eq!(set.intersection(geneva), nowhere);
}

/// Guards against digests in logs and panics, by which a key could be recognised.
#[test]
fn prints_no_digest() {
    let limit = Some(Limit { rate_per_s: 2.0, burst: 3.0 });
    let mut first = entry("a", &[0xab]);
    first.tenant.limit = limit;
    let (table, faults) = Table::new([first.clone(), entry("b", &[0xab])], |_| true);
    let texts = [format!("{first:?}"), format!("{table:?}"), format!("{faults:?}")];
    for text in texts {
        assert!(!text.contains("ab, ") && !text.contains("171"), "{text}");
    }
    assert_eq!(format!("{:?}", digest(1)), "Digest(..)");
    assert_eq!(faults[0], Fault { row: 0, tenant: "a".to_owned(), defect: Defect::KeyShared });
    let id = table.find_name("a").unwrap();
    assert_eq!(table.get(id).unwrap().limit, limit);
}
