//! The site against which submit files are matched: kinds of machines with their ClassAds, teams,
//! and the operators' settings.

use crate::constants::{MAX_DECLARED_ATTRIBUTES, MIB_PER_GB};
use fixedbitset::FixedBitSet;
use indigopath_classad::{Ad, Name, Value};
use indigopath_counted_resources::Definitions;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The `condor { … }` block of the operators' settings.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CondorSettings {
    /// Team of submit files that name none.
    pub default_team: Option<String>,
    /// Class of the jobs of all submit files, unless a file sets `+JobClass`.
    pub default_class: Option<String>,
    /// Image of submit files that name none.
    pub default_image: Option<String>,
    /// Image size, in GB, unless a file sets `+ImageGb`.
    pub default_image_gb: f64,
    /// Attributes of machine types, by type, that the cloud does not report.
    #[serde(rename = "machine")]
    pub machines: BTreeMap<String, BTreeMap<String, DeclaredValue>>,
}

/// The value of a declared attribute.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum DeclaredValue {
    Bool(bool),
    Int(i64),
    Real(f64),
    Str(String),
    List(Vec<DeclaredValue>),
}

impl DeclaredValue {
    fn value(&self) -> Value {
        match self {
            DeclaredValue::Bool(value) => Value::Bool(*value),
            DeclaredValue::Int(value) => Value::Int(*value),
            DeclaredValue::Real(value) => Value::Real(*value),
            DeclaredValue::Str(text) => Value::from(text.as_str()),
            DeclaredValue::List(entries) => Value::List(entries.iter().map(DeclaredValue::value).collect()),
        }
    }
}

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field}: {problem}")]
pub struct CondorSettingsError {
    /// Path of the field, such as `condor.machine.g8.OpSys`.
    pub field: String,
    pub problem: String,
}

/// Attributes that every machine has.
pub const MACHINE_ATTRIBUTES: [&str; 7] = ["Cpus", "Gpus", "Memory", "MachineType", "Zone", "Spot", "Rate"];

/// Maximum image size in the settings, in GB.
const MAX_IMAGE_GB: f64 = 1e6;

impl CondorSettings {
    /// Validates the settings as far as is possible without the cloud. `is_team` returns whether a
    /// team exists.
    ///
    /// # Errors
    /// Returns the first invalid field and the reason.
    pub fn check(&self, is_team: impl Fn(&str) -> bool) -> Result<(), CondorSettingsError> {
        let invalid = |field: String, problem: &str| {
            Err(CondorSettingsError {
                field: format!("condor.{field}"),
                problem: problem.to_owned(),
            })
        };
        if self.default_team.as_deref().is_some_and(|team| !is_team(team)) {
            return invalid("default_team".to_owned(), "there is no such team");
        }
        for (field, value) in [
            ("default_class", &self.default_class),
            ("default_image", &self.default_image),
        ] {
            if value.as_deref() == Some("") {
                return invalid(field.to_owned(), "must not be empty");
            }
        }
        if !(0.0..=MAX_IMAGE_GB).contains(&self.default_image_gb) {
            return invalid("default_image_gb".to_owned(), "must be a size in GB");
        }
        for (machine, declared) in &self.machines {
            if declared.len() > MAX_DECLARED_ATTRIBUTES {
                return invalid(format!("machine.{machine}"), "declares too much");
            }
            let mut seen = BTreeSet::new();
            for name in declared.keys() {
                let field = format!("machine.{machine}.{name}");
                let is_plain = name
                    .bytes()
                    .all(|byte| byte.is_ascii_alphanumeric() || byte == b'_');
                if !is_plain || name.is_empty() {
                    return invalid(field, "a name has letters, digits and underscores");
                }
                if MACHINE_ATTRIBUTES
                    .iter()
                    .any(|known| known.eq_ignore_ascii_case(name))
                {
                    return invalid(field, "every machine has it, as the cloud says");
                }
                if !seen.insert(name.to_ascii_lowercase()) {
                    return invalid(field, "is declared more than once");
                }
            }
        }
        Ok(())
    }
}

/// A machine type offered by the cloud.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct MachineType {
    pub name: String,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    /// Price per hour.
    pub price: f64,
    /// Price per hour as a spot machine.
    pub spot_price: f64,
    pub zones: Vec<String>,
}

/// A team and its limits on concurrent use; 0 is no limit.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Team {
    pub name: String,
    pub cpus_max: f64,
    pub gpus_max: f64,
}

