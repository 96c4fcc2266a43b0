//! Which machines callers are sent to. The tests guard against a load spread so thinly that no
//! machine knows its targets, against machines that get more than they can take, and against
//! answers that change when they need not.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr};

use ebonypass_core::directory::entries;
use ebonypass_core::gossip::{Heartbeat, Peer};
use test_case::test_case;

fn peer(index: u16, centre: u16, strength: u8, demand: u16) -> Peer {
    Peer {
        name: format!("vm-{index}"),
        address: IpAddr::V4(Ipv4Addr::new(10, 0, (index >> 8) as u8, index as u8)),
        centre: format!("centre-{centre}"),
        strength,
        heartbeat: Heartbeat { is_ready: true, demand, ..Heartbeat::at_start(0) },
    }
}

/// A region of three data centres with `strong` machines of strength 5 and `weak` ones of strength 1
/// in each, which get `demand` requests a second together.
fn region(strong: u16, weak: u16, demand: u16) -> Vec<Peer> {
    let size = strong + weak;
    let machine = |index: u16| {
        let strength = if index % size < strong { 5 } else { 1 };
        peer(index, index / size, strength, demand / (size * 3))
    };
    (0..size * 3).map(machine).collect()
}

fn chosen(peers: &[Peer]) -> Vec<&Peer> {
    entries(&peers.iter().collect::<Vec<_>>())
}

#[test_case(3, 30, 1_100, 6; "the strong machines of a large region suffice")]
#[test_case(3, 30, 4_200, 9; "more strong ones for a higher demand")]
#[test_case(3, 30, 6_000, 61; "weak ones once the strong ones do not suffice")]
#[test_case(0, 2, 100, 6; "all machines of a small region")]
#[test_case(1, 3, 300, 6; "weak ones if strong ones are few")]
#[test_case(1, 1, 100, 6; "the weak ones of a small region too")]
#[test_case(0, 1, 9_000, 3; "all machines under overload")]
fn as_many_as_the_demand_needs(strong: u16, weak: u16, demand: u16, count: usize) {
    let peers = region(strong, weak, demand);
    let chosen = chosen(&peers);
    assert!(chosen.len().abs_diff(count) <= 1, "{} machines", chosen.len());
    let centres: HashSet<&str> = chosen.iter().map(|peer| peer.centre.as_str()).collect();
    assert_eq!(centres.len(), 3, "callers of a lost data centre need the others");
}

/// A weak machine gets as many callers as a strong one, so it must not be chosen beside strong ones
/// that can take the load.
#[test]
fn weak_machines_stay_out() {
    let peers = region(2, 7, 900);
    assert!(chosen(&peers).iter().all(|peer| peer.strength == 5));
}

#[test]
fn the_loss_of_one_replaces_only_that_one() {
    let peers = region(3, 30, 1_100);
    let before: HashSet<&str> = chosen(&peers).iter().map(|peer| peer.name.as_str()).collect();
    for lost in &before {
        let rest: Vec<Peer> = peers.iter().filter(|peer| peer.name != *lost).cloned().collect();
        let after: HashSet<&str> = chosen(&rest).iter().map(|peer| peer.name.as_str()).collect();
        assert_eq!(after.len(), before.len());
        assert_eq!(before.difference(&after).count(), 1, "only {lost} is replaced");
    }
}

#[test]
fn no_machine_is_ready() {
    assert!(entries(&[]).is_empty());
}
