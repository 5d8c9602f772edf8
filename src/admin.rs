//! What operators ask of a running process: JSON over HTTP, on the address for peers.

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

/// Answers [`Status`] to `GET`.
pub const STATUS_PATH: &str = "/admin/status";
/// Answers a [`Part`](crate::timeline::ProcessEvents) to `POST` of a [`Filter`].
pub const TIMELINE_PATH: &str = "/admin/timeline";
/// What all paths for operators start with.
pub const PREFIX: &str = "/admin/";

quick_error! {
    /// Why a question was not understood.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// There is no such question.
        Unknown(method: String, path: String) {
            display("step=admin peer=operator cause=\"no such question: {method} {path}\"")
        }
        /// The filter can't be read.
        Filter(cause: String) {
            display("step=admin peer=operator cause={cause:?}")
        }
    }
}

/// A question to a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// How it stands.
    Status,
    /// The events that pass a filter.
    Timeline(Filter),
}

impl Query {
    /// Reads a question.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] for a path, method or filter that is not known.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::admin::{self, Query};
    /// use hyper::Method;
    ///
    /// let question = Query::read(&Method::GET, admin::STATUS_PATH, b"").unwrap();
    /// assert_eq!(question, Query::Status);
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

/// How a process stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Status {
    /// The process.
    pub vm: VmId,
    /// The failure domain it stands in.
    pub domain: DomainId,
    /// The state of its life cycle.
    pub state: String,
    /// Whether the platform's service answers it.
    pub platform: bool,
    /// How many other VMs it takes for live.
    pub peers: u64,
    /// The version in force of each service's document.
    pub documents: IndexMap<ServiceId, Version>,
    /// The duties it holds, as text.
    pub duties: Vec<String>,
    /// Callers' connections open.
    pub active: u64,
    /// Each service's measures since the process started.
    pub measures: IndexMap<ServiceId, Measures>,
    /// Every metric's reading.
    pub totals: IndexMap<String, i64>,
    /// The fleet, as seen here.
    pub members: Vec<membership::Update>,
    /// The groups, as known here.
    pub groups: IndexMap<GroupId, owners::GroupStatus>,
}

/// Writes an answer as JSON.
///
/// # Errors
///
/// Returns the error of a type that JSON can't hold.
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
