//! What a task asks for.

use crate::constants::{MAX_DEMAND, MAX_INTERNED_DEMANDS, MAX_UNITS};
use crate::definition::is_valid_name;
use crate::{Definitions, Name};
use rustc_hash::FxHashSet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Units of counts that one task takes, in the order of names. Cheap to clone: every
/// attempt carries one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Demand(Arc<[(Name, u32)]>);

/// A demand that makes no sense, whatever is defined.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DemandError {
    #[error("Counts names more than {MAX_DEMAND} counts")]
    TooManyCounts,
    #[error("Counts holds a name that no count can have")]
    InvalidName,
    #[error("Counts.{0} is out of range")]
    UnitsOutOfRange(Name),
}

/// A demand that can never be met.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnsatisfiableDemand {
    #[error("there is no count {0:?}")]
    Unknown(Name),
    #[error("needs {wanted} of count {count:?} at once, of which there are {units}")]
    TooFewUnits { count: Name, wanted: u64, units: u32 },
}

impl Demand {
    /// From a submission's names and units.
    ///
    /// # Errors
    /// Too many names, a name that no count can have, or units that are 0 or too many.
    pub fn new(asked: &BTreeMap<String, u64>) -> Result<Demand, DemandError> {
        if asked.len() > MAX_DEMAND {
            return Err(DemandError::TooManyCounts);
        }
        let mut entries = Vec::with_capacity(asked.len());
        for (name, units) in asked {
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

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Name, u32)> {
        self.0.iter().map(|(name, units)| (name, *units))
    }

    /// Units of a count that one task takes.
    pub fn units(&self, count: &str) -> u32 {
        self.0
            .iter()
            .find(|(name, _)| &**name == count)
            .map_or(0, |(_, units)| *units)
    }

    /// Whether so many tasks could ever hold their units at the same time.
    ///
    /// # Errors
    /// The first count that is not defined, or has too few units.
    pub fn check(&self, definitions: &Definitions, together: u64) -> Result<(), UnsatisfiableDemand> {
        for (name, units) in self.iter() {
            let Some(definition) = definitions.get(name) else {
                return Err(UnsatisfiableDemand::Unknown(name.clone()));
            };
            let wanted = u64::from(units) * together;
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

/// Equal demands as one: a pass reads those of thousands of jobs, and finds the few
/// different ones where it has just been.
#[derive(Debug, Clone, Default)]
pub struct DemandInterner(FxHashSet<Demand>);

impl DemandInterner {
    /// The same demand, shared with its equals.
    pub fn intern(&mut self, demand: Demand) -> Demand {
        if let Some(known) = self.0.get(&demand) {
            return known.clone();
        }
        if self.0.len() >= MAX_INTERNED_DEMANDS {
            // They live on with their jobs.
            self.0.clear();
        }
        self.0.insert(demand.clone());
        demand
    }
}

#[cfg(test)]
mod tests;
