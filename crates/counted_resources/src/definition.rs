//! Definitions of counted resources in the operators' settings.

use crate::Name;
use crate::constants::{MAX_COUNTS, MAX_LINGER_S, MAX_NAME, MAX_UNITS};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use thiserror::Error;

/// One `count "NAME" { … }` block of the operators' settings.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Definition {
    /// Number of units; with 0, no task that needs one starts.
    pub units: u32,
    /// How long, in s, a unit stays in use after an attempt that did not exit on its own: the
    /// licence server has not noticed yet that its client died.
    #[serde(default)]
    pub linger_s: f64,
    /// Units guaranteed to each team; other teams may borrow those that are unused.
    #[serde(default)]
    pub shares: BTreeMap<String, u32>,
    /// Licence server shared with other clients, polled for the units they hold.
    #[serde(default)]
    pub server: Option<SocketAddrV4>,
}

impl Definition {
    /// Creates a definition with this many units and no other settings.
    pub fn with_units(units: u32) -> Definition {
        Definition {
            units,
            linger_s: 0.0,
            shares: BTreeMap::new(),
            server: None,
        }
    }

    /// How long a unit lingers, in ms, including a margin for clock drift.
    pub fn linger_ms(&self) -> u64 {
        let ms = (self.linger_s * 1_000.0).ceil() as u64;
        ms + (ms * crate::constants::LINGER_DRIFT_PPM).div_ceil(1_000_000)
    }
}

/// All counted resources of a site, by name.
pub type Definitions = BTreeMap<Name, Definition>;

/// An invalid definition.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field}: {problem}")]
pub struct DefinitionError {
    /// Path of the field, such as `count.layout-optimiser.units`.
    pub field: String,
    /// Why its value is invalid.
    pub problem: String,
}

/// Validates all definitions; `is_team` tells whether a team exists.
///
/// # Errors
/// Returns the first invalid field and the reason.
pub fn check_definitions(
    definitions: &Definitions,
    is_team: impl Fn(&str) -> bool,
) -> Result<(), DefinitionError> {
    let invalid = |field: String, problem: String| Err(DefinitionError { field, problem });
    if definitions.len() > MAX_COUNTS {
        return invalid("count".to_owned(), format!("more than {MAX_COUNTS} are defined"));
    }
    for (name, definition) in definitions {
        let field = |part: &str| format!("count.{name}{part}");
        if !is_valid_name(name) {
            return invalid(
                field(""),
                format!("a name has 1 to {MAX_NAME} letters, digits, dots, dashes or underscores"),
            );
        }
        if definition.units > MAX_UNITS {
            return invalid(field(".units"), format!("must be at most {MAX_UNITS}"));
        }
        if !definition.linger_s.is_finite() || !(0.0..=MAX_LINGER_S).contains(&definition.linger_s) {
            return invalid(
                field(".linger_s"),
                format!(
                    "must be between 0 and {MAX_LINGER_S} s, is {}",
                    definition.linger_s
                ),
            );
        }
        if let Some(team) = definition.shares.keys().find(|team| !is_team(team)) {
            return invalid(
                field(&format!(".shares.{team}")),
                "there is no such team".to_owned(),
            );
        }
        let guaranteed: u64 = definition.shares.values().map(|share| u64::from(*share)).sum();
        if guaranteed > u64::from(definition.units) {
            return invalid(
                field(".shares"),
                format!(
                    "they add up to {guaranteed}, more than its {} units",
                    definition.units
                ),
            );
        }
    }
    Ok(())
}

/// Whether a text is a valid name of a counted resource.
pub fn is_valid_name(text: &str) -> bool {
    (1..=MAX_NAME).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"._-".contains(&byte))
}

#[cfg(test)]
mod tests;
