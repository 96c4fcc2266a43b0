//! Receive buffers of fixed size, so that the cases don't depend on the defaults of the system.

use std::io;
use std::os::fd::{AsRawFd, RawFd};

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
/// The kernel takes twice as much.
const BYTES: i32 = 64 << 10;

unsafe extern "C" {
    fn setsockopt(socket: RawFd, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Fixes the receive buffer of a connection, or of all that a listener accepts.
pub fn fix_receive_buffer(socket: &impl AsRawFd) -> io::Result<()> {
    // SAFETY: the value is an i32 that lives during the call, and the length is its size.
    let result = unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &BYTES, 4) };
    if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}
