//! Zones with all that lies in them: `cut area:west * for=45` cuts a zone's machines and its controllers
//! off from everything else, and not from each other; state service, cloud and users lie in no zone.
//! `area:leader` is the leader's own zone, and nothing while nobody leads.

use crate::simulation::Simulation;

/// Zones of the controllers, as the settings name them.
const NODE_ZONES: [&str; 3] = ["east", "west", "east"];

/// The area in which this controller is; of none, an area in which nothing is.
pub(crate) fn area_of_node(index: Option<usize>) -> String {
    format!("area:{}", index.map_or("", |index| NODE_ZONES[index]))
}

impl Simulation {
    /// Whether what one host sends another leaves an area or enters it.
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
