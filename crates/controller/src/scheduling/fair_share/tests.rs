use super::*;
use crate::settings::Settings;
use serde_json::json;

fn settings() -> Settings {
    Settings::parse(include_str!("../../../tests/support/settings.json")).unwrap()
}

/// A job that is `age_s` old.
fn job(id: &str, shape: &str, tasks: u32, age_s: u64, team: &str) -> Job {
    let spec = json!({
        "id": id, "class": shape, "team": team, "shape": shape, "priority": "standard",
        "tasks": tasks, "needs": { "cpus": 2.0, "gpus": 1.0, "memory_gb": 8.0 }, "image": "img",
        "image_gb": 1.0, "types": null, "zone": null, "one_zone": false, "spread": false,
        "spot": false, "estimate_s": 10.0, "checkpoint_s": 0.0, "save_s": 0.0,
        "deadline_s": null, "submitted_ms": 1_000_000 - age_s * 1_000
    });
    Job::new(serde_json::from_value(spec).unwrap(), 1, 0, 1_000_000)
}

fn share_of(jobs: Vec<Job>, running: &[(&str, u32, u32)], owner: &ShareOwner) -> Share {
    let jobs: BTreeMap<JobId, Job> = jobs.into_iter().map(|job| (job.spec.id.clone(), job)).collect();
    let counts = running
        .iter()
        .map(|(id, done, running)| (JobId(std::sync::Arc::from(*id)), (*done, *running)))
        .collect();
    let live = LiveDemand {
        jobs: &jobs,
        counts: &counts,
        short_of_units: BTreeSet::new(),
        deployment: &settings().deployment,
    };
    live_shares(SERVED_SHARE_AFTER_MS, &live, 0)
        .get(owner)
        .copied()
        .unwrap_or_default()
}

fn class(name: &str) -> ShareOwner {
    ShareOwner::Class(name.to_owned())
}

#[test]
fn each_shape_counts_served_tasks_by_its_rule() {
    let served_and_demanded = |shape: &str, done, running| {
        let share = share_of(
            vec![job("wk-1", shape, 4, 90, "blue")],
            &[("wk-1", done, running)],
            &class(shape),
        );
        (share.served, share.demanded)
    };
    assert_eq!(served_and_demanded("sweep", 1, 2), (3, 4));
    assert_eq!(served_and_demanded("daemon", 0, 3), (3, 4));
    assert_eq!(
        served_and_demanded("gang", 0, 3),
        (0, 4),
        "an incomplete gang is not served"
    );
    assert_eq!(served_and_demanded("gang", 0, 4), (4, 4));
}

#[test]
fn nothing_is_demanded_before_a_machine_could_be_up() {
    let share = share_of(vec![job("wk-1", "sweep", 4, 30, "blue")], &[], &class("sweep"));
    assert_eq!(share, Share::default());
    assert!(share.served_fraction() >= 1.0);
}

// A team that submits ten times its limit is fully served once it uses its limit.
#[test]
fn demand_is_capped_at_the_teams_limit() {
    let jobs = vec![
        job("wk-1", "sweep", 300, 90, "red"),
        job("wk-2", "sweep", 12, 80, "red"),
    ];
    // The limit is 16 GPUs, of which the younger job has 12.
    let share = share_of(jobs, &[("wk-2", 0, 12)], &ShareOwner::Team("red".into()));
    assert_eq!((share.served, share.demanded), (12, 16));
}

#[test]
fn a_low_share_is_warned_of_once_until_it_has_recovered() {
    let mut io = Io::new(&settings(), 1, 0, 0);
    let mut low = LowShare::default();
    let mut starved = StarvedOwners::default();
    let spec = job("wk-1", "sweep", 4, 90, "blue").spec;
    let (mut warned, mut recovered_at) = (0, None);
    for second in 0..400 {
        io.now = second * SECOND_MS;
        // It recovers briefly halfway, and permanently from second 200 on.
        let served = if (100..130).contains(&second) || second >= 200 {
            90
        } else {
            40
        };
        let share = Share {
            demanded: 100,
            served,
            short_of_units: 0,
        };
        let recovered = evaluate_share(&mut low, &class("sweep"), share, share, &mut starved, &mut io);
        warned += std::mem::take(&mut io.effects).len();
        if recovered {
            recovered_at = Some(second);
            break;
        }
        assert!(starved.is_starved(&spec));
        assert_eq!(starved.goes_first(&spec), served == 40, "at {second} s");
    }
    assert_eq!(warned, 1);
    assert_eq!(recovered_at, Some(200 + SERVED_RECOVERED_MS / SECOND_MS));
    assert!(!starved.is_starved(&spec));
}

#[test]
fn other_starts_earn_credits_and_starved_starts_use_them() {
    let mut starved = StarvedOwners::default();
    let own = job("wk-1", "sweep", 4, 90, "blue").spec;
    let other = job("wk-2", "gang", 4, 90, "blue").spec;
    starved.update(&class("sweep"), Some(true));
    for _ in 0..9 {
        starved.record_placement(&other);
    }
    assert_eq!(starved.credits(), 2);
    starved.record_placement(&own);
    assert_eq!(starved.credits(), 1);
    for _ in 0..3 {
        starved.record_placement(&own);
    }
    assert_eq!(starved.credits(), 0, "a gang used more credits than there were");
    starved.update(&class("sweep"), None);
    assert_eq!(starved.credits(), 0);
}
