//! Outcomes of submissions by competing operators.

mod explore;

use ebonypass_core::object::{ReadReply, Versioned, WriteReply};
use ebonypass_core::submission::{
    self, Envelope, MAX_EARLIER, Outcome, READ_BACK_LIMIT, Step, Submission,
};
use ebonypass_core::time::{Instant, Span};
use explore::{Decision, Store, explore, take_message};
use test_case::test_case;

const START: Instant = Instant::from_micros(1_000_000);

fn id(name: &str) -> submission::Id {
    submission::Id { submission: name.into(), operator: format!("operator of {name}") }
}

/// The store has the last submission of `names` at `version`; the others are earlier ones.
fn found(version: u64, names: &[&str]) -> ReadReply<Envelope> {
    let mut history: Vec<submission::Id> = names.iter().rev().map(|name| id(name)).collect();
    let submission::Id { submission, operator } = history.remove(0);
    let value = Envelope { submission, operator, text: String::new(), earlier: history };
    ReadReply::Found(Versioned { version, value })
}

/// Submission `c`, based on `a` and `b`, after a write with `reply`.
fn written(reply: WriteReply) -> Submission {
    let mut submission = Submission::new(id("c"), String::new());
    submission.handle_read(START, found(2, &["a", "b"]));
    assert!(matches!(submission.next_step(START), Step::Write { if_version: 2, .. }));
    submission.handle_write(START, reply);
    submission
}

fn refused(winner: &str) -> Step {
    Step::Done(Outcome::Refused { winner: id(winner) })
}

// A wrong outcome makes an operator repeat a change that is in force, or rely on one that is not.
#[test_case(found(3, &["a", "b", "c"]), Step::Done(Outcome::Accepted); "reply was lost")]
#[test_case(found(4, &["a", "b", "c", "d"]), Step::Done(Outcome::Accepted); "accepted and replaced")]
#[test_case(found(3, &["a", "b", "d"]), refused("d"); "refused for one")]
#[test_case(found(5, &["a", "b", "d", "e", "f"]), refused("d"); "refused for the first of three")]
#[test_case(found(90, &["y", "z"]), Step::Done(Outcome::Unknown); "base not in the list")]
#[test_case(found(2, &["a", "b"]), Step::Wait(START + Span::from_millis(500)); "outcome open")]
#[test_case(ReadReply::NoReply, Step::Wait(START + Span::from_millis(500)); "store is down")]
fn read_back(read: ReadReply<Envelope>, step: Step) {
    for reply in [WriteReply::NoReply, WriteReply::Conflict(3)] {
        let mut submission = written(reply);
        assert_eq!(submission.next_step(START), Step::Read);
        submission.handle_read(START, read.clone());
        assert_eq!(submission.next_step(START), step);
    }
}

// After the limit the outcome is unknown, not refused: a write in flight can still take effect.
#[test]
fn read_back_limit() {
    let mut submission = written(WriteReply::NoReply);
    submission.handle_read(START + READ_BACK_LIMIT, found(2, &["a", "b"]));
    assert_eq!(submission.next_step(START + READ_BACK_LIMIT), Step::Done(Outcome::Unknown));
}

// Without a first read nothing is written, so the operator may safely try again.
#[test]
fn store_unreachable() {
    let mut submission = Submission::new(id("a"), String::new());
    submission.handle_read(START, ReadReply::NoReply);
    assert_eq!(submission.next_step(START), Step::Done(Outcome::Unreachable));
}

// The list in the envelope must stay bounded, and drop the oldest submission first.
#[test]
fn bounded_history() {
    let names: Vec<String> = (0..=MAX_EARLIER).map(|number| number.to_string()).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut submission = Submission::new(id("next"), String::new());
    submission.handle_read(START, found(17, &names));
    let Step::Write { envelope, .. } = submission.next_step(START) else {
        panic!("expected a write")
    };
    assert_eq!(envelope.earlier.len(), MAX_EARLIER);
    assert_eq!(envelope.earlier[0], id("16"));
}

const OPERATORS: usize = 3;

struct Operator {
    submission: Submission,
    name: String,
    /// The call for whose reply the operator waits.
    pending_call: Option<u64>,
    /// Injects the fault that a write without a reply counts as refused.
    assumes_refused: bool,
}

enum Message {
    Read { operator: usize, call: u64 },
    Write { operator: usize, call: u64, if_version: u64, envelope: Envelope },
    Found { operator: usize, call: u64, read: ReadReply<Envelope> },
    Reply { operator: usize, call: u64, reply: WriteReply },
}

struct Simulation {
    now: Instant,
    store: Store<Envelope>,
    operators: Vec<Operator>,
    in_flight: Vec<Message>,
    next_call: u64,
    /// Submissions in the order in which they took effect.
    history: Vec<String>,
    /// Ended submissions with the outcomes reported to their operators.
    outcomes: Vec<(String, Outcome)>,
    assumes_refused: bool,
}

