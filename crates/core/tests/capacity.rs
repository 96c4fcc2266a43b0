//! Shares of capacity between regions. The tests guard against requests that overload the few
//! targets of a small region, and against requests sent to other regions despite free capacity.

use ebonypass_core::capacity;
use test_case::test_case;

fn assert_near(found: &[f64], expected: &[f64]) {
    let is_near = found.iter().zip(expected).all(|(a, b)| (a - b).abs() < 1e-9);
    assert!(is_near && found.len() == expected.len(), "got {found:?}, expected {expected:?}");
}

#[test_case(0, &[1.0, 1.0, 1.0], &[2.0, 4.0, 6.0], &[1.0, 0.0, 1.0 / 3.0]; "a small region uses the surplus of a large one")]
#[test_case(1, &[1.0, 1.0, 1.0], &[2.0, 4.0, 6.0], &[0.0, 1.0, 0.0]; "a region with enough capacity uses only its own")]
#[test_case(2, &[1.0, 1.0, 1.0], &[2.0, 4.0, 6.0], &[0.0, 0.0, 2.0 / 3.0]; "a large region keeps its own demand")]
#[test_case(0, &[0.0, 0.0, 0.0], &[1.0, 1.0, 1.0], &[1.0, 0.0, 0.0]; "no demand is treated as equal demand")]
#[test_case(0, &[1.0, 1.0], &[0.0, 1.0], &[0.0, 0.5]; "a region without targets uses only other regions")]
fn a_region_uses_its_share_of_each_capacity(
    origin: usize,
    demand: &[f64],
    capacity: &[f64],
    expected: &[f64],
) {
    assert_near(&capacity::shares(origin, demand, capacity), expected);
}

#[test]
fn shares_never_exceed_the_capacity_of_a_region() {
    let demand = [3.0, 1.0, 2.0];
    let capacity = [1.0, 2.0, 5.0];
    for region in 0..3 {
        let used: f64 =
            (0..3).map(|origin| capacity::shares(origin, &demand, &capacity)[region]).sum();
        assert!(used <= 1.0 + 1e-9, "the shares of region {region} add up to {used}");
    }
}
