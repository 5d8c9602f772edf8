//! Why a request got no response, and whether a part of it was sent.

use std::{io, net::SocketAddr};

use quick_error::quick_error;

use crate::body;

quick_error! {
    /// Why a request got no response.
    #[derive(Debug)]
    pub enum Error {
        /// No connection could be opened; nothing was sent.
        Connect(peer: SocketAddr, cause: io::Error) {
            display("connect to {peer}: {cause}")
            source(cause)
        }
        /// The maximum number of connections is in use; nothing was sent.
        Busy(peer: SocketAddr) {
            display("connect to {peer}: all connections are in use")
        }
        /// The connection failed before any byte of the request was sent.
        ///
        /// `responses` is how many responses the connection had had.
        Unsent(peer: SocketAddr, cause: hyper::Error, responses: u64) {
            display("send to {peer}: {cause}; nothing was sent, responses={responses}")
            source(cause)
        }
        /// The connection failed after a part of the request may have arrived, and after this many responses.
        Broken(peer: SocketAddr, cause: hyper::Error, responses: u64) {
            display("answer from {peer}: {cause}, responses={responses}")
            source(cause)
        }
        /// The response names another request, so what becomes of this one isn't known; see [`Client::with_id_header`].
        Foreign(peer: SocketAddr) {
            display("answer from {peer}: another request's answer")
        }
        /// The head of the response begins with the bytes of another message, so what it says of this request isn't known; see
        /// [`Client::with_id_header`].
        Joined(peer: SocketAddr) {
            display("answer from {peer}: its head begins with another message")
        }
        /// The status of the response isn't that of a final response, so what it says of this request isn't known.
        Malformed(peer: SocketAddr) {
            display("answer from {peer}: its status is none of the protocol")
        }
        /// The head of the response has arrived, but not the whole body, or it is too long.
        Truncated(peer: SocketAddr, cause: body::Cause) {
            display("answer from {peer}: {cause}")
        }
        /// The request's time had ended, or its sender did not want it any more, before its first byte was sent; nothing was.
        Withdrawn(peer: SocketAddr) {
            display("send to {peer}: withdrawn; nothing was sent")
        }
        /// The timeout expired; `sent` is false if certainly no byte of the request was sent.
        Timeout(peer: SocketAddr, sent: bool) {
            display("answer from {peer}: timed out, sent={sent}")
        }
    }
}

impl Error {
    /// Returns whether the connection was refused, as when no process listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect(_, cause) if cause.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether it is certain that no byte of the request was sent.
    pub fn unsent(&self) -> bool {
        match self {
            Self::Connect(..) | Self::Busy(_) | Self::Unsent(..) | Self::Withdrawn(_) => true,
            Self::Broken(..)
            | Self::Foreign(_)
            | Self::Joined(_)
            | Self::Malformed(_)
            | Self::Truncated(..) => false,
            Self::Timeout(_, sent) => !sent,
        }
    }
}
