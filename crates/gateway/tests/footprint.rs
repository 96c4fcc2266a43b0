//! Limits on what clients can make a gateway hold. Guards against shares that add up to more than
//! the machine has.

use ebonypass_gateway::footprint::Plan;
use test_case::test_case;

/// Anonymous memory of a process without clients.
const REST_BYTES: usize = 4 << 20;

#[test_case(64, 1_024)]
#[test_case(160, 4_100)]
#[test_case(260, 4_100)]
#[test_case(512, 8_192)]
fn fits(memory_mb: u64, descriptors: usize) {
    let plan = Plan::new(memory_mb, descriptors);
    let worst = plan.worst_case() + REST_BYTES;
    assert!(worst <= (memory_mb as usize) << 20, "{worst} bytes of {memory_mb} MB");
}

/// The largest body of the platform fits on its smallest machine.
#[test]
fn largest_body() {
    let limits = Plan::new(160, 4_100).body_limits(Default::default());
    assert!(limits.total >= 67_108_864, "{limits:?}");
}
