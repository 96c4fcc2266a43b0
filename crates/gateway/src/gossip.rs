//! Heartbeats between machines over UDP, on the same socket as the load reports of `load`. `replication` passes store objects between them over HTTP.

use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::rc::Rc;

use ebonypass_core::gossip::{self, Message, ROUND_INTERVAL};
use ebonypass_core::time::Span;
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use futures_lite::future;
use serde_json::json;
use smol::Async;

use crate::allotment;
use crate::gateway::Gateway;
use crate::load::{self, Loads};

/// Receive buffer for one datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Time between two checks for machines whose heartbeats have stopped.
const EXPIRY_INTERVAL: Span = ROUND_INTERVAL;

/// A random number below `limit`.
fn random_below(limit: usize) -> usize {
    fastrand::usize(0..limit)
}

/// Sends and receives heartbeats on this machine's UDP socket.
#[derive(Debug)]
pub struct Gossip {
    gateway: Rc<Gateway>,
    socket: Async<UdpSocket>,
    loads: Loads,
}

impl Gossip {
    /// Binds the socket.
    ///
    /// Errors: the address cannot be bound.
    pub fn new(gateway: &Rc<Gateway>) -> io::Result<Gossip> {
        let address = SocketAddr::new(gateway.settings.address, gateway.settings.listen.mesh_port);
        Ok(Gossip {
            gateway: gateway.clone(),
            socket: Async::<UdpSocket>::bind(address)?,
            loads: Loads::default(),
        })
    }

    /// Receives messages from other machines, for the lifetime of the process.
    pub async fn receive(&self) {
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut bytes).await else {
                // The error concerns an earlier datagram that was undeliverable; the socket is
                // usable.
                continue;
            };
            // Without it, datagrams that arrive fast would keep all other tasks waiting.
            future::yield_now().await;
            let datagram = &bytes[..length];
            let result = match datagram.first() {
                Some(&load::FIRST_BYTE) => {
                    self.loads.handle_report(&self.gateway, &datagram[1..], from.ip());
                    Ok(())
                }
                Some(_) if allotment::is_quota_datagram(datagram) => {
                    self.gateway.allotments.handle_datagram(from.ip(), datagram)
                }
                _ => match postcard::from_bytes::<Message>(datagram) {
                    Ok(message) => {
                        self.gateway.allotments.record_contact(from.ip());
                        self.handle_message(message, from).await;
                        Ok(())
                    }
                    Err(error) => Err(error),
                },
            };
            if let Err(error) = result {
                let fields = json!({ "from": from.to_string(), "error": error.to_string() });
                self.gateway.log.record(Event::FrameRefused, fields);
            }
        }
    }

    async fn handle_message(&self, message: Message, from: SocketAddr) {
        let wants_reply = message.wants_reply;
        let joined = self.gateway.state().membership.handle_message(clock::now(), message);
        if !joined.is_empty() {
            self.gateway.log.record(Event::PeerConnected, json!({ "peers": joined }));
            self.gateway.update_machines();
        }
        if wants_reply {
            self.send(from.ip(), gossip::Kind::Reply).await;
        }
    }

    async fn send(&self, to: IpAddr, kind: gossip::Kind) {
        if to == self.gateway.settings.address {
            return;
        }
        let message = self.gateway.state().membership.message(clock::now(), kind, random_below);
        let Ok(bytes) = postcard::to_stdvec(&message) else { return };
        let to = SocketAddr::new(to, self.gateway.settings.listen.mesh_port);
        self.send_bytes(&bytes, to).await;
    }

    /// Sends one datagram.
    pub async fn send_bytes(&self, bytes: &[u8], to: SocketAddr) {
        // Messages are repeated in later rounds or after a time-out.
        let _ = self.socket.send_to(bytes, to).await;
    }

    /// Sends one round of heartbeats to a few random peers.
    pub async fn send_heartbeat(&self) {
        let gateway = &self.gateway;
        let (is_ready, store_uptime) = (gateway.is_ready(), gateway.store_uptime());
        let (recipients, kind) = {
            let now = clock::now();
            let mut state = gateway.state();
            state.membership.start_round(is_ready, store_uptime);
            state.membership.record_requests(gateway.arrivals.take());
            let wants_replies = state.membership.needs_replies(now);
            let kind = if wants_replies { gossip::Kind::Request } else { gossip::Kind::Gossip };
            (state.membership.recipients(now, random_below), kind)
        };
        for recipient in recipients {
            self.send(recipient, kind).await;
        }
    }

    /// Sends this round's load reports, if load is shared.
    async fn send_load_reports(&self) {
        for (recipient, bytes) in self.loads.next_reports(&self.gateway) {
            let to = SocketAddr::new(recipient, self.gateway.settings.listen.mesh_port);
            // The next report makes up for a lost one.
            let _ = self.socket.send_to(&bytes, to).await;
        }
    }

    /// Tells all live machines that this one no longer takes requests.
    pub async fn announce_leaving(&self) {
        let addresses: Vec<IpAddr> = {
            let store_uptime = self.gateway.store_uptime();
            let mut state = self.gateway.state();
            state.membership.start_round(false, store_uptime);
            state.membership.live_peers(clock::now()).map(|peer| peer.address).collect()
        };
        for address in addresses {
            self.send(address, gossip::Kind::Notice).await;
        }
    }

    /// Sends a heartbeat that asks for a reply to machines that may not know this one.
    pub async fn request_heartbeats(&self, addresses: Vec<IpAddr>) {
        for address in addresses {
            self.send(address, gossip::Kind::Request).await;
        }
    }

    /// Sends heartbeats and expires silent peers, for the lifetime of the process. Asks the seeds
    /// again while no peer is live.
    pub async fn run_heartbeats(&self) {
        loop {
            self.send_heartbeat().await;
            self.send_load_reports().await;
            let dead = self.gateway.state().membership.expire(clock::now(), EXPIRY_INTERVAL);
            if !dead.is_empty() {
                self.gateway.log.record(Event::PeerDisconnected, json!({ "peers": dead }));
            }
            self.gateway.update_machines();
            self.gateway.allotments.update_fleet(&self.gateway);
            if self.gateway.state().membership.live_peers(clock::now()).next().is_none() {
                let seeds = self.gateway.settings.seeds.iter().map(SocketAddr::ip).collect();
                self.request_heartbeats(seeds).await;
            }
            clock::sleep(ROUND_INTERVAL).await;
        }
    }
}
