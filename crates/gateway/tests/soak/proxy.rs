//! A proxy on the loopback net that harms the connections that pass through it.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time between two looks at the mode by a direction that is held up.
const HOLD_INTERVAL: Duration = Duration::from_millis(20);

/// What happens to bytes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    /// They pass.
    Open,
    /// They pass this much later.
    Delayed(Duration),
    /// Connections are reset.
    Reset,
    /// Bytes to the server are held up, those of its replies pass.
    CutForth,
    /// Bytes of replies are held up, those to the server pass.
    CutBack,
    /// All bytes are held up.
    Silent,
}

/// A proxy before one server.
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
                own.join(&stream, &other, Mode::CutForth);
                own.join(&other, &stream, Mode::CutBack);
            }
        });
        proxy
    }

    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// Passes bytes on in one direction until either side closes.
    fn join(&self, from: &TcpStream, to: &TcpStream, cut: Mode) {
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
                            // Neither side can be told; both see the end.
                            let _ = from.shutdown(Shutdown::Both);
                            let _ = to.shutdown(Shutdown::Both);
                            return;
                        }
                        _ if mode == cut || mode == Mode::Silent => {
                            thread::sleep(HOLD_INTERVAL);
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
