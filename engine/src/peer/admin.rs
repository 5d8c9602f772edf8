//! Answers operators' requests for a VM's status and for the timeline of its events.

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

/// The path of a VM's status.
pub const STATUS_PATH: &str = "/status";
/// The path of a VM's timeline; the query may be a stamp, and earlier events are then left out.
pub const TIMELINE_PATH: &str = "/timeline";

/// A summary of one service's owners record, as a VM knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RecordSummary {
    /// The term of the manager that wrote the record.
    pub term: Term,
    /// The number of key ranges.
    pub ranges: usize,
    /// The number of ranges with an owner.
    pub owned: usize,
}

/// The status of a VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The VM's name.
    pub vm: String,
    /// Identifies this start of its process.
    pub start: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it knows enough to serve callers.
    pub ready: bool,
    /// Whether the platform's store answers it.
    pub store: bool,
    /// The VM that it considers the manager.
    pub manager: Option<String>,
    /// Whether it is the manager.
    #[serde(rename = "leading")]
    pub is_manager: bool,
    /// The version of the configuration in force.
    pub version: Version,
    /// The number of announced targets, draining ones included.
    pub targets: usize,
    /// The number of draining targets.
    pub leaving: usize,
    /// Evacuated failure domains, with the time since this VM learned of the evacuation, in milliseconds.
    pub evacuated: IndexMap<DomainId, u64>,
    /// Targets that are cold or may be cold, with the remaining time, in milliseconds.
    pub cold: IndexMap<TargetId, u64>,
    /// The services with owners records.
    pub services: IndexMap<ServiceId, RecordSummary>,
    /// The VMs that it knows.
    pub vms: Vec<Vm>,
}

impl Status {
    /// Builds the status from this VM's view of the fleet.
    fn new(context: &Context, fleet: &Fleet) -> Self {
        let services = fleet.records.iter().map(|(name, recorded)| {
            let ranges = &recorded.record.ranges;
            let summary = RecordSummary {
                term: recorded.record.term,
                ranges: ranges.len(),
                owned: ranges.iter().filter(|range| range.owner.is_some()).count(),
            };
            (name.clone(), summary)
        });
        let now = context.clock.now();
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
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
            is_manager: context.is_manager.get(),
            version: fleet.config.as_ref().map_or(0, |it| it.version),
            targets: fleet.targets.len(),
            leaving: fleet
                .targets
                .values()
                .filter(|it| fleet.is_leaving(it))
                .count(),
            evacuated: evacuated.collect(),
            cold: cold.collect(),
            services: services.collect(),
            vms: fleet.vms.values().cloned().collect(),
        }
    }
}

/// Answers an operator's request.
pub(super) fn answer(context: &Context, request: &Request<Incoming>) -> Response<Body> {
    if request.method() != Method::GET {
        return super::refuse(StatusCode::METHOD_NOT_ALLOWED);
    }
    let uri = request.uri();
    match uri.path() {
        STATUS_PATH => encoded(&Status::new(context, &context.shared_fleet.get())),
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

fn encoded<T>(content: &T) -> Response<Body>
where
    T: Serialize,
{
    // Strings and numbers always encode.
    Response::new(Body::from(rmp_serde::to_vec(content).unwrap_or_default()))
}
