//! Random scenarios of overlapping faults with protection windows, team accounting and image locality in use
//! at once: protected replicas with large images, a flood of submissions from one team, batch tasks in spare
//! capacity, windows that open and close while the controllers' clocks differ, and two to five overlapping
//! faults, mostly within seconds of the start or end of a window. All rules of the simulator are checked. A
//! few seeds run by default. To run more, use
//! `PACKAGES_SEEDS=20000 cargo test --release -p indigopath-controller --test packages_seeds`
//! (`PACKAGES_FROM=5000` starts at that seed). The scenario of a failing seed is printed.

#[path = "generators/packages.rs"]
mod generator;

use generator::scenario;

/// Number of seeds that run by default, which takes a few seconds.
const SEEDS: u64 = 24;

#[test]
fn faults_with_windows_accounting_and_images_violate_no_rule() {
    let seeds = indigopath_simulator::run_seeds("PACKAGES", SEEDS, scenario, indigopath_simulator::run);
    assert!(
        seeds.failed.is_empty(),
        "of seeds {:?}, {:?} failed",
        seeds.played,
        seeds.failed
    );
}
