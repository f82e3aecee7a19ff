//! Compares the leader's usage of counted resources with the units that tasks actually hold.

use crate::simulation::Simulation;
use indigopath_counted_resources::status::CountStatus;

/// Interval of the comparison, in ms: the leader updates its usage every 2 s, and an error left by a
/// failover may last only for one heartbeat interval.
pub(crate) const COUNT_CHECK_INTERVAL_MS: u64 = 100;

impl Simulation {
    /// Checks that the leader never reports fewer units in use than tasks hold, including units of
    /// dead tasks, and never more than exist, unless operators changed their number or external
    /// users took some.
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
                self.count_violation("undercounted", format!("{said}; tasks have {really}"));
            } else if !changed && own + u64::from(status.others) > units {
                self.count_violation("overcounted", format!("{said}; tasks have {really}"));
            }
        }
    }

    /// Records one violation for each rule: a lasting one would hide the findings of other rules.
    fn count_violation(&mut self, rule: &'static str, what: String) {
        if !self.violations.iter().any(|line| line.starts_with(rule)) {
            self.violation(rule, what);
        }
    }

    /// Notes counted resources whose number of units operators set differently from the licence
    /// server's.
    pub(crate) fn record_redefined_counts(&mut self) {
        for (name, feature) in &mut self.licences.features {
            let definition = self.operator.counted_resources.get(name.as_str());
            feature.was_changed_externally |=
                definition.is_none_or(|definition| definition.units != feature.total);
        }
    }

    /// The leader's status of all counted resources, if it is not stalled and has read its records.
    fn leader_counts(&self) -> Option<Vec<CountStatus>> {
        let controller = &self.nodes[self.leader()?];
        if self.now < controller.frozen_until.max(controller.stalled_until) {
            return None;
        }
        controller.node.as_ref()?.counted_resource_status()
    }
}

/// Describes the numbers that are compared.
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
