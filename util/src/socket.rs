//! TCP socket options.

use std::{os::fd::AsFd, time::Duration};

use compio::net::TcpStream;
use rustix::{
    event::{self, PollFd, PollFlags, Timespec},
    net::sockopt,
};

/// How long a connection may be idle before the first TCP keepalive probe.
///
/// A single connection can stop delivering packets without a reset while others still work. Together
/// with the next two constants this is detected within 2 s.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// The time between two keepalive probes; the kernel counts in whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How many keepalive probes may go unanswered, where the timeout of unacknowledged bytes can't be set.
const KEEPALIVE_PROBES: u32 = 1;
/// How long bytes sent to a server may stay unacknowledged. Packets lost on a link are retransmitted after about
/// 0.2 s and 0.6 s.
pub const SERVER_ACK_TIMEOUT: Duration = Duration::from_millis(1500);

/// Makes a connection send small writes without a delay.
///
/// An option that the system doesn't support is skipped: the connection works without it.
pub fn send_at_once(stream: &TcpStream) {
    let _ = sockopt::set_tcp_nodelay(stream, true);
}

/// Sets the options of a new connection to a server: no delay of small writes, and detection of dead connections.
pub fn set_server_options(stream: &TcpStream) {
    send_at_once(stream);
    let _ = sockopt::set_socket_keepalive(stream, true);
    let _ = sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE);
    let _ = sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL);
    let _ = sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES);
    set_ack_timeout(stream, SERVER_ACK_TIMEOUT);
}

/// Sets how long bytes sent on a connection may stay unacknowledged.
///
/// On Linux that is also how long the peer may read nothing while bytes wait for it, and it decides when keepalive probes give
/// up, whatever their number.
pub fn set_ack_timeout(stream: &TcpStream, timeout: Duration) {
    let millis = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
    let _ = sockopt::set_tcp_user_timeout(stream, millis);
}

/// Sets the size of the buffers of a socket, or of the connections that a listening one accepts, in bytes.
pub fn set_buffers<S>(socket: &S, bytes: usize)
where
    S: AsFd,
{
    let _ = sockopt::set_socket_recv_buffer_size(socket, bytes);
    let _ = sockopt::set_socket_send_buffer_size(socket, bytes);
}

/// Makes a close reset the connection, so that bytes still in transit are never delivered.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

/// Returns whether a socket has something that the runtime has not read yet: bytes, the end of the stream, or a connection
/// to be accepted.
pub fn is_readable<S>(socket: &S) -> bool
where
    S: AsFd,
{
    has_event(socket, PollFlags::IN)
}

/// Returns whether the peer has closed or reset a connection, also while bytes before that are unread.
pub fn has_left<S>(socket: &S) -> bool
where
    S: AsFd,
{
    has_event(socket, PollFlags::RDHUP)
}

/// Returns whether a connection has been reset, also if an earlier read or write has reported that already.
pub fn has_failed<S>(socket: &S) -> bool
where
    S: AsFd,
{
    // A failed connection has them whether or not they are asked for; one that its peer has closed in order hasn't.
    has_event(socket, PollFlags::empty())
}

/// Returns whether a socket has one of these events, or has failed.
fn has_event<S>(socket: &S, events: PollFlags) -> bool
where
    S: AsFd,
{
    let mut sockets = [PollFd::new(socket, events)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // A failed look counts as no event: what waits for one goes on.
    event::poll(&mut sockets, Some(&no_wait)).is_ok_and(|ready| ready > 0)
}
