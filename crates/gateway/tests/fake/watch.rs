//! Memory and descriptors of a gateway process.

use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The highest figures of a process so far.
#[derive(Debug, Default, Clone, Copy)]
pub struct Peak {
    /// Anonymous resident memory and received bytes that the process has not read, in kB, at one
    /// moment.
    pub memory_kb: u64,
    /// Received bytes that the process has not read, in kB. The platform counts them as memory.
    pub unread_kb: u64,
    pub descriptors: usize,
}

/// Samples a process until dropped.
pub struct Watch {
    peak: Arc<Mutex<Peak>>,
    is_done: Arc<AtomicBool>,
    sampler: Option<JoinHandle<()>>,
}

impl Watch {
    pub fn new(process: u32, address: IpAddr) -> Watch {
        let peak: Arc<Mutex<Peak>> = Arc::default();
        let is_done: Arc<AtomicBool> = Arc::default();
        let (sampled, stop) = (peak.clone(), is_done.clone());
        let sampler = thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let unread_kb = unread_bytes(address) >> 10;
                let descriptors = std::fs::read_dir(format!("/proc/{process}/fd"));
                let descriptors = descriptors.map_or(0, Iterator::count);
                let memory_kb =
                    anonymous_kb(process) + (process_unread_bytes(process, address) >> 10);
                let mut peak = sampled.lock().unwrap();
                peak.memory_kb = peak.memory_kb.max(memory_kb);
                peak.unread_kb = peak.unread_kb.max(unread_kb);
                peak.descriptors = peak.descriptors.max(descriptors);
                drop(peak);
                thread::sleep(Duration::from_millis(20));
            }
        });
        Watch { peak, is_done, sampler: Some(sampler) }
    }

    pub fn peak(&self) -> Peak {
        *self.peak.lock().unwrap()
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.is_done.store(true, Ordering::SeqCst);
        if let Some(sampler) = self.sampler.take() {
            let _ = sampler.join();
        }
    }
}

/// Bytes in the receive queues of a process: of its own sockets, and of connections to `address`
/// that it has not accepted yet.
fn process_unread_bytes(process: u32, address: IpAddr) -> u64 {
    let IpAddr::V4(address) = address else { return 0 };
    let local = format!("{:08X}:", u32::from(address).swap_bytes());
    let Ok(files) = std::fs::read_dir(format!("/proc/{process}/fd")) else { return 0 };
    let sockets: HashSet<String> = files
        .filter_map(|file| {
            let link = std::fs::read_link(file.ok()?.path()).ok()?;
            Some(link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())
        })
        .collect();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let queues = table.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, own, _, state, queues, _, _, _, _, inode, ..] = fields[..] else { return None };
        let is_counted = state != LISTENING && (own.starts_with(&local) || sockets.contains(inode));
        let (_, unread) = queues.split_once(':')?;
        is_counted.then(|| u64::from_str_radix(unread, 16).ok())?
    });
    queues.sum()
}

/// The state of a listening socket in the kernel's table.
const LISTENING: &str = "0A";

/// Anonymous resident memory of a process.
fn anonymous_kb(process: u32) -> u64 {
    let Ok(text) = std::fs::read_to_string(format!("/proc/{process}/status")) else { return 0 };
    let line = text.lines().find(|line| line.starts_with("RssAnon:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Bytes in the receive queues of the sockets at `address`.
fn unread_bytes(address: IpAddr) -> u64 {
    let IpAddr::V4(address) = address else { return 0 };
    let local = format!("{:08X}:", u32::from(address).swap_bytes());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let queues = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace();
        let is_established = fields.nth(1)?.starts_with(&local) && fields.nth(1)? != "0A";
        let (_, unread) = fields.next()?.split_once(':')?;
        is_established.then(|| u64::from_str_radix(unread, 16).ok())?
    });
    queues.sum()
}

/// The most resident memory that a process had.
pub fn resident_kb(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = text.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
