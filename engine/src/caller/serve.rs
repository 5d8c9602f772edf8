//! Callers' connections, and the balancer's question whether this VM is ready.

use std::{cell::Cell, rc::Rc, time::Duration};

use bramleypier_util::{
    body::Body,
    server::{self, ConnectionLimits, Control},
};
use compio::net::TcpListener;
use hyper::{Response, StatusCode, header};

use super::forward::{self, Context};
use crate::catalogue::CallerLimits;

/// How far the process is in its life, as its connections need to know.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    ready: Rc<Cell<bool>>,
    leaving: Rc<Cell<bool>>,
}

impl Gate {
    /// Sets whether new connections are welcome.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// Returns whether new connections are welcome.
    pub fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// From now on each answer is its connection's last.
    pub fn leave(&self) {
        self.ready.set(false);
        self.leaving.set(true);
    }
}

/// Serves callers until the control stops it.
pub async fn callers(listener: TcpListener, control: Control, context: Context, gate: Gate) {
    let (shared_fleet, clock) = (context.shared_fleet.clone(), context.clock.clone());
    let bounds = move || {
        let fleet = shared_fleet.get();
        bounds(
            fleet
                .config
                .as_ref()
                .map_or_else(CallerLimits::default, |it| it.limits),
        )
    };
    let handler = move |request| {
        let (context, gate) = (context.clone(), gate.clone());
        async move {
            let mut response = forward::handle(context, request).await;
            if gate.leaving.get() {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
    };
    server::serve_with(listener, control, clock, bounds, handler).await;
}

fn bounds(limits: CallerLimits) -> ConnectionLimits {
    ConnectionLimits {
        head_bytes: limits.head_bytes,
        head_time: limits.head_time,
        idle_time: limits.idle_time,
    }
}

/// Answers the balancer whether this VM is ready.
pub async fn readiness(listener: TcpListener, control: Control, gate: Gate) {
    let handler = move |_| {
        let ready = gate.is_ready();
        async move {
            let mut response = Response::new(Body::empty());
            if !ready {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            response
        }
    };
    server::serve(listener, control, handler).await;
}

/// The time by which the balancer has noticed that a VM is not ready: it asks once a second and
/// goes by two answers.
pub const NOTICED: Duration = Duration::from_millis(2300);
