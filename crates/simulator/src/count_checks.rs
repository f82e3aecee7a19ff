//! What the leader says of counted resources, held against the seats that tasks really have.

use crate::simulation::Simulation;
use indigopath_counted_resources::status::CountStatus;

/// Interval, in ms, at which the leader's counts are compared: its own look at them comes every 2 s,
/// and what a take-over leaves wrong may pass within one report.
pub(crate) const COUNTS_STEP_MS: u64 = 100;

impl Simulation {
    /// The leader never says that fewer units are taken than tasks have seats, dead ones included; and
    /// never that more are taken than there are, unless operators changed their number or users outside
    /// took some.
    pub(crate) fn check_counts(&mut self) {
        for status in self.leader_counts().unwrap_or_default() {
            let Some(feature) = self.licences.features.get(&status.name) else {
                continue;
            };
            let own = u64::from(status.held) + u64::from(status.lingering);
            let really = u64::from(feature.task_units());
            let units = u64::from(feature.total);
            let changed = status.units != Some(feature.total) || feature.was_changed_externally;
            let said = description(&status);
            if own < really {
                self.miscounted("undercounted", format!("{said}; tasks have {really}"));
            } else if !changed && own + u64::from(status.others) > units {
                self.miscounted("overcounted", format!("{said}; tasks have {really}"));
            }
        }
    }

    /// One violation a rule: what lasts would else hide what other rules find.
    fn miscounted(&mut self, rule: &'static str, what: String) {
        if !self.broken.iter().any(|line| line.starts_with(rule)) {
            self.violation(rule, what);
        }
    }

    /// Operators gave some count another number of units than its licence server has.
    pub(crate) fn note_redefined_counts(&mut self) {
        for (name, feature) in &mut self.licences.features {
            let definition = self.operator.counted_resources.get(name.as_str());
            feature.was_changed_externally |=
                definition.is_none_or(|definition| definition.units != feature.total);
        }
    }

    /// What the leader says of all counts, if it is awake and has read its records.
    fn leader_counts(&self) -> Option<Vec<CountStatus>> {
        let controller = &self.nodes[self.leader()?];
        if self.now < controller.frozen_until.max(controller.stalls_until) {
            return None;
        }
        controller.node.as_ref()?.counted_resource_status()
    }
}

/// The sums that are compared.
fn description(status: &CountStatus) -> String {
    let CountStatus {
        name,
        usable,
        held,
        lingering,
        others,
        ..
    } = status;
    format!("{name}: {held} held, {lingering} linger, {others} are others', of {usable}")
}
