//! Handles the frames that peers send to this entry.

use std::net::SocketAddr;
use std::sync::Arc;

use ebonypass_core::version;
use ebonypass_node::event::{Event, emit};
use ebonypass_node::store::Store;
use ebonypass_node::stream::Exchange;
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use ebonypass_node::wire::{Frame, Hello};
use ebonypass_node::{clock, peer};

use crate::claim::handle_claim;
use crate::delegate::handle_vm_list;
use crate::forward::serve_forward;
use crate::policy::run_due_actions;
use crate::remote::{grant_credit, handle_credit};
use crate::seats;
use crate::state::Entry;

/// Handles frames with the state of this entry.
pub(crate) struct Handler<S, T: Target>(pub(crate) Arc<Entry<S, T>>);

impl<S: Store, T: Target> peer::Handler for Handler<S, T> {
    fn handle_connect(&self, from: &Hello, address: SocketAddr) {
        if let Some(endpoint) = self.0.endpoint.get() {
            lock(&self.0.peers).connect(endpoint, &from.process.name, address);
        }
    }

    fn handle_frame(&self, from: &Hello, frame: Frame) {
        let now = clock::now();
        match frame {
            Frame::Heartbeat(heartbeat) if heartbeat.process == from.process => {
                let view = self.0.view.load();
                lock(&self.0.peers).handle_heartbeat(now, &heartbeat, view.as_deref());
                run_due_actions(&self.0);
            }
            Frame::SeatVote(message) => {
                let reply = self.0.egress.handle_seat_message(now, &from.process, &message);
                self.send(from, reply.map(Frame::SeatVote));
                seats::run_due_actions(&self.0);
            }
            Frame::RateRequest(request) => {
                let loan = self.0.egress.handle_loan_request(now, &from.process, &request);
                self.send(from, loan.map(Frame::RateLoan));
            }
            Frame::RateLoan(loan) => self.0.egress.handle_loan(now, &from.process.name, &loan),
            Frame::CreditRequest(request) => {
                let credit = grant_credit(&self.0, &from.process, &request);
                self.send(from, credit.map(Frame::CreditGrant));
            }
            Frame::CreditGrant(credit) => handle_credit(&self.0, &credit),
            Frame::Vms(vms) if from.data_centre == self.0.settings.data_centre => {
                handle_vm_list(&self.0, vms);
            }
            _ => emit(Event::FrameRefused, format_args!("{}: unexpected frame", from.process)),
        }
    }

    async fn handle_request(&self, from: &Hello, frame: Frame, mut exchange: Exchange) {
        match frame {
            Frame::PolicyFetch(fetch) => self.send_document(fetch, &mut exchange).await,
            Frame::Claim(claim) => {
                let reply = handle_claim(&self.0, &claim);
                // A peer that does not get the reply sends the claim again.
                let _ = exchange.send(&Frame::ClaimReply(reply)).await;
                let _ = exchange.finish();
            }
            Frame::Forward(head) => serve_forward(&self.0, from, head, exchange).await,
            _ => emit(Event::FrameRefused, format_args!("{}: not a request frame", from.process)),
        }
    }
}

impl<S: Store, T: Target> Handler<S, T> {
    /// Sends `frame` to a peer; drops it if there is no link to that peer.
    fn send(&self, to: &Hello, frame: Option<Frame>) {
        let Some(frame) = frame else { return };
        if let Some(link) = lock(&self.0.peers).link(&to.process.name) {
            link.send(frame);
        }
    }

    /// Sends the policy document in force, or an empty one if it is older than the requested
    /// version.
    async fn send_document(&self, fetch: version::Request, exchange: &mut Exchange) {
        let view = self.0.view.load_full().filter(|view| view.version >= fetch.version);
        let (version, text) = match &view {
            Some(view) => (view.version, view.text.as_str()),
            None => (0, ""),
        };
        let head = Frame::PolicyDocument { version, length: text.len() as u32 };
        // Sending fails if the peer has gone; it fetches the document from another entry.
        if exchange.send(&head).await.is_ok() && exchange.write(text.as_bytes()).await.is_ok() {
            let _ = exchange.finish();
        }
    }
}
