//! Memory of enlarged receive buffers.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that enlarged receive buffers may take together. They have a share of their own, so that
/// the largest body is received at full speed.
#[derive(Debug)]
pub struct Windows {
    limit: usize,
    used: Cell<usize>,
}

/// Memory of an enlarged receive buffer, given back when dropped.
#[derive(Debug)]
pub struct Window {
    windows: Rc<Windows>,
    bytes: usize,
}

impl Windows {
    /// Permits `limit` bytes.
    pub fn new(limit: usize) -> Rc<Windows> {
        Rc::new(Windows { limit, used: Cell::new(0) })
    }

    /// Memory of an enlarged receive buffer of `bytes`, if it is free now.
    pub fn try_reserve(self: &Rc<Self>, bytes: usize) -> Option<Window> {
        let used = self.used.get() + bytes;
        (used <= self.limit).then(|| {
            self.used.set(used);
            Window { windows: self.clone(), bytes }
        })
    }
}

impl Window {
    /// Whether more than half of the memory for enlarged receive buffers is in use.
    pub fn is_scarce(&self) -> bool {
        self.windows.used.get() > self.windows.limit / 2
    }
}

impl Drop for Window {
    fn drop(&mut self) {
        self.windows.used.set(self.windows.used.get() - self.bytes);
    }
}
