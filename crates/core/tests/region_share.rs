//! Shares of capacity between regions. They guard against requests of a small region that crowd its
//! few targets, and against regions that send work away although they have room.

use ebonypass_core::region_share::capacity_shares;
use test_case::test_case;

fn assert_near(found: &[f64], expected: &[f64]) {
    let is_near = found.iter().zip(expected).all(|(a, b)| (a - b).abs() < 1e-9);
    assert!(is_near && found.len() == expected.len(), "{found:?}, not {expected:?}");
}

#[test_case(0, &[1.0, 1.0, 1.0], &[2.0, 4.0, 6.0], &[1.0, 0.0, 1.0 / 3.0]; "a small region borrows")]
#[test_case(1, &[1.0, 1.0, 1.0], &[2.0, 4.0, 6.0], &[0.0, 1.0, 0.0]; "a balanced region stays at home")]
#[test_case(2, &[1.0, 1.0, 1.0], &[2.0, 4.0, 6.0], &[0.0, 0.0, 2.0 / 3.0]; "a large region lends")]
#[test_case(0, &[0.0, 0.0, 0.0], &[1.0, 1.0, 1.0], &[1.0, 0.0, 0.0]; "no demand counts as equal")]
#[test_case(0, &[1.0, 1.0], &[0.0, 1.0], &[0.0, 0.5]; "a region without targets sends all away")]
fn a_region_uses_its_share(origin: usize, demand: &[f64], capacity: &[f64], expected: &[f64]) {
    assert_near(&capacity_shares(origin, demand, capacity), expected);
}

#[test]
fn shares_never_exceed_a_region() {
    let demand = [3.0, 1.0, 2.0];
    let capacity = [1.0, 2.0, 5.0];
    for region in 0..3 {
        let used: f64 =
            (0..3).map(|origin| capacity_shares(origin, &demand, &capacity)[region]).sum();
        assert!(used <= 1.0 + 1e-9, "region {region} is used {used} times");
    }
}
