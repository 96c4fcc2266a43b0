//! Decision on a request behind 1,000 waiting ones of 84 tenants at 400 targets.

#![allow(missing_docs, reason = "criterion's macros generate public items")]

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use ebonypass_core::id::{ServiceId, TargetId};
use ebonypass_core::pressure::{Estimate, Queue, Request, Waiter, decide};
use ebonypass_core::time::{Instant, Span};

const WAITING: u32 = 1_000;
const TENANTS: u32 = 84;
const TARGETS: u32 = 400;

fn at(ms: u64) -> Instant {
    Instant::ZERO + Span::from_millis(ms)
}

fn decision(criterion: &mut Criterion) {
    let mut queue = Queue::new();
    let mut waiter = |index: u32| {
        let flow = queue.flow(u64::from(index % TENANTS));
        Waiter {
            service: ServiceId(0),
            target: TargetId(index * 7 % TARGETS),
            flow,
            rank: (index % 3) as u16,
            since: at(u64::from(index)),
            latest_start: at(2_000),
        }
    };
    let waiters: Vec<Waiter> = (0..WAITING).map(&mut waiter).collect();
    let next = waiter(1);
    for waiter in waiters {
        queue.push(waiter);
    }
    let request = Request { arrived: at(1_000), objective: at(2_500), deadline: at(7_000) };
    let estimate = Estimate { wait: Span::from_millis(70), latency: Span::from_millis(700) };
    criterion.bench_function("pressure/decide", |bencher| {
        bencher.iter(|| {
            let wait = queue.wait(at(1_000), black_box(&next));
            black_box(decide(at(1_000), &request, estimate, wait, false))
        });
    });
    criterion.bench_function("pressure/release", |bencher| {
        bencher.iter(|| black_box(queue.release(at(1_000), ServiceId(0), TargetId(3))));
    });
    criterion.bench_function("pressure/push_remove", |bencher| {
        bencher.iter(|| {
            let id = queue.push(black_box(next));
            queue.remove(id);
        });
    });
}

criterion_group!(benches, decision);
criterion_main!(benches);
