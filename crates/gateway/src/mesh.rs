//! Messages between machines: heartbeats over UDP, and objects of the store over HTTP for those
//! that cannot reach it.

use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::rc::Rc;

use ebonypass_core::gossip::{Form, Message, ROUND};
use ebonypass_core::time::Span;
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use serde_json::json;
use smol::Async;

use crate::gateway::Gateway;

/// Bytes of a datagram.
const DATAGRAM_BYTES: usize = 16 << 10;
/// Rounds between two looks for machines that have died.
const EXPIRE_SPAN: Span = ROUND;

/// A random number below `limit`.
fn random(limit: usize) -> usize {
    fastrand::usize(0..limit)
}

/// The socket of this machine's messages.
#[derive(Debug)]
pub struct Mesh {
    gateway: Rc<Gateway>,
    socket: Async<UdpSocket>,
}

impl Mesh {
    /// Binds the socket.
    ///
    /// Errors: the address cannot be bound.
    pub fn new(gateway: &Rc<Gateway>) -> io::Result<Mesh> {
        let address = SocketAddr::new(gateway.settings.address, gateway.settings.listen.mesh_port);
        Ok(Mesh { gateway: gateway.clone(), socket: Async::<UdpSocket>::bind(address)? })
    }

    /// Takes in messages of other machines.
    pub async fn receive(&self) {
        let mut bytes = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut bytes).await else {
                // An earlier datagram could not be delivered; the socket stays usable.
                continue;
            };
            match postcard::from_bytes::<Message>(&bytes[..length]) {
                Ok(message) => self.take(message, from).await,
                Err(error) => {
                    let fields = json!({ "from": from.to_string(), "error": error.to_string() });
                    self.gateway.log.note(Event::FrameRefused, fields);
                }
            }
        }
    }

    async fn take(&self, message: Message, from: SocketAddr) {
        let wants_reply = message.wants_reply;
        let found = self.gateway.state().members.take(clock::now(), message);
        for name in &found {
            self.gateway.log.note(Event::PeerConnected, json!({ "peer": name }));
        }
        if !found.is_empty() {
            self.gateway.note_machines();
        }
        if wants_reply {
            self.send(from.ip(), Form::Reply).await;
        }
    }

    async fn send(&self, to: IpAddr, form: Form) {
        if to == self.gateway.settings.address {
            return;
        }
        let message = self.gateway.state().members.message(clock::now(), form, random);
        let Ok(bytes) = postcard::to_stdvec(&message) else { return };
        let to = SocketAddr::new(to, self.gateway.settings.listen.mesh_port);
        // A lost datagram is made good by the next round.
        let _ = self.socket.send_to(&bytes, to).await;
    }

    /// Sends this machine's state to some others now.
    pub async fn beat(&self) {
        let gateway = &self.gateway;
        let (is_ready, store) = (gateway.is_ready(), gateway.store_span());
        let (targets, form) = {
            let now = clock::now();
            let mut state = gateway.state();
            state.members.set_own(is_ready, store);
            state.members.note_demand(gateway.arrivals.take());
            let wants_replies = state.members.wants_replies(now);
            let form = if wants_replies { Form::Question } else { Form::Round };
            (state.members.targets(now, random), form)
        };
        for target in targets {
            self.send(target, form).await;
        }
    }

    /// Tells all machines that this one leaves.
    pub async fn announce(&self) {
        let addresses: Vec<IpAddr> = {
            let store = self.gateway.store_span();
            let mut state = self.gateway.state();
            state.members.set_own(false, store);
            state.members.live(clock::now()).map(|peer| peer.address).collect()
        };
        for address in addresses {
            self.send(address, Form::Round).await;
        }
    }

    /// Greets machines that may not know this one.
    pub async fn greet(&self, addresses: Vec<IpAddr>) {
        for address in addresses {
            self.send(address, Form::Question).await;
        }
    }

    /// Sends heartbeats, and forgets machines whose heartbeats have stopped.
    pub async fn run(&self) {
        loop {
            self.beat().await;
            let died = self.gateway.state().members.expire(clock::now(), EXPIRE_SPAN);
            for name in &died {
                self.gateway.log.note(Event::PeerDisconnected, json!({ "peer": name }));
            }
            self.gateway.note_machines();
            if self.gateway.state().members.live(clock::now()).next().is_none() {
                let seeds = self.gateway.settings.seeds.iter().map(SocketAddr::ip).collect();
                self.greet(seeds).await;
            }
            clock::sleep(ROUND).await;
        }
    }
}
