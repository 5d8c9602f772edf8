//! Parsing and validation of callers' requests.

use std::time::Duration;

use http::{HeaderMap, request::Parts};
use percent_encoding::percent_decode_str;
use quick_error::quick_error;
use uuid::Uuid;

use super::{DEADLINE, IDEMPOTENCY_KEY, Proof, Step, Verdict, deadline};
use crate::{
    document::{Class, Document},
    id::{RequestId, ServiceId},
    key::{self, Point},
};

/// The longest key, in bytes after decoding.
pub const KEY_LIMIT: usize = 512;
/// The longest path and query, in bytes as sent.
pub const PATH_LIMIT: usize = 8_192;
/// The longest id of a request, in bytes.
pub const ID_LIMIT: usize = 128;

/// The peer that errors of the caller's input name.
const CALLER: &str = "caller";

quick_error! {
    /// Why a caller's request is invalid.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The path doesn't name a service and a key.
        Path(reason: &'static str) {
            display("parse: caller: path: {reason}")
        }
        /// The key is invalid.
        Key(reason: &'static str) {
            display("parse: caller: key: {reason}")
        }
        /// The id of the request is invalid.
        Id(reason: &'static str) {
            display("parse: caller: Idempotency-Key: {reason}")
        }
        /// The deadline is invalid.
        Deadline(reason: &'static str) {
            display("parse: caller: Bramleypier-Deadline: {reason}")
        }
        /// No class of the service matches the request.
        Class {
            display("route: caller: no class of the service takes this method and path")
        }
    }
}

impl Error {
    /// Returns the verdict for the caller.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::{Attempt, call::Error};
    ///
    /// let verdict = Error::Key("is empty").verdict(&Attempt::new().proof());
    /// assert_eq!(verdict.status, 400);
    /// ```
    pub fn verdict(&self, proof: &Proof) -> Verdict {
        let (status, step) = match self {
            Self::Class => (404, Step::Route),
            _ => (400, Step::Parse),
        };
        Verdict::not_run(proof, status, step, CALLER, &self.to_string())
    }
}

/// A caller's request, without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The method.
    pub method: String,
    /// The service.
    pub service: ServiceId,
    /// The key, decoded.
    pub key: String,
    /// The key's point in the hash space.
    pub point: Point,
    /// The path after the key, decoded, without the slash before it.
    pub rest: String,
    /// The path and query as sent, for the target.
    pub uri: String,
    /// The caller's id of the request.
    pub id: Option<RequestId>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
}

impl Call {
    /// Reads the head of a request.
    ///
    /// The path is matched with classes after decoding, so that another encoding of the same path
    /// can't turn non-idempotent work into work that may run twice. For the same reason paths that
    /// a target might interpret differently are refused: empty and dot segments, encoded slashes,
    /// control characters, and text that is not UTF-8.
    ///
    /// # Errors
    ///
    /// Returns which part of the head is invalid, and why.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::Call;
    ///
    /// let (head, ()) = http::Request::get("/tracking/letter%201/status?full=1")
    ///     .body(())
    ///     .unwrap()
    ///     .into_parts();
    /// let call = Call::read(&head).unwrap();
    /// assert_eq!((call.service.as_str(), call.key.as_str()), ("tracking", "letter 1"));
    /// assert_eq!(call.rest, "status");
    /// ```
    pub fn read(head: &Parts) -> Result<Self, Error> {
        let uri = head.uri.path_and_query().map_or("", |uri| uri.as_str());
        if uri.len() > PATH_LIMIT {
            return Err(Error::Path("is too long"));
        }
        let mut parts = head.uri.path().splitn(4, '/');
        if parts.next() != Some("") {
            return Err(Error::Path("doesn't start with a slash"));
        }
        let service = read_segment(parts.next().unwrap_or("")).map_err(Error::Path)?;
        let key = read_key(parts.next().unwrap_or(""))?;
        let rest = read_rest(parts.next().unwrap_or(""))?;
        Ok(Self {
            method: head.method.as_str().into(),
            point: key::point(&key),
            service,
            key,
            rest,
            uri: uri.into(),
            id: read_id(&head.headers)?,
            timeout: read_timeout(&head.headers)?,
        })
    }

