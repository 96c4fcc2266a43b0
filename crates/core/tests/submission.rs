//! Submissions of competing operators.

mod explore;

use ebonypass_core::object::{Held, Read, Reply};
use ebonypass_core::submission::{
    EARLIER_MAX, Envelope, Outcome, SETTLE_LIMIT, Step, Submission, SubmissionRef,
};
use ebonypass_core::time::{Instant, Span};
use explore::{Store, Word, draw, explore};
use test_case::test_case;

const START: Instant = Instant::from_micros(1_000_000);

fn author(name: &str) -> SubmissionRef {
    SubmissionRef { submission: name.into(), operator: format!("operator of {name}") }
}

/// The document of the last name at `version`; the names before it are its predecessors.
fn found(version: u64, names: &[&str]) -> Read<Envelope> {
    let mut line: Vec<SubmissionRef> = names.iter().rev().map(|name| author(name)).collect();
    let SubmissionRef { submission, operator } = line.remove(0);
    let value = Envelope { submission, operator, text: String::new(), earlier: line };
    Read::Found(Held { version, value })
}

/// Submission `c` that read `a`, `b` and wrote.
fn written(reply: Reply) -> Submission {
    let mut submission = Submission::new(author("c"), String::new());
    submission.note_read(START, found(2, &["a", "b"]));
    assert!(matches!(submission.next_step(START), Step::Write { if_version: 2, .. }));
    submission.note_write(START, reply);
    submission
}

fn refused(winner: &str) -> Step {
    Step::Done(Outcome::Refused { winner: author(winner) })
}

// A wrong verdict makes an operator repeat a change that is in force, or miss that it is not.
#[test_case(found(3, &["a", "b", "c"]), Step::Done(Outcome::Accepted); "reply was lost")]
#[test_case(found(4, &["a", "b", "c", "d"]), Step::Done(Outcome::Accepted); "won and replaced")]
#[test_case(found(3, &["a", "b", "d"]), refused("d"); "lost to one")]
#[test_case(found(5, &["a", "b", "d", "e", "f"]), refused("d"); "lost to the first of three")]
#[test_case(found(90, &["y", "z"]), Step::Done(Outcome::Unknown); "base out of sight")]
#[test_case(found(2, &["a", "b"]), Step::Wait(START + Span::from_millis(500)); "not decided yet")]
#[test_case(Read::Silent, Step::Wait(START + Span::from_millis(500)); "store is down")]
fn read_back(read: Read<Envelope>, step: Step) {
    for reply in [Reply::Silent, Reply::Conflict(3)] {
        let mut submission = written(reply);
        assert_eq!(submission.next_step(START), Step::Read);
        submission.note_read(START, read.clone());
        assert_eq!(submission.next_step(START), step);
    }
}

// A write that is still on its way can take effect later: "not accepted" would be a guess.
#[test]
fn settle_limit() {
    let mut submission = written(Reply::Silent);
    submission.note_read(START + SETTLE_LIMIT, found(2, &["a", "b"]));
    assert_eq!(submission.next_step(START + SETTLE_LIMIT), Step::Done(Outcome::Unknown));
}

// Nothing was written, so the operator may simply try again.
#[test]
fn store_unreachable() {
    let mut submission = Submission::new(author("a"), String::new());
    submission.note_read(START, Read::Silent);
    assert_eq!(submission.next_step(START), Step::Done(Outcome::Unreachable));
}

// The envelope must not grow without limit.
#[test]
fn bounded_line() {
    let names: Vec<String> = (0..=EARLIER_MAX).map(|number| number.to_string()).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut submission = Submission::new(author("next"), String::new());
    submission.note_read(START, found(17, &names));
    let Step::Write { envelope, .. } = submission.next_step(START) else { panic!("no write") };
    assert_eq!(envelope.earlier.len(), EARLIER_MAX);
    assert_eq!(envelope.earlier[0], author("16"));
}

const OPERATORS: usize = 3;

struct Operator {
    submission: Submission,
    name: String,
    /// The number of the call that the operator waits for.
    waits_for: Option<u64>,
    /// Breaks the rule on purpose: a silent write counts as refused if the store is unchanged.
    guesses: bool,
}

enum Message {
    Read { operator: usize, call: u64 },
    Write { operator: usize, call: u64, if_version: u64, envelope: Envelope },
    Found { operator: usize, call: u64, read: Read<Envelope> },
    Reply { operator: usize, call: u64, reply: Reply },
}

struct World {
    now: Instant,
    store: Store<Envelope>,
    operators: Vec<Operator>,
    bag: Vec<Message>,
    calls: u64,
    /// Submissions in the order in which they took effect.
    history: Vec<String>,
    /// Submissions that were settled, with the verdict and the operator's own base.
    settled: Vec<(String, Outcome)>,
    guesses: bool,
}

