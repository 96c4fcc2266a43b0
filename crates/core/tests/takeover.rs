//! Scripted take-overs, one for each rule that random interleavings seldom put to the test.

mod explore;

use ebonypass_core::time::Span;
use explore::region::World;
use explore::vm::Broken;

/// `holders` VMs with a seat each; the others want none.
fn region(holders: usize) -> World {
    let mut world = World::new(Broken::Nothing, holders);
    for vm in &mut world.vms[holders..] {
        vm.holder.set_desired_seats(0);
    }
    pass(&mut world, 4);
    for (number, vm) in world.vms.iter().enumerate().take(holders) {
        assert_eq!(usize::from(vm.holder.held_seats()[0].seat_version.seat), number);
    }
    world
}

/// Lets calm seconds pass and checks the sum of the rates after each.
fn pass(world: &mut World, seconds: usize) {
    for _ in 0..seconds {
        world.calm(1);
        world.check().unwrap();
    }
}

fn held(world: &World, number: usize) -> usize {
    let vm = &world.vms[number];
    vm.holder.in_force(vm.clock.read(world.real)).0
}

/// VM 2 is apart from the others and tries to take over the seat of VM 0, which does not reach the
/// store and is extended by VM 1.
fn split_region() -> World {
    let mut world = region(3);
    world.vms[0].is_cut_off = true;
    world.vms[2].side = true;
    world.vms[2].holder.set_desired_seats(3);
    pass(&mut world, 30);
    assert_eq!([0, 1, 2].map(|number| held(&world, number)), [1, 1, 1]);
    world
}

// A process that restarts has forgotten what its predecessor promised.
#[test]
fn restarted_voter() {
    let mut world = split_region();
    world.restart(1);
    world.vms[1].holder.set_desired_seats(0);
    world.vms[1].side = true;
    pass(&mut world, 30);
    assert_eq!(held(&world, 2), 3);
}

// The former holder of a seat may have promised just before it released the seat.
#[test]
fn released_voter() {
    let mut world = split_region();
    world.vms[1].holder.set_desired_seats(0);
    pass(&mut world, 30);
    assert_eq!(held(&world, 2), 3);
}

// A VM that has just left the VM list may have promised just before.
#[test]
fn stopped_voter() {
    let mut world = split_region();
    world.stop(1);
    world.vms[1].is_listed = false;
    pass(&mut world, 30);
    assert_eq!(held(&world, 2), 3);
}

// A consent must not count for a seat that has changed hands, since its new holder promises.
#[test]
fn moved_vote() {
    let mut world = region(5);
    for number in [0, 1, 2] {
        world.vms[number].is_cut_off = true;
    }
    for number in [3, 4] {
        world.vms[number].side = true;
    }
    world.vms[3].holder.set_desired_seats(2);
    pass(&mut world, 20);
    // VM 4 has consented that VM 3 takes seat 0; now its own seat moves to VM 5.
    world.vms[3].is_paused = true;
    world.vms[4].holder.set_desired_seats(0);
    pass(&mut world, 4);
    world.restart(5);
    pass(&mut world, 1);
    assert_eq!(held(&world, 5), 1);
    // VM 0 learns of VM 5, but its next write is lost again.
    world.real = world.real + Span::from_secs(1);
    world.vms[0].is_cut_off = false;
    world.poll(0);
    for _ in 0..2 {
        let parcel = world.bag.pop().unwrap();
        world.deliver(parcel);
    }
    world.vms[0].is_cut_off = true;
    pass(&mut world, 2);
    world.vms[3].is_paused = false;
    // VM 2 no longer promises to VM 0 and will consent to VM 3.
    world.vms[2].side = true;
    pass(&mut world, 15);
    assert_eq!(held(&world, 0), 1);
}

// Voters that restarted have forgotten their consent; the stored epoch must tell them.
#[test]
fn late_holder() {
    let mut world = region(5);
    world.vms[0].is_paused = true;
    world.vms[4].holder.set_desired_seats(2);
    pass(&mut world, 16);
    assert_eq!(held(&world, 4), 2);
    for number in [1, 2, 3] {
        world.restart(number);
    }
    pass(&mut world, 40);
    assert_eq!([1, 2, 3].map(|number| held(&world, number)), [1, 1, 1]);
    world.vms[0].is_cut_off = true;
    world.vms[0].is_paused = false;
    pass(&mut world, 10);
    assert_eq!(held(&world, 0), 0);
}

// A borrower must not use a part of a seat that has gone to another process.
#[test]
fn lost_backing() {
    let mut world = region(3);
    world.vms[0].is_cut_off = true;
    for number in [1, 2] {
        world.vms[number].side = true;
    }
    world.vms[2].holder.set_desired_seats(2);
    for _ in 0..300 {
        world.real = world.real + Span::from_millis(100);
        world.borrow(3, 0);
        world.check().unwrap();
        for number in 0..4 {
            world.round_trip(number);
            world.check().unwrap();
        }
    }
    assert_eq!(held(&world, 2), 2);
}

// A seat against which rate was lent must not be released before the loan has ended.
#[test]
fn released_backing() {
    let mut world = region(3);
    world.borrow(4, 0);
    world.vms[0].holder.set_desired_seats(0);
    world.vms[2].holder.set_desired_seats(2);
    pass(&mut world, 12);
    assert_eq!([0, 2].map(|number| held(&world, number)), [0, 2]);
}
