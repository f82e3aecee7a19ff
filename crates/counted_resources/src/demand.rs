//! Units of counted resources that a task requests.

use crate::constants::{MAX_DEMAND, MAX_INTERNED_DEMANDS, MAX_UNITS};
use crate::definition::is_valid_name;
use crate::{Definitions, Name};
use rustc_hash::FxHashSet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Units that one task takes of each counted resource, ordered by name. Cheap to clone, because
/// every attempt holds one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Demand(Arc<[(Name, u32)]>);

/// A demand that is invalid regardless of the definitions.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DemandError {
    #[error("Counts names more than {MAX_DEMAND} counts")]
    TooManyCounts,
    #[error("Counts holds a name that no count can have")]
    InvalidName,
    #[error("Counts.{0} is out of range")]
    UnitsOutOfRange(Name),
}

/// A demand that can never be satisfied with the current definitions.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnsatisfiableDemand {
    #[error("there is no count {0:?}")]
    Unknown(Name),
    #[error("needs {wanted} of count {count:?} at once, of which there are {units}")]
    TooFewUnits { count: Name, wanted: u64, units: u32 },
}

impl Demand {
    /// Creates a demand from the names and units of a submission.
    ///
    /// # Errors
    /// Too many names, an invalid name, or units that are 0 or too many.
    pub fn new(requested: &BTreeMap<String, u64>) -> Result<Demand, DemandError> {
        if requested.len() > MAX_DEMAND {
            return Err(DemandError::TooManyCounts);
        }
        let mut entries = Vec::with_capacity(requested.len());
        for (name, units) in requested {
            if !is_valid_name(name) {
                return Err(DemandError::InvalidName);
            }
            let name: Name = Arc::from(name.as_str());
            match u32::try_from(*units) {
                Ok(units @ 1..=MAX_UNITS) => entries.push((name, units)),
                _ => return Err(DemandError::UnitsOutOfRange(name)),
            }
        }
        Ok(Demand(Arc::from(entries)))
    }

    /// Whether the task needs no counted resources.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Names and units, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, u32)> {
        self.0.iter().map(|(name, units)| (name, *units))
    }

    /// Units of one counted resource that a task takes.
    pub fn units(&self, count: &str) -> u32 {
        self.0
            .iter()
            .find(|(name, _)| &**name == count)
            .map_or(0, |(_, units)| *units)
    }

    /// Checks that this many tasks could hold their units at the same time.
    ///
    /// # Errors
    /// Returns the first counted resource that is undefined or has too few units.
    pub fn check(&self, definitions: &Definitions, concurrent_tasks: u64) -> Result<(), UnsatisfiableDemand> {
        for (name, units) in self.iter() {
            let Some(definition) = definitions.get(name) else {
                return Err(UnsatisfiableDemand::Unknown(name.clone()));
            };
            let wanted = u64::from(units) * concurrent_tasks;
            if wanted > u64::from(definition.units) {
                return Err(UnsatisfiableDemand::TooFewUnits {
                    count: name.clone(),
                    wanted,
                    units: definition.units,
                });
            }
        }
        Ok(())
    }
}

/// Interns equal demands. A scheduling pass reads the demands of thousands of jobs; sharing the
/// few distinct ones keeps them in the processor's cache.
#[derive(Debug, Clone, Default)]
pub struct DemandInterner(FxHashSet<Demand>);

impl DemandInterner {
    /// Returns a shared copy of an equal demand.
    pub fn intern(&mut self, demand: Demand) -> Demand {
        if let Some(known) = self.0.get(&demand) {
            return known.clone();
        }
        if self.0.len() >= MAX_INTERNED_DEMANDS {
            // Jobs keep references to the demands that are dropped here.
            self.0.clear();
        }
        self.0.insert(demand.clone());
        demand
    }
}

#[cfg(test)]
mod tests;
