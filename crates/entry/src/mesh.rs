//! What an entry does with its peers' frames.

use std::net::SocketAddr;
use std::sync::Arc;

use ebonypass_core::version;
use ebonypass_node::clock;
use ebonypass_node::event::{Event, note};
use ebonypass_node::peer::Service;
use ebonypass_node::store::Store;
use ebonypass_node::stream::Exchange;
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use ebonypass_node::wire::{Frame, Hello};

use crate::afar::{grant, note_credit};
use crate::claim::answer_claim;
use crate::delegate::note_list;
use crate::forward::serve_forward;
use crate::policy::advance;
use crate::seats;
use crate::state::Entry;

/// The peers' view of an entry.
pub(crate) struct Mesh<S, T: Target>(pub(crate) Arc<Entry<S, T>>);

impl<S: Store, T: Target> Service for Mesh<S, T> {
    fn found(&self, from: &Hello, address: SocketAddr) {
        if let Some(endpoint) = self.0.endpoint.get() {
            lock(&self.0.members).add_link(endpoint, &from.process.name, address);
        }
    }

    fn note(&self, from: &Hello, frame: Frame) {
        let now = clock::now();
        match frame {
            Frame::Status(status) if status.process == from.process => {
                let view = self.0.view.load();
                lock(&self.0.members).note_status(now, &status, view.as_deref());
                advance(&self.0);
            }
            Frame::Seat(message) => {
                let answer = self.0.border.note_message(now, &from.process, &message);
                self.send(from, answer.map(Frame::Seat));
                seats::advance(&self.0);
            }
            Frame::Borrow(borrow) => {
                let loan = self.0.border.note_borrow(now, &from.process, &borrow);
                self.send(from, loan.map(Frame::Loan));
            }
            Frame::Loan(loan) => self.0.border.note_loan(now, &from.process.name, &loan),
            Frame::Need(need) => {
                let credit = grant(&self.0, &from.process, &need);
                self.send(from, credit.map(Frame::Credit));
            }
            Frame::Credit(credit) => note_credit(&self.0, &credit),
            Frame::Vms(vms) if from.data_centre == self.0.settings.data_centre => {
                note_list(&self.0, vms);
            }
            _ => note(Event::FrameRefused, format_args!("{}: not expected", from.process)),
        }
    }

    async fn serve(&self, from: &Hello, frame: Frame, mut exchange: Exchange) {
        match frame {
            Frame::Fetch(fetch) => self.send_document(fetch, &mut exchange).await,
            Frame::Claim(ask) => {
                let answer = answer_claim(&self.0, &ask);
                // A lost answer is asked for again.
                let _ = exchange.send(&Frame::ClaimReply(answer)).await;
                let _ = exchange.finish();
            }
            Frame::Forward(head) => serve_forward(&self.0, from, head, exchange).await,
            _ => note(Event::FrameRefused, format_args!("{}: not a question", from.process)),
        }
    }
}

impl<S: Store, T: Target> Mesh<S, T> {
    fn send(&self, to: &Hello, frame: Option<Frame>) {
        let Some(frame) = frame else { return };
        if let Some(link) = lock(&self.0.members).link(&to.process.name) {
            link.send(frame);
        }
    }

    async fn send_document(&self, fetch: version::Request, exchange: &mut Exchange) {
        let view = self.0.view.load_full().filter(|view| view.version >= fetch.version);
        let (version, text) = match &view {
            Some(view) => (view.version, view.text.as_str()),
            None => (0, ""),
        };
        let head = Frame::Document { version, length: text.len() as u32 };
        // A failure means that the other side has gone; it asks another peer.
        if exchange.send(&head).await.is_ok() && exchange.write(text.as_bytes()).await.is_ok() {
            let _ = exchange.finish();
        }
    }
}