    /// Returns the first class of the service that matches this call, with its name.
    ///
    /// Classes are checked in the document's order. A class's path matches whole segments: `orders`
    /// matches `orders` and `orders/7`, but not `orders-old`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Class`] if no class matches it, and [`Error::Id`] if the class is not
    /// idempotent and the call has no id.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::{document, request::Call};
    ///
    /// # let mut document = document::Document {
    /// #     service: "tracking".into(),
    /// #     ownership: document::Ownership::Exclusive,
    /// #     groups: 1,
    /// #     ranges: 1,
    /// #     unavailable_weight: 1.0,
    /// #     churn_weight: 1.0,
    /// #     body_limit: 1_024,
    /// #     classes: indexmap::IndexMap::new(),
    /// #     targets: indexmap::IndexMap::new(),
    /// # };
    /// # let class = document::Class {
    /// #     methods: vec!["GET".into()],
    /// #     path: String::new(),
    /// #     idempotent: true,
    /// #     share: 50,
    /// #     deadline: std::time::Duration::from_secs(1),
    /// #     queue: std::time::Duration::from_millis(100),
    /// # };
    /// # document.classes.insert("look-up".into(), class);
    /// let (head, ()) = http::Request::get("/tracking/letter-1").body(()).unwrap().into_parts();
    /// let call = Call::read(&head).unwrap();
    /// let (name, _class) = call.class(&document).unwrap();
    /// assert_eq!(name, "look-up");
    /// ```
    pub fn class<'a>(&self, document: &'a Document) -> Result<(&'a str, &'a Class), Error> {
        let taken = document
            .classes
            .iter()
            .find(|(_, class)| self.matches_class(class));
        let (name, class) = taken.ok_or(Error::Class)?;
        if !class.idempotent && self.id.is_none() {
            return Err(Error::Id("is required for work that is not idempotent"));
        }
        Ok((name, class))
    }

    fn matches_class(&self, class: &Class) -> bool {
        let method = class.methods.is_empty()
            || class
                .methods
                .iter()
                .any(|method| method.eq_ignore_ascii_case(&self.method));
        method && has_prefix(&self.rest, class.path.trim_matches('/'))
    }
}

/// Returns the creation time in a request's id, counted from the Unix epoch.
///
/// Only a version 7 UUID contains one.
///
/// # Example
///
/// ```
/// use bramleypier::request::call;
///
/// let created = call::created_at("017f22e2-79b0-7cc3-98c4-dc0c0c07398f").unwrap();
/// assert_eq!(created.as_millis(), 1_645_557_742_000);
/// assert_eq!(call::created_at("letter-1"), None);
/// ```
pub fn created_at(id: &str) -> Option<Duration> {
    let uuid = Uuid::try_parse(id).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(Duration::new(seconds, nanos))
}

fn has_prefix(path: &str, prefix: &str) -> bool {
    prefix.is_empty()
        || path
            .strip_prefix(prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn read_segment(text: &str) -> Result<String, &'static str> {
    let decoded = percent_decode_str(text)
        .decode_utf8()
        .map_err(|_| "is not UTF-8")?;
    match decoded.as_ref() {
        "" => Err("has an empty segment"),
        "." | ".." => Err("has a dot segment"),
        segment if segment.chars().any(char::is_control) => Err("has a control character"),
        segment => Ok(segment.into()),
    }
}

fn read_key(text: &str) -> Result<String, Error> {
    let key = read_segment(text).map_err(Error::Key)?;
    if key.len() > KEY_LIMIT {
        return Err(Error::Key("is too long"));
    }
    Ok(key)
}

fn read_rest(text: &str) -> Result<String, Error> {
    // A trailing slash is common and doesn't change the meaning.
    let text = text.strip_suffix('/').unwrap_or(text);
    if text.is_empty() {
        return Ok(String::new());
    }
    let segments = text.split('/').map(read_rest_segment);
    let segments: Result<Vec<_>, _> = segments.collect();
    Ok(segments?.join("/"))
}

fn read_rest_segment(text: &str) -> Result<String, Error> {
    let segment = read_segment(text).map_err(Error::Path)?;
    if segment.contains(['/', '\\']) {
        return Err(Error::Path("has an encoded slash"));
    }
    Ok(segment)
}

/// Reads the only value of a header.
fn read_single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, &'static str> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err("is given more than once");
    }
    value.to_str().map(Some).map_err(|_| "is not ASCII")
}

/// Reads the id in canonical form: without the quotes of a structured header, UUIDs in lower case.
fn read_id(headers: &HeaderMap) -> Result<Option<RequestId>, Error> {
    let Some(text) = read_single(headers, IDEMPOTENCY_KEY).map_err(Error::Id)? else {
        return Ok(None);
    };
    let text = text.trim();
    let quoted = text.strip_prefix('"').and_then(|it| it.strip_suffix('"'));
    let id = quoted.unwrap_or(text);
    if id.is_empty() {
        return Err(Error::Id("is empty"));
    }
    if id.len() > ID_LIMIT {
        return Err(Error::Id("is too long"));
    }
    if !id.chars().all(|c| c.is_ascii_graphic() && c != '"') {
        return Err(Error::Id("has a space or quote"));
    }
    let uuid = Uuid::try_parse(id).map(|uuid| uuid.to_string());
    Ok(Some(uuid.unwrap_or_else(|_| id.into())))
}

fn read_timeout(headers: &HeaderMap) -> Result<Option<Duration>, Error> {
    let Some(text) = read_single(headers, DEADLINE).map_err(Error::Deadline)? else {
        return Ok(None);
    };
    let number = text.trim().parse::<u64>();
    let ms = number.map_err(|_| Error::Deadline("is not a number of milliseconds"))?;
    if ms == 0 {
        return Err(Error::Deadline("is zero"));
    }
    Ok(Some(Duration::from_millis(ms).min(deadline::MAX_DEADLINE)))
}