impl World {
    fn new(guesses: bool) -> World {
        let mut world = World {
            now: START,
            store: Store::new(),
            operators: Vec::new(),
            bag: Vec::new(),
            calls: 0,
            history: Vec::new(),
            settled: Vec::new(),
            guesses,
        };
        for number in 0..OPERATORS {
            let operator = world.operator(number);
            world.operators.push(operator);
        }
        world
    }

    fn operator(&self, number: usize) -> Operator {
        let name = format!("{number}-{}", self.settled.len());
        let submission = Submission::new(author(&name), String::new());
        Operator { submission, name, waits_for: None, guesses: self.guesses }
    }

    fn step(&mut self, word: Word) {
        let number = word.pick(OPERATORS);
        match word.op(16) {
            0 => self.now = self.now + word.span(Span::from_secs(10)),
            1..=6 => self.poll(number),
            7..=12 => {
                if let Some(message) = draw(&mut self.bag, word) {
                    self.deliver(message);
                }
            }
            13 => drop(draw(&mut self.bag, word)),
            14 => self.time_out(number),
            _ => self.store.is_down = word.other(4) == 0,
        }
    }

    fn poll(&mut self, number: usize) {
        let operator = &mut self.operators[number];
        if operator.waits_for.is_some() {
            return;
        }
        let call = self.calls;
        self.calls += 1;
        match operator.submission.next_step(self.now) {
            Step::Read => self.bag.push(Message::Read { operator: number, call }),
            Step::Write { if_version, envelope } => {
                self.bag.push(Message::Write { operator: number, call, if_version, envelope });
            }
            Step::Wait(_) => return,
            Step::Done(settled) => {
                self.settled.push((operator.name.clone(), settled));
                self.operators[number] = self.operator(number);
                return;
            }
        }
        self.operators[number].waits_for = Some(call);
    }

    /// The operator stops waiting; its call stays in the bag.
    fn time_out(&mut self, number: usize) {
        let operator = &mut self.operators[number];
        if operator.waits_for.take().is_none() {
            return;
        }
        if let Step::Write { .. } = operator.submission.next_step(self.now) {
            operator.submission.note_write(self.now, Reply::Silent);
            if operator.guesses {
                let settled = Outcome::Refused { winner: author("nobody") };
                self.settled.push((operator.name.clone(), settled));
                self.operators[number] = self.operator(number);
            }
        } else {
            operator.submission.note_read(self.now, Read::Silent);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Read { operator, call } => {
                let read = self.store.get();
                self.bag.push(Message::Found { operator, call, read });
            }
            Message::Write { operator, call, if_version, envelope } => {
                let name = envelope.submission.clone();
                let reply = self.store.put(if_version, envelope);
                if let Reply::Written(_) = reply {
                    self.history.push(name);
                }
                self.bag.push(Message::Reply { operator, call, reply });
            }
            Message::Found { operator, call, read } => {
                let operator = &mut self.operators[operator];
                if operator.waits_for == Some(call) {
                    operator.waits_for = None;
                    operator.submission.note_read(self.now, read);
                }
            }
            Message::Reply { operator, call, reply } => {
                let operator = &mut self.operators[operator];
                if operator.waits_for == Some(call) {
                    operator.waits_for = None;
                    operator.submission.note_write(self.now, reply);
                }
            }
        }
    }

    fn check(&self) -> Result<(), String> {
        for (name, settled) in &self.settled {
            let is_written = self.history.contains(name);
            let fault = match settled {
                Outcome::Accepted => !is_written,
                Outcome::Refused { winner } => {
                    is_written || !self.history.contains(&winner.submission)
                }
                Outcome::Unreachable => is_written,
                Outcome::Unknown => false,
            };
            if fault {
                return Err(format!("{name} was told {settled:?}: {:?}", self.history));
            }
        }
        Ok(())
    }
}

fn run(words: &[Word], guesses: bool) -> Result<(), String> {
    let mut world = World::new(guesses);
    for &word in words {
        world.step(word);
    }
    // Writes that are still on their way may take effect after the verdict.
    world.store.is_down = false;
    while let Some(message) = world.bag.pop() {
        world.deliver(message);
    }
    world.check()
}

// A verdict that later turns out wrong is worse than none.
#[test]
fn true_verdicts() {
    explore(600, 300, |words| run(words, false)).unwrap();
}

// Shows that `true_verdicts` sees a submission that takes silence for a refusal.
#[test]
fn broken_verdicts() {
    let fault = explore(600, 300, |words| run(words, true)).unwrap_err();
    assert!(fault.contains("was told Refused"), "{fault}");
}
