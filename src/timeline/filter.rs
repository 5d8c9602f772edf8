//! The filter of a query for events.

use serde::{Deserialize, Serialize};

use crate::{
    id::{RequestId, ServiceId, TargetId},
    key::Point,
    timeline::{event::Event, stamp::Stamp},
};

/// Selects the events of a query; an empty filter passes all events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Filter {
    /// The earliest stamp.
    pub since: Stamp,
    /// The service; events without a service pass too.
    pub service: Option<ServiceId>,
    /// The key, as its point in the hash space.
    pub point: Option<Point>,
    /// The request.
    pub request: Option<RequestId>,
    /// The target.
    pub target: Option<TargetId>,
}

impl Filter {
    /// Returns whether an event meets all conditions.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::timeline::{Duty, Event, Filter, Kind};
    ///
    /// let filter = Filter {
    ///     target: Some("tracking-3".to_owned()),
    ///     ..Filter::default()
    /// };
    /// let event = Event::new(Duty::Grantor, "stop", Kind::GrantStopped);
    /// assert!(!filter.passes(&event));
    /// assert!(filter.passes(&event.target("tracking-3")));
    /// ```
    pub fn passes(&self, event: &Event) -> bool {
        let matches =
            |wanted: &Option<String>, found: &Option<String>| wanted.is_none() || wanted == found;
        let service = event.service.is_none() || matches(&self.service, &event.service);
        let point = self.point.is_none_or(|point| event.concerns(point));
        event.stamp >= self.since
            && service
            && point
            && matches(&self.request, &event.request)
            && matches(&self.target, &event.target)
    }
}
