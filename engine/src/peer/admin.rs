//! What operators ask a VM: how it stands, and what it did.

use std::time::Duration;

use bramleypier_util::{body::Body, stamp::Stamp};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::sync::Context;
use crate::{
    catalogue::{DomainId, ServiceId, TargetId, Version},
    fleet::{Fleet, Vm},
    owner::record::Term,
};

/// The path that tells how a VM stands.
pub const STATUS_PATH: &str = "/status";
/// The path that tells what a VM did; a stamp may follow as the query.
pub const TIMELINE_PATH: &str = "/timeline";

/// Who owns the keys of one service, as a VM knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Owned {
    /// The manager's turn.
    pub term: Term,
    /// How many ranges there are.
    pub ranges: usize,
    /// How many of them have an owner.
    pub owned: usize,
}

/// How a VM stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The VM.
    pub vm: String,
    /// This start of its process.
    pub start: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it knows enough to serve callers.
    pub ready: bool,
    /// Whether the platform's store answers it.
    pub store: bool,
    /// The VM that it takes for the manager.
    pub manager: Option<String>,
    /// Whether it is the manager itself.
    pub leading: bool,
    /// The version of the configuration in force.
    pub version: Version,
    /// How many targets are announced, those that leave among them.
    pub targets: usize,
    /// How many of them leave.
    pub leaving: usize,
    /// Evacuated failure domains, with the time for which that has been known, in milliseconds.
    pub evacuated: IndexMap<DomainId, u64>,
    /// Targets that are cold, or may be, with the time left, in milliseconds.
    pub cold: IndexMap<TargetId, u64>,
    /// The services with owners.
    pub services: IndexMap<ServiceId, Owned>,
    /// The VMs that it knows.
    pub vms: Vec<Vm>,
}

impl Status {
    /// Tells how a VM stands that believes this of the fleet.
    fn of(context: &Context, fleet: &Fleet) -> Self {
        let services = fleet.records.iter().map(|(name, recorded)| {
            let parts = &recorded.record.ranges;
            let owned = Owned {
                term: recorded.record.term,
                ranges: parts.len(),
                owned: parts.iter().filter(|part| part.owner.is_some()).count(),
            };
            (name.clone(), owned)
        });
        let now = context.clock.now();
        let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        let evacuated = fleet.evacuated.iter();
        let evacuated =
            evacuated.map(|(domain, since)| (domain.clone(), millis(now.saturating_sub(*since))));
        let cold = fleet.cold.iter().filter(|(_, until)| now < **until);
        let cold = cold.map(|(id, until)| (id.clone(), millis(until.saturating_sub(now))));
        Self {
            vm: context.vm.name.clone(),
            start: context.vm.start.clone(),
            domain: context.vm.domain.clone(),
            ready: fleet.is_ready(),
            store: context.store_health.is_healthy(),
            manager: fleet.manager.as_ref().map(|vm| vm.name.clone()),
            leading: context.leading.get(),
            version: fleet.config.as_ref().map_or(0, |it| it.version),
            targets: fleet.targets.len(),
            leaving: fleet.targets.values().filter(|it| it.leaving).count(),
            evacuated: evacuated.collect(),
            cold: cold.collect(),
            services: services.collect(),
            vms: fleet.vms.values().cloned().collect(),
        }
    }
}

/// Answers an operator's question.
pub(super) fn answer(context: &Context, request: &Request<Incoming>) -> Response<Body> {
    if request.method() != Method::GET {
        return super::refuse(StatusCode::METHOD_NOT_ALLOWED);
    }
    let uri = request.uri();
    match uri.path() {
        STATUS_PATH => encoded(&Status::of(context, &context.shared_fleet.get())),
        TIMELINE_PATH => {
            let since: Option<Stamp> = uri.query().map_or(Some(0), |it| it.parse().ok());
            match since {
                Some(since) => encoded(&context.report.events_since(&context.vm.name, since)),
                None => super::refuse(StatusCode::BAD_REQUEST),
            }
        }
        _ => super::refuse(StatusCode::NOT_FOUND),
    }
}

fn encoded<T>(answer: &T) -> Response<Body>
where
    T: Serialize,
{
    // Text and numbers always encode.
    Response::new(Body::from(rmp_serde::to_vec(answer).unwrap_or_default()))
}
