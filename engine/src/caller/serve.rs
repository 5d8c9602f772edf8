//! Serves callers' connections and the load balancer's readiness checks.

use std::time::Duration;

use bramleypier_util::{
    body::Body,
    server::{self, ConnectionLimits, Control},
};
use compio::net::TcpListener;
use hyper::{Response, StatusCode, header};

use super::{context::Context, forward};
use crate::{catalogue::CallerLimits, serving::ServingState};

/// Serves callers until the control stops it.
pub async fn callers(
    listener: TcpListener,
    control: Control,
    context: Context,
    state: ServingState,
) {
    let (shared_fleet, clock) = (context.shared_fleet.clone(), context.clock.clone());
    let limits = move || {
        let fleet = shared_fleet.get();
        connection_limits(
            fleet
                .config
                .as_ref()
                .map_or_else(CallerLimits::default, |it| it.limits),
        )
    };
    let handler = move |request| {
        let (context, state) = (context.clone(), state.clone());
        async move {
            let mut response = forward::handle(context, request).await;
            if state.is_draining() {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
    };
    server::serve_with(listener, control, clock, limits, handler).await;
}

fn connection_limits(limits: CallerLimits) -> ConnectionLimits {
    ConnectionLimits {
        head_bytes: limits.head_bytes,
        head_time: limits.head_time,
        idle_time: limits.idle_time,
    }
}

/// Serves the load balancer's readiness checks: 200 if this VM is ready, else 503.
pub async fn readiness(listener: TcpListener, control: Control, state: ServingState) {
    let handler = move |_| {
        let ready = state.is_ready();
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

/// The time within which the load balancer detects that a VM is not ready: it checks once a second
/// and needs two failed checks.
pub const BALANCER_DELAY: Duration = Duration::from_millis(2300);
