//! The shortest time that a stream may take.

use std::time::Duration;

use celerypond_types::ServiceName;

use crate::{Target, Targets};

impl Targets {
    /// Returns the shortest time from the first event of a stream to its end; `None` if too little is
    /// known.
    ///
    /// The load: a burst fills the engines, so streams wait for their first event until their
    /// deadlines, and those that can no longer complete are given up. Short responses that are rare
    /// among long ones must not be judged by the length of these. So this is the shortest recent
    /// response at the fastest engine, and not more events than the request's maximum number of
    /// output tokens, as each event carries at least one.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::Targets;
    /// use celerypond_types::ServiceName;
    ///
    /// let writer = ServiceName::new("writer");
    /// assert_eq!(Targets::default().shortest_run(&writer, 1_000), None);
    /// ```
    pub fn shortest_run(&self, service: &ServiceName, max_output: u64) -> Option<Duration> {
        let shortest = self.history.shortest_response(service)?;
        let engines = self.iter().map(|(_, target)| target);
        let of_service = engines.filter(|target| target.entry.service == *service);
        let pace = |target: &Target| self.event_times().get(target.address_hash);
        let fastest = of_service.filter_map(pace).min_by(f32::total_cmp)?;
        let events = shortest.min(max_output as f64);
        Some(Duration::from_secs_f64(
            events * f64::from(fastest) / 1_000.0,
        ))
    }
}
