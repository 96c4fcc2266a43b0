//! A loopback TCP proxy that injects network faults.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often a blocked direction checks the mode.
const BLOCKED_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How the proxy treats traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    /// Bytes pass.
    Open,
    /// Bytes are delayed by this time.
    Delayed(Duration),
    /// Connections are reset.
    Reset,
    /// Bytes to the server are held back; replies pass.
    BlockRequests,
    /// Replies are held back; bytes to the server pass.
    BlockReplies,
    /// All bytes are held back.
    Silent,
}

/// A proxy in front of one server.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
}

impl Proxy {
    pub fn new(server: SocketAddr) -> Proxy {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = Proxy { address, mode: Arc::new(Mutex::new(Mode::Open)) };
        let own = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(other) = TcpStream::connect(server) else { continue };
                own.forward(&stream, &other, Mode::BlockRequests);
                own.forward(&other, &stream, Mode::BlockReplies);
            }
        });
        proxy
    }

    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// Forwards one direction until either side closes.
    fn forward(&self, from: &TcpStream, to: &TcpStream, blocked_by: Mode) {
        let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
        let mode = self.mode.clone();
        thread::spawn(move || {
            let mut bytes = [0; 16 << 10];
            while let Ok(length @ 1..) = from.read(&mut bytes) {
                loop {
                    let mode = *mode.lock().unwrap();
                    match mode {
                        Mode::Delayed(time) => thread::sleep(time),
                        Mode::Reset => {
                            // Errors do not matter: the connection ends either way.
                            let _ = from.shutdown(Shutdown::Both);
                            let _ = to.shutdown(Shutdown::Both);
                            return;
                        }
                        _ if mode == blocked_by || mode == Mode::Silent => {
                            thread::sleep(BLOCKED_POLL_INTERVAL);
                            continue;
                        }
                        _ => {}
                    }
                    break;
                }
                if to.write_all(&bytes[..length]).is_err() {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Write);
        });
    }
}