impl Simulation {
    fn new(assumes_refused: bool) -> Simulation {
        let mut simulation = Simulation {
            now: START,
            store: Store::new(),
            operators: Vec::new(),
            in_flight: Vec::new(),
            next_call: 0,
            history: Vec::new(),
            outcomes: Vec::new(),
            assumes_refused,
        };
        for number in 0..OPERATORS {
            let operator = simulation.new_operator(number);
            simulation.operators.push(operator);
        }
        simulation
    }

    fn new_operator(&self, number: usize) -> Operator {
        let name = format!("{number}-{}", self.outcomes.len());
        let submission = Submission::new(id(&name), String::new());
        Operator { submission, name, pending_call: None, assumes_refused: self.assumes_refused }
    }

    fn step(&mut self, decision: Decision) {
        let number = decision.index(OPERATORS);
        match decision.kind(16) {
            0 => self.now = self.now + decision.duration(Span::from_secs(10)),
            1..=6 => self.poll(number),
            7..=12 => {
                if let Some(message) = take_message(&mut self.in_flight, decision) {
                    self.deliver(message);
                }
            }
            13 => drop(take_message(&mut self.in_flight, decision)),
            14 => self.time_out(number),
            _ => self.store.is_down = decision.second_index(4) == 0,
        }
    }

    fn poll(&mut self, number: usize) {
        let operator = &mut self.operators[number];
        if operator.pending_call.is_some() {
            return;
        }
        let call = self.next_call;
        self.next_call += 1;
        match operator.submission.next_step(self.now) {
            Step::Read => self.in_flight.push(Message::Read { operator: number, call }),
            Step::Write { if_version, envelope } => {
                self.in_flight.push(Message::Write {
                    operator: number,
                    call,
                    if_version,
                    envelope,
                });
            }
            Step::Wait(_) => return,
            Step::Done(outcome) => {
                self.outcomes.push((operator.name.clone(), outcome));
                self.operators[number] = self.new_operator(number);
                return;
            }
        }
        self.operators[number].pending_call = Some(call);
    }

    /// The operator stops waiting, while its call stays in flight.
    fn time_out(&mut self, number: usize) {
        let operator = &mut self.operators[number];
        if operator.pending_call.take().is_none() {
            return;
        }
        if let Step::Write { .. } = operator.submission.next_step(self.now) {
            operator.submission.handle_write(self.now, WriteReply::NoReply);
            if operator.assumes_refused {
                let outcome = Outcome::Refused { winner: id("nobody") };
                self.outcomes.push((operator.name.clone(), outcome));
                self.operators[number] = self.new_operator(number);
            }
        } else {
            operator.submission.handle_read(self.now, ReadReply::NoReply);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Read { operator, call } => {
                let read = self.store.get();
                self.in_flight.push(Message::Found { operator, call, read });
            }
            Message::Write { operator, call, if_version, envelope } => {
                let name = envelope.submission.clone();
                let reply = self.store.put(if_version, envelope);
                if let WriteReply::Written(_) = reply {
                    self.history.push(name);
                }
                self.in_flight.push(Message::Reply { operator, call, reply });
            }
            Message::Found { operator, call, read } => {
                let operator = &mut self.operators[operator];
                if operator.pending_call == Some(call) {
                    operator.pending_call = None;
                    operator.submission.handle_read(self.now, read);
                }
            }
            Message::Reply { operator, call, reply } => {
                let operator = &mut self.operators[operator];
                if operator.pending_call == Some(call) {
                    operator.pending_call = None;
                    operator.submission.handle_write(self.now, reply);
                }
            }
        }
    }

    fn check(&self) -> Result<(), String> {
        for (name, outcome) in &self.outcomes {
            let is_written = self.history.contains(name);
            let is_wrong = match outcome {
                Outcome::Accepted => !is_written,
                Outcome::Refused { winner } => {
                    is_written || !self.history.contains(&winner.submission)
                }
                Outcome::Unreachable => is_written,
                Outcome::Unknown => false,
            };
            if is_wrong {
                return Err(format!(
                    "{name} was reported as {outcome:?}, but the accepted ones are {:?}",
                    self.history
                ));
            }
        }
        Ok(())
    }
}

fn run(decisions: &[Decision], assumes_refused: bool) -> Result<(), String> {
    let mut simulation = Simulation::new(assumes_refused);
    for &decision in decisions {
        simulation.step(decision);
    }
    // Writes in flight may take effect after the outcome was reported.
    simulation.store.is_down = false;
    while let Some(message) = simulation.in_flight.pop() {
        simulation.deliver(message);
    }
    simulation.check()
}

// A reported outcome must never turn out wrong later.
#[test]
fn outcomes_hold() {
    explore(600, 300, |decisions| run(decisions, false)).unwrap();
}

// Checks that the property test detects submissions that take a lost reply for a refusal.
#[test]
fn detects_assumed_refusal() {
    let violation = explore(600, 300, |decisions| run(decisions, true)).unwrap_err();
    assert!(violation.contains("was reported as Refused"), "{violation}");
}
