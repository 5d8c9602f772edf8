//! The HTTP/1.1 server of both stand-ins, with one task per connection.

use std::{cell::Cell, fmt, io, rc::Rc, time::Duration};

use compio::{
    net::{TcpListener, TcpStream},
    runtime,
};
use cyper_core::{CompioTimer, HyperStream};
use http::{Request, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service};
use indexmap::IndexMap;
use serde::Serialize;

use crate::payload::Payload;

/// A response of a stand-in.
pub type Response = http::Response<Payload>;

/// Returned by a handler to close the connection without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseConnection;

impl fmt::Display for CloseConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed without a response")
    }
}

impl std::error::Error for CloseConnection {}

/// The connection that a request arrived on.
#[derive(Clone, Debug)]
pub struct Connection {
    stream: TcpStream,
    requests: Rc<Cell<u64>>,
}

impl Connection {
    /// Makes this connection close with a TCP reset.
    pub fn reset(&self) {
        drop(self.stream.set_zero_linger());
    }

    /// Returns how many requests have arrived on this connection.
    pub fn requests(&self) -> u64 {
        self.requests.get()
    }
}

/// Binds a listener and prints its address, from which the parent process learns the port.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn bind(listen: &str) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(listen).await?;
    println!("listening {}", listener.local_addr()?);
    Ok(listener)
}

/// Accepts connections forever and passes each request to the handler.
///
/// Accepting a connection takes `accept_cost`, during which no other is accepted.
pub async fn run<H, F>(listener: TcpListener, accept_cost: Duration, handler: H)
where
    H: Fn(Request<Incoming>, Connection) -> F + Clone + 'static,
    F: Future<Output = Result<Response, CloseConnection>> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            compio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        if !accept_cost.is_zero() {
            compio::time::sleep(accept_cost).await;
        }
        runtime::spawn(serve_connection(stream, handler.clone())).detach();
    }
}

/// Serves a connection until either side closes it.
async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>, Connection) -> F + 'static,
    F: Future<Output = Result<Response, CloseConnection>> + 'static,
{
    drop(stream.set_nodelay(true));
    let connection = Connection {
        stream: stream.clone(),
        requests: Rc::default(),
    };
    let service = service::service_fn(move |request| {
        connection.requests.set(connection.requests.get() + 1);
        handler(request, connection.clone())
    });
    let served = http1::Builder::new()
        .timer(CompioTimer)
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
    drop(served);
}

/// Returns a response without a body.
///
/// # Example
///
/// ```
/// use bramleypier_standins::serve;
/// use http::StatusCode;
///
/// assert_eq!(serve::empty(StatusCode::NOT_FOUND).status(), 404);
/// ```
pub fn empty(status: StatusCode) -> Response {
    let mut response = Response::new(Payload::default());
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON body.
///
/// # Example
///
/// ```
/// use bramleypier_standins::serve;
/// use http::StatusCode;
///
/// assert_eq!(serve::json(StatusCode::OK, &[1, 2]).status(), 200);
/// ```
pub fn json<T>(status: StatusCode, value: &T) -> Response
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Payload::whole(bytes));
    *response.status_mut() = status;
    response
}

/// Returns the query parameters of a URI.
///
/// # Example
///
/// ```
/// use bramleypier_standins::serve;
///
/// let uri = "/v1/watch?since=7".parse().unwrap();
/// assert_eq!(serve::query(&uri)["since"], "7");
/// ```
pub fn query(uri: &http::Uri) -> IndexMap<String, String> {
    let text = uri.query().unwrap_or_default();
    form_urlencoded::parse(text.as_bytes())
        .into_owned()
        .collect()
}

/// Returns the value of a request header, if it is present and text.
pub fn header<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
