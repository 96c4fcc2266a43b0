//! Scripted takeovers of seats: one for each rule of [`ebonypass_core::seat`] that random
//! interleavings rarely exercise.

mod explore;

use ebonypass_core::time::Span;
use explore::region::Simulation;
use explore::vm::BrokenRule;

/// A region with `holders` seats, of which the first VMs hold one each. The other VMs request none.
fn region_with_holders(holders: usize) -> Simulation {
    let mut simulation = Simulation::new(BrokenRule::None, holders);
    for vm in &mut simulation.vms[holders..] {
        vm.holder.set_desired_seats(0);
    }
    run_and_check(&mut simulation, 4);
    for (number, vm) in simulation.vms.iter().enumerate().take(holders) {
        assert_eq!(usize::from(vm.holder.held_seats()[0].seat_version.seat), number);
    }
    simulation
}

/// Runs `seconds` seconds without message faults. After each, no seat may have two holders in force
/// and the rates may not exceed the seats.
fn run_and_check(simulation: &mut Simulation, seconds: usize) {
    for _ in 0..seconds {
        simulation.run_without_message_faults(1);
        simulation.check().unwrap();
    }
}

fn seats_in_force(simulation: &Simulation, number: usize) -> usize {
    let vm = &simulation.vms[number];
    vm.holder.in_force(vm.clock.read(simulation.real_time)).0
}

/// VM 2 is partitioned from the others and tries to take over the seat of VM 0. VM 0 cannot reach the
/// store, and VM 1 extends its lease by promises.
fn region_with_blocked_takeover() -> Simulation {
    let mut simulation = region_with_holders(3);
    simulation.vms[0].is_store_unreachable = true;
    simulation.vms[2].partition = true;
    simulation.vms[2].holder.set_desired_seats(3);
    run_and_check(&mut simulation, 30);
    assert_eq!([0, 1, 2].map(|number| seats_in_force(&simulation, number)), [1, 1, 1]);
    simulation
}

// A restarted process does not know the promises of its predecessor, so it must not consent to a
// takeover before they have expired.
#[test]
fn vote_after_restart() {
    let mut simulation = region_with_blocked_takeover();
    simulation.restart(1);
    simulation.vms[1].holder.set_desired_seats(0);
    simulation.vms[1].partition = true;
    run_and_check(&mut simulation, 30);
    // VM 2 finally holds all seats.
    assert_eq!(seats_in_force(&simulation, 2), 3);
}

// The former holder of a seat may have promised just before it released the seat, so the next holder
// must not consent with that seat before the promise has expired.
#[test]
fn vote_after_release() {
    let mut simulation = region_with_blocked_takeover();
    simulation.vms[1].holder.set_desired_seats(0);
    run_and_check(&mut simulation, 30);
    assert_eq!(seats_in_force(&simulation, 2), 3);
}

// A VM that has just left the VM list may have promised just before, so VM 2 must not take over the
// seat of VM 0 before the promise has expired.
#[test]
fn vote_after_stop() {
    let mut simulation = region_with_blocked_takeover();
    simulation.stop(1);
    simulation.vms[1].is_listed = false;
    run_and_check(&mut simulation, 30);
    assert_eq!(seats_in_force(&simulation, 2), 3);
}

// A consent counts only while the voter holds the seat with which it voted, since the next holder of
// that seat may promise.
#[test]
fn vote_after_handover() {
    let mut simulation = region_with_holders(5);
    for number in [0, 1, 2] {
        simulation.vms[number].is_store_unreachable = true;
    }
    for number in [3, 4] {
        simulation.vms[number].partition = true;
    }
    simulation.vms[3].holder.set_desired_seats(2);
    run_and_check(&mut simulation, 20);
    // VM 4 has consented to the takeover of seat 0 by VM 3. Now VM 4 releases its own
    // seat, and VM 5 restarts and acquires it.
    simulation.vms[3].is_paused = true;
    simulation.vms[4].holder.set_desired_seats(0);
    run_and_check(&mut simulation, 4);
    simulation.restart(5);
    run_and_check(&mut simulation, 1);
    assert_eq!(seats_in_force(&simulation, 5), 1);
    // VM 0 reads that VM 5 holds the seat, and then cannot reach the store again. The two packets
    // are its call and the reply.
    simulation.real_time = simulation.real_time + Span::from_secs(1);
    simulation.vms[0].is_store_unreachable = false;
    simulation.poll(0);
    for _ in 0..2 {
        let packet = simulation.in_flight.pop().unwrap();
        simulation.deliver(packet);
    }
    simulation.vms[0].is_store_unreachable = true;
    run_and_check(&mut simulation, 2);
    simulation.vms[3].is_paused = false;
    // VM 2 moves to the side of VM 3: it no longer promises to VM 0, and consents to the takeover.
    simulation.vms[2].partition = true;
    run_and_check(&mut simulation, 15);
    assert_eq!(seats_in_force(&simulation, 0), 1);
}

// Restarted voters do not know that they consented to a takeover. They must not promise to the former
// holder, which continues after a pause: its epoch is older than the stored one.
#[test]
fn promise_after_restart() {
    let mut simulation = region_with_holders(5);
    simulation.vms[0].is_paused = true;
    simulation.vms[4].holder.set_desired_seats(2);
    run_and_check(&mut simulation, 16);
    assert_eq!(seats_in_force(&simulation, 4), 2);
    for number in [1, 2, 3] {
        simulation.restart(number);
    }
    run_and_check(&mut simulation, 40);
    assert_eq!([1, 2, 3].map(|number| seats_in_force(&simulation, number)), [1, 1, 1]);
    simulation.vms[0].is_store_unreachable = true;
    simulation.vms[0].is_paused = false;
    run_and_check(&mut simulation, 10);
    assert_eq!(seats_in_force(&simulation, 0), 0);
}

// A borrower must not use rate of a seat that another process has taken over from the lender.
#[test]
fn loan_after_takeover() {
    let mut simulation = region_with_holders(3);
    simulation.vms[0].is_store_unreachable = true;
    for number in [1, 2] {
        simulation.vms[number].partition = true;
    }
    simulation.vms[2].holder.set_desired_seats(2);
    for _ in 0..300 {
        simulation.real_time = simulation.real_time + Span::from_millis(100);
        simulation.borrow(3, 0);
        simulation.check().unwrap();
        for number in 0..4 {
            simulation.round_trip(number);
            simulation.check().unwrap();
        }
    }
    assert_eq!(seats_in_force(&simulation, 2), 2);
}

// A seat whose rate is lent must not be released before the loan has ended.
#[test]
fn release_after_loan() {
    let mut simulation = region_with_holders(3);
    simulation.borrow(4, 0);
    simulation.vms[0].holder.set_desired_seats(0);
    simulation.vms[2].holder.set_desired_seats(2);
    run_and_check(&mut simulation, 12);
    assert_eq!([0, 2].map(|number| seats_in_force(&simulation, number)), [0, 2]);
}
