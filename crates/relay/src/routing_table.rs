//! Lookup of routes, accounts and services in a configuration.

use std::collections::{BTreeSet, HashMap};

use celerypond_types::ServiceName;
use smol_str::SmolStr;

use crate::{Account, Config, Denied, Route, Service, Urgency};

/// A configuration, indexed by host, key and service.
///
/// # Examples
///
/// ```
/// use celerypond_relay::{Config, Denied, RoutingTable};
///
/// let table = RoutingTable::new(Config::default());
/// assert_eq!(table.resolve("a.example", "/x/1", None).unwrap_err(), Denied::NoRoute);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    config: Config,
    /// Routes by host, those with the longest prefix first.
    hosts: HashMap<SmolStr, Vec<usize>>,
    keys: HashMap<SmolStr, usize>,
    services: HashMap<ServiceName, usize>,
    /// The ranks of requests to each service whose routes differ in priority, most urgent first.
    ranks: HashMap<ServiceName, Vec<Rank>>,
}

/// The order of a service's requests: the priority of the account takes precedence over that of the
/// route. Requests without an account, or whose account has no priority, have their route's.
type Rank = (u8, u8);

fn rank(route: &Route, account: Option<&Account>) -> Rank {
    let account = account.and_then(|account| account.priority);
    (account.unwrap_or(route.priority), route.priority)
}

/// Returns the ranks of requests to services with engines whose routes differ in priority.
fn ranks(config: &Config) -> HashMap<ServiceName, Vec<Rank>> {
    let engines = config.services.iter();
    let engines = engines.filter(|service| service.engine.is_some());
    let mut ranks = HashMap::new();
    for service in engines {
        let leads_here = |route: &&Route| {
            let mut backends = route.backends.iter();
            backends.any(|backend| backend.service == service.name)
        };
        let routes: Vec<&Route> = config.routes.iter().filter(leads_here).collect();
        let priorities: BTreeSet<u8> = routes.iter().map(|route| route.priority).collect();
        if priorities.len() < 2 {
            continue;
        }
        let of_route = |route: &&Route| {
            let accounts = config.accounts.iter().map(Some).chain([None]);
            let ranks = accounts.map(|account| rank(route, account));
            ranks.collect::<Vec<Rank>>()
        };
        let all: BTreeSet<Rank> = routes.iter().flat_map(of_route).collect();
        ranks.insert(service.name.clone(), all.into_iter().collect());
    }
    ranks
}

impl RoutingTable {
    /// Indexes a configuration.
    pub fn new(config: Config) -> Self {
        let mut hosts: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (at, route) in config.routes.iter().enumerate() {
            let host = SmolStr::new(route.host.to_ascii_lowercase());
            hosts.entry(host).or_default().push(at);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|at| std::cmp::Reverse(config.routes[*at].prefix.len()));
        }
        let accounts = config.accounts.iter().enumerate();
        let keys = accounts
            .flat_map(|(at, account)| account.keys.iter().map(move |key| (key.clone(), at)))
            .collect();
        let services = config.services.iter().enumerate();
        let services = services
            .map(|(at, service)| (service.name.clone(), at))
            .collect();
        Self {
            ranks: ranks(&config),
            config,
            hosts,
            keys,
            services,
        }
    }

    /// Returns the configuration.
    pub const fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name).map(|at| &self.config.services[*at])
    }

    /// Returns the urgency of a request to a service; `None` if the routes to the service do not
    /// differ in priority, or if it has no engines.
    pub fn urgency(
        &self,
        service: &ServiceName,
        route: &Route,
        account: Option<&Account>,
    ) -> Option<Urgency> {
        let ranks = self.ranks.get(service)?;
        let rank = rank(route, account);
        Some(Urgency::new(ranks.partition_point(|other| *other < rank)))
    }

    /// Returns the service with engines if there is exactly one.
    pub fn only_engine_service(&self) -> Option<&Service> {
        let services = self.config.services.iter();
        let mut engines = services.filter(|service| service.engine.is_some());
        let only = engines.next()?;
        engines.next().is_none().then_some(only)
    }

    /// Returns the route of a request and the account that it belongs to.
    ///
    /// # Errors
    ///
    /// The reason for which the configuration denies the request.
    pub fn resolve(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Route, Option<&Account>), Denied> {
        let route = self.route(host, path).ok_or(Denied::NoRoute)?;
        let account = key.and_then(|key| self.keys.get(key));
        let account = account.map(|at| &self.config.accounts[*at]);
        let needs_key = !route.anonymous && !self.config.accounts.is_empty();
        if needs_key && account.is_none() {
            return Err(Denied::UnknownKey);
        }
        Ok((route, account))
    }

    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        let routes = routes.iter().map(|at| &self.config.routes[*at]);
        routes
            .into_iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }
}