/// A kind of machine that can be rented: a type in a zone, spot or not.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineKind {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub ad: Ad,
    /// Indexes of its machine type and its zone.
    pub(crate) type_and_zone: (usize, usize),
}

impl std::fmt::Display for MachineKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let spot = if self.spot { "spot" } else { "ordinary" };
        write!(f, "{} {} {spot}", self.machine_type, self.zone)
    }
}

/// All kinds of machines, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct MachineKinds {
    all: Vec<MachineKind>,
    types: usize,
    zones: usize,
    attributes: BTreeSet<Name>,
}

impl MachineKinds {
    /// Creates the kinds of the machine types, in those of their zones that the site uses.
    pub fn new(types: &[MachineType], zones: &[String], settings: &CondorSettings) -> MachineKinds {
        let mut all = Vec::new();
        let mut attributes = BTreeSet::new();
        for (type_index, machine_type) in types.iter().enumerate() {
            for (zone_index, zone) in zones.iter().enumerate() {
                if !machine_type.zones.contains(zone) {
                    continue;
                }
                for spot in [false, true] {
                    let ad = machine_ad(machine_type, zone, spot, settings);
                    attributes.extend(ad.names().cloned());
                    all.push(MachineKind {
                        machine_type: machine_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                        cpus: machine_type.cpus,
                        gpus: machine_type.gpus,
                        memory_gb: machine_type.memory_gb,
                        ad,
                        type_and_zone: (type_index, zone_index),
                    });
                }
            }
        }
        all.sort_by_cached_key(ToString::to_string);
        MachineKinds {
            all,
            types: types.len(),
            zones: zones.len(),
            attributes,
        }
    }

    pub fn all(&self) -> &[MachineKind] {
        &self.all
    }

    /// Names of attributes that some machine has.
    pub fn attributes(&self) -> &BTreeSet<Name> {
        &self.attributes
    }

    /// Returns the kinds in a set.
    pub fn in_set<'k>(&'k self, set: &'k FixedBitSet) -> impl Iterator<Item = &'k MachineKind> {
        set.ones().filter_map(|index| self.all.get(index))
    }

    /// Returns the names of the kinds in a set.
    pub fn names_in_set(&self, set: &FixedBitSet) -> Vec<String> {
        self.in_set(set).map(ToString::to_string).collect()
    }

    /// Returns the number of a kind's equivalence class: kinds of one class do not differ in the
    /// attributes that an expression refers to. `zone` and `spot` say whether it refers to these.
    pub(crate) fn equivalence_class(&self, kind: &MachineKind, zone: bool, spot: bool) -> usize {
        let zone_index = if zone { kind.type_and_zone.1 } else { 0 };
        (kind.type_and_zone.0 * self.zones + zone_index) * 2 + usize::from(spot && kind.spot)
    }

    pub(crate) fn equivalence_class_count(&self) -> usize {
        self.types * self.zones * 2
    }
}

fn machine_ad(machine_type: &MachineType, zone: &str, spot: bool, settings: &CondorSettings) -> Ad {
    let mut ad = Ad::default();
    ad.set("Cpus", Value::number(machine_type.cpus));
    ad.set("Gpus", Value::number(machine_type.gpus));
    ad.set("Memory", Value::number(machine_type.memory_gb * MIB_PER_GB));
    ad.set("MachineType", Value::from(machine_type.name.as_str()));
    ad.set("Zone", Value::from(zone));
    ad.set("Spot", Value::Bool(spot));
    let price = if spot {
        machine_type.spot_price
    } else {
        machine_type.price
    };
    ad.set("Rate", Value::Real(price));
    let declared = settings.machines.get(&machine_type.name).into_iter().flatten();
    for (name, value) in declared {
        ad.set(name, value.value());
    }
    ad
}

/// A site in a file, for tests and experiments.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteFile {
    types: Vec<MachineType>,
    zones: Vec<String>,
    teams: Vec<Team>,
    counts: Definitions,
    condor: CondorSettings,
}

impl From<SiteFile> for Site {
    fn from(file: SiteFile) -> Site {
        Site {
            kinds: MachineKinds::new(&file.types, &file.zones, &file.condor),
            teams: file.teams,
            counts: file.counts,
            settings: file.condor,
        }
    }
}

/// Everything against which submit files are matched.
#[derive(Debug, Clone, Default)]
pub struct Site {
    pub kinds: MachineKinds,
    pub teams: Vec<Team>,
    pub counts: Definitions,
    pub settings: CondorSettings,
}
