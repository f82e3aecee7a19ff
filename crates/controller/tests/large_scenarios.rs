//! Scenarios that take too long for CI. Run them with
//! `cargo test --release -p indigopath-controller --test large_scenarios -- --ignored`.

#[test]
#[ignore = "takes a minute in a release build, many in another"]
fn four_thousand_machines() {
    let text = include_str!("scenarios_large/four_thousand_machines.txt");
    if let Err(problems) = indigopath_simulator::run(text) {
        panic!("{problems}");
    }
}
