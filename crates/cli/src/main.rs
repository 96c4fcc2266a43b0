//! `ebonypass`: the command line for operators.

mod check;
mod diff;
mod drain;
mod exit;
mod explain;
mod keys;
mod status;
mod submit;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};
use exit::Exit;

/// Checks, submits and monitors the policy of an ebonypass deployment. Exit codes: 0 done, 1 faults
/// or refused, 2 usage, 3 conflict, 4 store not reachable, 5 not known whether the write took
/// effect.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(Check),
    Diff(Diff),
    Submit(Submit),
    Status(Status),
    Drain(Drain),
    Undrain(Undrain),
    Keys(Keys),
    Explain(Explain),
}

/// show the log events of one request and explain its outcome
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// ID of the request
    #[argh(positional)]
    request: String,
    /// log files of the gateways; standard input if none are given
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// list every fault of a policy document with its line, code and a hint
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the document, TOML
    #[argh(positional)]
    file: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// show what a document would change in the policy in force
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// the document, TOML
    #[argh(positional)]
    file: PathBuf,
    /// address of the store, IP:PORT
    #[argh(option)]
    store: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// submit a document; it is refused if it has faults or another operator's change came first
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
struct Submit {
    /// the document, TOML
    #[argh(positional)]
    file: PathBuf,
    /// address of the store, IP:PORT
    #[argh(option)]
    store: SocketAddr,
    /// who submits it
    #[argh(option)]
    operator: String,
    /// the version that the document is based on; refused if another version is in force
    #[argh(option)]
    base: Option<u64>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// show the policy in force, how many entries have which version, and the requests that drains wait
/// for
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// address of the store, IP:PORT
    #[argh(option)]
    store: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// plan a period in which a data centre or a target gets no new requests
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct Drain {
    /// name of the data centre or target
    #[argh(positional)]
    subject: String,
    /// start: `now`, or as 2026-12-05T02:00:00Z
    #[argh(option)]
    from: String,
    /// end, as 2026-12-05T03:00:00Z
    #[argh(option)]
    until: String,
    /// address of the store, IP:PORT
    #[argh(option)]
    store: SocketAddr,
    /// who submits it
    #[argh(option)]
    operator: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// remove every planned drain of a data centre or a target
#[derive(FromArgs)]
#[argh(subcommand, name = "undrain")]
struct Undrain {
    /// name of the data centre or target
    #[argh(positional)]
    subject: String,
    /// address of the store, IP:PORT
    #[argh(option)]
    store: SocketAddr,
    /// who submits it
    #[argh(option)]
    operator: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// create keys and certificates for the entries
#[derive(FromArgs)]
#[argh(subcommand, name = "keys")]
struct Keys {
    #[argh(subcommand)]
    command: KeysCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum KeysCommand {
    NewAuthority(NewAuthority),
    Issue(Issue),
}

/// create an authority: authority.pem and authority.key
#[derive(FromArgs)]
#[argh(subcommand, name = "new-authority")]
struct NewAuthority {
    /// folder for the files
    #[argh(positional)]
    folder: PathBuf,
}

/// issue a certificate for an entry: NAME.pem and NAME.key, valid for 90 days
#[derive(FromArgs)]
#[argh(subcommand, name = "issue")]
struct Issue {
    /// folder with the authority; the files are written there too
    #[argh(positional)]
    folder: PathBuf,
    /// name of the entry
    #[argh(positional)]
    name: String,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match Arguments::from_args(&["ebonypass"], arguments.get(1..).unwrap_or_default()) {
        Ok(arguments) => run(arguments.command).into(),
        Err(EarlyExit { output, status: Ok(()) }) => {
            println!("{output}");
            Exit::Done.into()
        }
        Err(EarlyExit { output, status: Err(()) }) => {
            eprintln!("{output}");
            Exit::Usage.into()
        }
    }
}

/// Runs a command and prints its error, if any.
fn run(command: Command) -> Exit {
    let result = smol::block_on(async {
        match command {
            Command::Check(command) => check::run(&command),
            Command::Diff(command) => diff::run(&command).await,
            Command::Submit(command) => submit::run(&command).await,
            Command::Status(command) => status::run(&command).await,
            Command::Drain(command) => drain::add(&command).await,
            Command::Undrain(command) => drain::remove(&command).await,
            Command::Keys(Keys { command: KeysCommand::NewAuthority(command) }) => {
                keys::new_authority(&command)
            }
            Command::Keys(Keys { command: KeysCommand::Issue(command) }) => keys::issue(&command),
            Command::Explain(command) => {
                explain::run(&command.request, &command.files, command.json)
            }
        }
    });
    result.unwrap_or_else(|failure| {
        eprintln!("ebonypass: {failure}");
        failure.exit
    })
}
