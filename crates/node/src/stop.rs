//! Graceful shutdown and signal handling.

use std::io;
use std::os::unix::net::UnixStream;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use smol::Async;
use smol::channel::{Receiver, Sender, bounded};
use smol::io::AsyncReadExt;

/// Tells whether the process, or a part of it, was asked to stop. Clones share one [`Trigger`].
#[derive(Debug, Clone)]
pub struct Stop {
    receiver: Receiver<()>,
}

/// Requests the stop. Dropping the last clone requests it too.
#[derive(Debug, Clone)]
pub struct Trigger {
    sender: Sender<()>,
}

impl Trigger {
    /// Requests the stop. Further calls do nothing.
    pub fn request_stop(&self) {
        self.sender.close();
    }
}

impl Stop {
    /// Creates a stop and its trigger.
    pub fn new() -> (Trigger, Stop) {
        let (sender, receiver) = bounded(1);
        (Trigger { sender }, Stop { receiver })
    }

    /// Whether the stop was requested.
    pub fn is_requested(&self) -> bool {
        self.receiver.is_closed()
    }

    /// Waits until the stop is requested.
    pub async fn requested(&self) {
        // Nothing is ever sent, so this returns only when the channel closes.
        let _ = self.receiver.recv().await;
    }
}

/// Waits for SIGTERM or SIGINT, whichever comes first.
///
/// Errors: a signal handler cannot be registered.
pub async fn wait_for_signal() -> io::Result<()> {
    let (receiver, sender) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(SIGTERM, sender.try_clone()?)?;
    signal_hook::low_level::pipe::register(SIGINT, sender)?;
    let mut receiver = Async::new(receiver)?;
    let mut byte = [0];
    receiver.read_exact(&mut byte).await
}

/// Sends a message for each SIGHUP; signals in quick succession may be merged into one.
///
/// Errors: the signal handler cannot be registered.
pub fn watch_sighup() -> io::Result<Receiver<()>> {
    let (receiver, sender) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(SIGHUP, sender)?;
    let mut receiver = Async::new(receiver)?;
    let (notifier, sighups) = bounded(1);
    smol::spawn(async move {
        let mut byte = [0];
        while receiver.read_exact(&mut byte).await.is_ok() && notifier.send(()).await.is_ok() {}
    })
    .detach();
    Ok(sighups)
}
