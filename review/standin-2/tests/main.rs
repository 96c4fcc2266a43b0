//! Stand-ins for the platform, servers and clients, and the cases that use them. Only the standard
//! library is used.
//!
//! Usage: `standin-2 CASE RECORD`, in the root of the repository. Exits with 1 if the case's rule
//! was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod lost_machine;
mod platform;
mod record;
mod server;
mod slow_crowd;
mod slow_readers;
mod slow_server;
mod socket;
mod store;
mod turned_away;

use std::process::exit;
use std::thread;
use std::time::Duration;

/// A case is ended after this time, whatever it does.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// The result of a case: whether the rule held, or why the case could not run.
pub type Verdict = Result<bool, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = &arguments[..] else {
        eprintln!("usage: standin-2 CASE RECORD");
        exit(2);
    };
    let path = path.clone();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let watchdog_path = path.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        platform::end_all();
        record::line("the case took too long");
        record::write(&watchdog_path);
        exit(2);
    });
    record::line(&format!("case {case}, {} the disruption", if has_trouble { "with" } else { "without" }));
    let verdict = match case.as_str() {
        "turned-away" => turned_away::run(has_trouble),
        "slow-readers" => slow_readers::run(has_trouble),
        "slow-crowd" => slow_crowd::run(has_trouble),
        "lost-machine" => lost_machine::run(has_trouble),
        "slow-server" => slow_server::run(has_trouble),
        _ => Err(format!("unknown case {case}")),
    };
    platform::end_all();
    let code = match verdict {
        Ok(true) => {
            record::line("the rule held");
            0
        }
        Ok(false) => {
            record::line("the rule was broken");
            1
        }
        Err(reason) => {
            record::line(&format!("could not run: {reason}"));
            2
        }
    };
    record::write(&path);
    exit(code);
}
