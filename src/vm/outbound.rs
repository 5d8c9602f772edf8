//! The task that sends messages to other VMs. It keeps the addresses of the live VMs and their ids.

use std::{net::SocketAddr, rc::Rc};

use futures_channel::mpsc;
use futures_util::StreamExt;
use indexmap::IndexMap;

use super::{Parts, wire};
use crate::{id::VmId, membership, peer};

/// A message to the task.
#[derive(Debug)]
pub enum Message {
    /// Sends to a VM; the message is dropped when the VM's address isn't known.
    Send(VmId, wire::Message),
    /// Sends to an address.
    SendTo(SocketAddr, wire::Message),
    /// Replaces the known addresses by those of the live VMs.
    Live(Vec<membership::Peer>),
    /// A batch arrived from a VM that receives batches at this address.
    Seen(VmId, SocketAddr),
}

/// Runs the task until all senders of its channel are dropped.
pub async fn run(
    parts: Parts,
    address: SocketAddr,
    mut messages: mpsc::UnboundedReceiver<Message>,
) {
    let observer = Rc::new(parts.recorder.clone());
    let mut outbox = peer::Outbox::new(parts.clock, parts.me.vm, address, observer);
    let mut addresses: IndexMap<VmId, SocketAddr> = IndexMap::new();
    while let Some(message) = messages.next().await {
        match message {
            Message::Send(vm, message) => {
                if let Some(address) = addresses.get(&vm) {
                    outbox.send(*address, message);
                }
            }
            Message::SendTo(address, message) => outbox.send(address, message),
            Message::Seen(vm, address) => {
                addresses.insert(vm, address);
            }
            Message::Live(peers) => {
                let known = peers.into_iter().filter_map(|peer| {
                    let address = peer.address.parse().ok()?;
                    Some((peer.vm, address))
                });
                addresses = known.collect();
                outbox.retain(|address| addresses.values().any(|known| known == address));
            }
        }
    }
}
