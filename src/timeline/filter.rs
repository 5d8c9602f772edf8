//! Which events are asked for.

use serde::{Deserialize, Serialize};

use crate::{
    id::{RequestId, ServiceId, TargetId},
    key::Point,
    timeline::{event::Event, stamp::Stamp},
};

/// Which events are asked for; an empty filter passes all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Filter {
    /// The earliest stamp.
    pub since: Stamp,
    /// The service; events of no service pass.
    pub service: Option<ServiceId>,
    /// The key, as its point of the hash space.
    pub point: Option<Point>,
    /// The request.
    pub request: Option<RequestId>,
    /// The target.
    pub target: Option<TargetId>,
}

impl Filter {
    /// Returns whether an event passes.
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
        let same =
            |wanted: &Option<String>, found: &Option<String>| wanted.is_none() || wanted == found;
        let service = event.service.is_none() || same(&self.service, &event.service);
        let point = self.point.is_none_or(|point| event.concerns(point));
        event.stamp >= self.since
            && service
            && point
            && same(&self.request, &event.request)
            && same(&self.target, &event.target)
    }
}
