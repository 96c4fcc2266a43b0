//! `ebonypass-gateway`: answers lookups and forwards requests on the platform.

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use argh::FromArgs;
use ebonypass_gateway::Server;
use ebonypass_gateway::settings::Settings;
use ebonypass_node::event::Event;
use ebonypass_node::{settings, stop};
use smol::LocalExecutor;

/// Answers lookups and forwards requests of callers to targets on the platform.
#[derive(FromArgs)]
struct Arguments {
    /// settings file (TOML); defaults to the one that the platform names
    #[argh(positional)]
    settings: Option<PathBuf>,

    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let Some(path) = arguments.settings.or_else(ebonypass_platform::settings_path) else {
        eprintln!("ebonypass-gateway: no settings file given");
        return ExitCode::from(2);
    };
    let settings: Settings = match settings::load(&path) {
        Ok(settings) => settings,
        Err(fault) => {
            let event = Event::InvalidSetting;
            eprintln!("ebonypass-gateway: E{} {}: {fault}", event.number(), event.text());
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ebonypass-gateway: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings) -> anyhow::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = executor.clone();
    smol::block_on(tasks.run(async move {
        let hangups = stop::watch_sighup()?;
        let server = Rc::new(Server::start(settings, executor.clone())?);
        let reloads = server.clone();
        let reload = executor.spawn(async move {
            while hangups.recv().await.is_ok() {
                reloads.reload();
            }
        });
        stop::wait_for_signal().await?;
        reload.cancel().await;
        if let Ok(server) = Rc::try_unwrap(server) {
            server.stop().await;
        }
        Ok(())
    }))
}
