//! The route table: finds a request's route by host and longest path prefix, and splits routes among services.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Kind, ServiceId};

/// A service and its weight within a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceWeight {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// The services for requests under one path prefix, with their time limits and priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// The route's name, for logs.
    pub name: String,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub kind: Kind,
    /// The services with their weights; never empty.
    #[serde(rename = "shares")]
    pub service_weights: Vec<ServiceWeight>,
    /// The maximum time within which a caller gets a response.
    pub timeout: Duration,
    /// The latency objective: a response within this time has the highest value.
    pub goal: Duration,
    /// The maximum number of targets to which one request is sent.
    pub attempts: u32,
    /// The priority; 0 is the highest.
    pub priority: u32,
}

impl Route {
    /// Picks a service by a random number that is uniform over all of `u64`.
    ///
    /// A service of weight zero is never picked, unless all weights are zero: then the first service is.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::catalogue::{Kind, Route, ServiceWeight};
    ///
    /// let weight_of = |service: &str, weight| ServiceWeight { service: service.into(), weight };
    /// let route = Route {
    ///     name: "r".into(),
    ///     prefix: "/a/".into(),
    ///     kind: Kind::Idempotent,
    ///     service_weights: vec![weight_of("x", 90), weight_of("y", 10)],
    ///     timeout: Duration::from_secs(1),
    ///     goal: Duration::from_millis(200),
    ///     attempts: 2,
    ///     priority: 0,
    /// };
    /// assert_eq!(route.pick_service(0), "x");
    /// assert_eq!(route.pick_service(u64::MAX), "y");
    /// ```
    pub fn pick_service(&self, random: u64) -> &str {
        let total: u64 = self
            .service_weights
            .iter()
            .map(|it| u64::from(it.weight))
            .sum();
        let scaled = u128::from(random) * u128::from(total.max(1));
        let mut offset = u64::try_from(scaled >> 64).unwrap_or(0);
        for candidate in &self.service_weights {
            let weight = u64::from(candidate.weight);
            if offset < weight {
                return &candidate.service;
            }
            offset -= weight;
        }
        self.service_weights.first().map_or("", |it| &it.service)
    }
}

/// The result of a look-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found<'a> {
    /// The route of the longest prefix.
    Route(&'a Route),
    /// No route of this configuration matches.
    Nothing,
}

/// All routes, by host and then by prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes {
    hosts: IndexMap<String, IndexMap<String, Route>>,
}

impl Routes {
    /// Adds a route; a route of the same host and prefix is replaced.
    ///
    /// # Example
    ///
    /// See [`Routes::find`].
    pub fn add(&mut self, host: &str, route: Route) {
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        routes.insert(route.prefix.clone(), route);
    }

    /// Returns the number of routes.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::catalogue::Routes;
    ///
    /// assert_eq!(Routes::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.hosts.values().map(IndexMap::len).sum()
    }

    /// Returns whether there are no routes.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::catalogue::Routes;
    ///
    /// assert!(Routes::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Finds the route with the longest matching prefix, in at most one look-up per slash of the path.
    ///
    /// A port in `host` and the case of its letters are ignored.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::catalogue::{Found, Routes};
    ///
    /// assert_eq!(Routes::default().find("a.example", "/x/"), Found::Nothing);
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Found<'_> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let known = self.hosts.get(name);
        let Some(routes) = known.or_else(|| self.hosts.get(&name.to_ascii_lowercase())) else {
            return Found::Nothing;
        };
        let slashes = path.rmatch_indices('/').map(|(at, _)| at);
        let mut prefixes = slashes.map(|at| &path[..=at]);
        let route = prefixes.find_map(|prefix| routes.get(prefix));
        route.map_or(Found::Nothing, Found::Route)
    }
}
