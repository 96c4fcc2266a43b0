//! `ebonypass-console`: serves the operators' console over HTTP.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use ebonypass_console::Server;
use ebonypass_console::settings::Settings;
use ebonypass_node::event::{self, Event, emit};
use ebonypass_node::{settings, stop};

/// Serves HTML forms to edit and submit the policy document, and the status of the deployment.
#[derive(FromArgs)]
struct Arguments {
    /// settings file (TOML); console.example.toml documents it
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
        Err(fault) => {
            eprintln!("ebonypass-console: {fault}");
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            emit(Event::Fatal, &error);
            eprintln!("ebonypass-console: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings) -> anyhow::Result<()> {
    event::init(settings.log.level_filter(), settings.log.file.as_deref())?;
    smol::block_on(async {
        let signal = smol::spawn(stop::wait_for_signal());
        let server = Server::start(settings).await?;
        emit(Event::Started, server.address());
        signal.await?;
        emit(Event::Stopping, "signal");
        server.close().await;
        emit(Event::Stopped, "");
        Ok(())
    })
}
