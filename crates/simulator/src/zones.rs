//! Cuts around whole zones: `cut area:west * for=45` separates a zone's machines and controllers
//! from everything else, but not from each other. The state service, the cloud and users are in no
//! zone. `area:leader` is the leader's zone, and empty while there is no leader.

use crate::simulation::Simulation;

/// Zone of each controller, as in the settings.
const NODE_ZONES: [&str; 3] = ["east", "west", "east"];

/// The area of this controller; without one, an empty area.
pub(crate) fn area_of_node(index: Option<usize>) -> String {
    format!("area:{}", index.map_or("", |index| NODE_ZONES[index]))
}

impl Simulation {
    /// Whether a message between two hosts crosses the boundary of an area.
    pub(crate) fn crosses_area(&self, area: &str, from: &str, to: &str) -> bool {
        let Some(zone) = area.strip_prefix("area:") else {
            return false;
        };
        let within = |host: &str| match host.strip_prefix('n').and_then(|own| own.parse::<usize>().ok()) {
            Some(index) => NODE_ZONES.get(index) == Some(&zone),
            None => self.workers.get(host).is_some_and(|worker| worker.zone == zone),
        };
        within(from) != within(to)
    }
}
