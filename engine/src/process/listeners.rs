//! The sockets that a process listens on.

use std::net::SocketAddr;

use compio::net::TcpListener;

use super::Error;
use crate::settings::Settings;

/// One socket for each kind of client.
pub(super) struct Listeners {
    pub(super) callers: TcpListener,
    pub(super) readiness: TcpListener,
    pub(super) peers: TcpListener,
    pub(super) metrics: TcpListener,
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|cause| Error::Listen(address, cause))
}

impl Listeners {
    pub(super) async fn open(settings: &Settings) -> Result<Self, Error> {
        Ok(Self {
            callers: listen(settings.callers).await?,
            readiness: listen(settings.readiness).await?,
            peers: listen(settings.peers).await?,
            metrics: listen(settings.metrics).await?,
        })
    }
}
