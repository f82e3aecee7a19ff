use super::*;
use indigopath_counted_resources::{Definition, Definitions, Demand, Linger, UnitLedger};
use std::collections::BTreeMap;
use std::sync::Arc;

fn held(number: u64) -> HeldUnits {
    HeldUnits {
        units: 2,
        task: TaskId::parse("wk-1/0").unwrap(),
        number,
        machine: MachineId(Arc::from("m-1")),
        inherited: true,
        state: "uncertain",
    }
}

/// Formats an oversubscription of a resource with one unit, of which two are held, with these
/// details.
fn report(attempts: Vec<HeldUnits>, lingers: Vec<LingeringUnits>, server: Option<UsageReport>) -> String {
    let definitions = Definitions::from([(Arc::from("seat"), Definition::with_units(1))]);
    let seats = Demand::new(&BTreeMap::from([("seat".to_owned(), 2)])).unwrap();
    let mut unit_ledger = UnitLedger::new(&definitions);
    unit_ledger.hold("red", &seats, 1.0, false);
    let pool = unit_ledger.get("seat").unwrap();
    Oversubscription::new(pool, attempts, lingers, server).to_string()
}

#[test]
fn lists_every_holder_of_an_oversubscribed_count() {
    let linger = Linger {
        count: Arc::from("seat"),
        team: Arc::from("red"),
        units: 3,
        until: 1_700,
    };
    let entry = ShardLinger {
        shard: 4,
        inherited: false,
        linger: &linger,
    };
    let mut feed = UsageFeed::default();
    assert!(feed.start_poll(500));
    feed.record_answer(Ok(indigopath_counted_resources::Usage {
        total: 9,
        in_use: 5,
        seats: vec![("m-1".to_owned(), 2), ("m-9".to_owned(), 2), (String::new(), 1)],
    }));
    let server = UsageReport::of(&feed, |host| host == "m-1", 1_000);
    let lingers = vec![LingeringUnits::of(&entry, 1_000)];
    assert_eq!(
        report(vec![held(7)], lingers, server),
        "count=seat units=1 held=2 lingering=0 others=0 \
         attempts=[wk-1/0 units=2 machine=m-1 attempt=7 inherited=true state=uncertain] \
         lingers=[shard=4 units=3 inherited=false left_ms=700] \
         server_age_ms=500 in_use=5 outside=[m-9 units=2; reservation units=1]"
    );
}

#[test]
fn long_lists_are_truncated_with_the_number_omitted() {
    let parts = OVERSUBSCRIPTION_PARTS_LOGGED as u64 + 3;
    let text = report((0..parts).map(held).collect(), Vec::new(), None);
    assert!(text.contains(&format!("attempt={}", OVERSUBSCRIPTION_PARTS_LOGGED - 1)));
    assert!(!text.contains(&format!("attempt={OVERSUBSCRIPTION_PARTS_LOGGED} ")));
    assert!(text.ends_with("; 3 more] lingers=[]"), "{text}");
}
