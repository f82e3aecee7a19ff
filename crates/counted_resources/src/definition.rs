//! What operators say of a count.

use crate::Name;
use crate::constants::{MAX_COUNTS, MAX_LINGER_S, MAX_NAME, MAX_UNITS};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use thiserror::Error;

/// One `count "NAME" { … }` of the operators' settings.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Definition {
    /// How many units there are; 0 lets nothing start.
    pub units: u32,
    /// For how long a unit stays taken, in s, after the end of an attempt that did not
    /// end by itself.
    #[serde(default)]
    pub linger_s: f64,
    /// Units that teams are guaranteed; what they do not use, others borrow.
    #[serde(default)]
    pub shares: BTreeMap<String, u32>,
    /// A licence server that others use too, asked for what they hold.
    #[serde(default)]
    pub server: Option<SocketAddrV4>,
}

impl Definition {
    /// A count of so many units and nothing else.
    pub fn with_units(units: u32) -> Definition {
        Definition {
            units,
            linger_s: 0.0,
            shares: BTreeMap::new(),
            server: None,
        }
    }

    /// For how long a unit lingers, in ms, with room for clocks that drift apart.
    pub fn linger_ms(&self) -> u64 {
        let ms = (self.linger_s * 1_000.0).ceil() as u64;
        ms + (ms * crate::constants::LINGER_DRIFT_PPM).div_ceil(1_000_000)
    }
}

/// All counts of a site, by name.
pub type Definitions = BTreeMap<Name, Definition>;

/// A definition that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field}: {problem}")]
pub struct DefinitionError {
    /// Path to the field, such as `count.layout-optimiser.units`.
    pub field: String,
    pub problem: String,
}

/// Checks all definitions; `is_team` says which teams there are.
///
/// # Errors
/// The first field that cannot be used, and why.
pub fn check_definitions(
    definitions: &Definitions,
    is_team: impl Fn(&str) -> bool,
) -> Result<(), DefinitionError> {
    let bad = |field: String, problem: String| Err(DefinitionError { field, problem });
    if definitions.len() > MAX_COUNTS {
        return bad("count".to_owned(), format!("more than {MAX_COUNTS} are defined"));
    }
    for (name, definition) in definitions {
        let field = |part: &str| format!("count.{name}{part}");
        if !is_valid_name(name) {
            return bad(
                field(""),
                format!("a name has 1 to {MAX_NAME} letters, digits, dots, dashes or underscores"),
            );
        }
        if definition.units > MAX_UNITS {
            return bad(field(".units"), format!("must be at most {MAX_UNITS}"));
        }
        if !definition.linger_s.is_finite() || !(0.0..=MAX_LINGER_S).contains(&definition.linger_s) {
            return bad(
                field(".linger_s"),
                format!(
                    "must be between 0 and {MAX_LINGER_S} s, is {}",
                    definition.linger_s
                ),
            );
        }
        if let Some(team) = definition.shares.keys().find(|team| !is_team(team)) {
            return bad(
                field(&format!(".shares.{team}")),
                "there is no such team".to_owned(),
            );
        }
        let shared: u64 = definition.shares.values().map(|share| u64::from(*share)).sum();
        if shared > u64::from(definition.units) {
            return bad(
                field(".shares"),
                format!(
                    "they add up to {shared}, more than its {} units",
                    definition.units
                ),
            );
        }
    }
    Ok(())
}

/// Whether a text may name a count.
pub fn is_valid_name(text: &str) -> bool {
    (1..=MAX_NAME).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"._-".contains(&byte))
}

#[cfg(test)]
mod tests;
