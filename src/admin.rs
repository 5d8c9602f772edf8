//! The admin interface of a running process.
//!
//! Operators query the status and the event history of a VM with JSON over HTTP. The process serves these queries on
//! the address that it listens on for peers.

use hyper::{Method, body::Bytes};
use indexmap::IndexMap;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::{
    id::{DomainId, GroupId, ServiceId, Version, VmId},
    measure::Measures,
    membership,
    timeline::Filter,
    vm::owners,
};

/// The path that answers `GET` with a [`Status`].
pub const STATUS_PATH: &str = "/admin/status";
/// The path that answers `POST` of a [`Filter`] with a [`ProcessEvents`](crate::timeline::ProcessEvents).
pub const TIMELINE_PATH: &str = "/admin/timeline";
/// The prefix of all admin paths.
pub const PREFIX: &str = "/admin/";

quick_error! {
    /// Why an admin query was rejected.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// No admin query has this method and path.
        Unknown(method: String, path: String) {
            display("step=admin peer=operator cause=\"no such question: {method} {path}\"")
        }
        /// The body is not a valid timeline filter.
        Filter(cause: String) {
            display("step=admin peer=operator cause={cause:?}")
        }
    }
}

/// A query to a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// The status of the process.
    Status,
    /// The recorded events that match a filter.
    Timeline(Filter),
}

impl Query {
    /// Parses the method, path and body of an admin request.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the path or method is unknown or the filter is invalid.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::admin::{self, Query};
    /// use hyper::Method;
    ///
    /// let query = Query::read(&Method::GET, admin::STATUS_PATH, b"").unwrap();
    /// assert_eq!(query, Query::Status);
    /// ```
    pub fn read(method: &Method, path: &str, body: &[u8]) -> Result<Self, Error> {
        match (method, path) {
            (&Method::GET, STATUS_PATH) => Ok(Self::Status),
            (&Method::POST, TIMELINE_PATH) => serde_json::from_slice(body)
                .map(Self::Timeline)
                .map_err(|cause| Error::Filter(cause.to_string())),
            _ => Err(Error::Unknown(method.to_string(), path.to_owned())),
        }
    }
}

/// The status of one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Status {
    /// The id of the VM.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub domain: DomainId,
    /// The life cycle state of the process.
    pub state: String,
    /// Whether the platform's service answers this process.
    pub platform: bool,
    /// The number of other VMs that this process considers live.
    pub peers: u64,
    /// The version of each service's document that is in force here.
    pub documents: IndexMap<ServiceId, Version>,
    /// The roles of this process, as text.
    pub duties: Vec<String>,
    /// The number of open connections from callers.
    pub active: u64,
    /// The measures of each service since the process started.
    pub measures: IndexMap<ServiceId, Measures>,
    /// The current value of each metric.
    pub totals: IndexMap<String, i64>,
    /// The members of the fleet in this process's view.
    pub members: Vec<membership::Update>,
    /// The groups in this process's view.
    pub groups: IndexMap<GroupId, owners::GroupStatus>,
}

/// Serialises an answer as JSON.
///
/// # Errors
///
/// Returns the serialisation error of a type that JSON can't represent.
///
/// # Example
///
/// ```
/// use bramleypier::admin::{self, Status};
///
/// assert!(admin::to_json(&Status::default()).is_ok());
/// ```
pub fn to_json<T>(answer: &T) -> Result<Bytes, serde_json::Error>
where
    T: Serialize,
{
    serde_json::to_vec(answer).map(Bytes::from)
}
