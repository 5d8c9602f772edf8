//! Options of TCP sockets.

use std::time::Duration;

use compio::net::TcpStream;
use rustix::net::sockopt;

/// How long a connection may be silent before its peer is asked for a sign of life.
///
/// A connection can go silent for good without a reset while others work; with these three it is
/// found out within 2 s.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// The time between two such questions; the kernel counts in whole seconds.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// How many may go unanswered.
const PROBES: u32 = 1;
/// How long sent bytes may stay unconfirmed. Packets lost on a link are sent again after some
/// 0.2 s and 0.6 s.
const UNCONFIRMED: Duration = Duration::from_millis(1500);

/// Sends small writes at once, and notices a connection that has gone silent.
///
/// Options that the system doesn't know are left alone: the connection works without them.
pub fn prepare(stream: &TcpStream) {
    let _ = sockopt::set_tcp_nodelay(stream, true);
    let _ = sockopt::set_socket_keepalive(stream, true);
    let _ = sockopt::set_tcp_keepidle(stream, PROBE_AFTER);
    let _ = sockopt::set_tcp_keepintvl(stream, PROBE_EVERY);
    let _ = sockopt::set_tcp_keepcnt(stream, PROBES);
    let unconfirmed = u32::try_from(UNCONFIRMED.as_millis()).unwrap_or(u32::MAX);
    let _ = sockopt::set_tcp_user_timeout(stream, unconfirmed);
}

/// Makes closing reset the connection, so that bytes held up on the way never arrive.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
