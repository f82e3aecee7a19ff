//! HTCondor submit files on this core: what they are held against, and the jobs that they
//! become.

use crate::settings::Deployment;
use crate::wire::MachineType;
use indigopath_condor::{CondorSettings, Kinds, Site, Team};
use indigopath_counts::Definitions;

/// The site as submit files see it.
pub fn site(
    deployment: &Deployment,
    types: &[MachineType],
    counts: &Definitions,
    settings: &CondorSettings,
) -> Site {
    let types: Vec<indigopath_condor::MachineType> = types
        .iter()
        .map(|machine_type| indigopath_condor::MachineType {
            name: machine_type.name.clone(),
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
            price: machine_type.price,
            spot_price: machine_type.spot_price,
            zones: machine_type.zones.clone(),
        })
        .collect();
    let teams = deployment.teams.iter().map(|team| Team {
        name: team.name.clone(),
        cpus_max: team.cpus_max,
        gpus_max: team.gpus_max,
    });
    Site {
        kinds: Kinds::new(&types, &deployment.zones, settings),
        teams: teams.collect(),
        counts: counts.clone(),
        settings: settings.clone(),
    }
}
