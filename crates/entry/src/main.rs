//! The `ebonypass-entry` program: answers look-ups and forwards requests to targets.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use ebonypass_entry::Server;
use ebonypass_entry::settings::Settings;
use ebonypass_node::event::{self, Event, emit};
use ebonypass_node::{settings, stop};

/// Answers look-ups of callers, queues their requests and forwards them to targets.
#[derive(FromArgs)]
struct Arguments {
    /// settings file (TOML); crates/entry/entry.example.toml documents it
    #[argh(positional)]
    settings: PathBuf,

    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings: Settings = match settings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            // The settings name the log file, so this goes to standard error.
            let event = Event::InvalidSetting;
            eprintln!("ebonypass-entry: E{} {}: {error}", event.number(), event.text());
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Also printed, since the log may be a file or not set up yet.
            emit(Event::Fatal, &error);
            eprintln!("ebonypass-entry: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings) -> anyhow::Result<()> {
    event::init(settings.log.level_filter(), settings.log.file.as_deref())?;
    smol::block_on(async {
        let signal = smol::spawn(stop::wait_for_signal());
        let server = Server::start(settings)?;
        signal.await?;
        server.stop().await;
        Ok(())
    })
}
