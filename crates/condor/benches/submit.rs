//! Measures the parsing of a file with 100,000 procs, and the matching of 10,000 different
//! requirements with 40 kinds of machines. The limits are 1 s and 100 ms.

use criterion::{Criterion, criterion_group, criterion_main};
use indigopath_condor::{
    CondorSettings, DeclaredValue, MachineKinds, MachineType, PathKind, Site, Submission, SubmitEnvironment,
    Verdict, match_submission, read,
};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

const PROCS: usize = 100_000;
const REQUIREMENTS: usize = 10_000;
/// Machine types, each in two zones and both spot and ordinary: 40 kinds.
const TYPES: usize = 10;

struct NoFiles;

impl SubmitEnvironment for NoFiles {
    fn read_file(&self, path: &str) -> Result<String, String> {
        Err(format!("there is no {path}"))
    }

    fn matching_paths(&self, _: &str, _: PathKind) -> Result<Vec<String>, String> {
        Ok(Vec::new())
    }

    fn env_var(&self, _: &str) -> Option<String> {
        None
    }
}

fn site() -> Site {
    let types: Vec<MachineType> = (0..TYPES)
        .map(|number| MachineType {
            name: format!("t{number}"),
            cpus: 8.0 * (number + 1) as f64,
            gpus: (number % 5) as f64 * 2.0,
            memory_gb: 32.0 * (number + 1) as f64,
            price: 1.0 + number as f64,
            spot_price: 0.3 + 0.3 * number as f64,
            zones: vec!["a".to_owned(), "b".to_owned()],
        })
        .collect();
    let declared = BTreeMap::from([
        ("OpSys".to_owned(), DeclaredValue::Str("LINUX".to_owned())),
        ("Arch".to_owned(), DeclaredValue::Str("X86_64".to_owned())),
    ]);
    let settings = CondorSettings {
        default_team: Some("vision".to_owned()),
        default_image: Some("scan:1".to_owned()),
        machines: types
            .iter()
            .map(|known| (known.name.clone(), declared.clone()))
            .collect(),
        ..CondorSettings::default()
    };
    Site {
        kinds: MachineKinds::new(&types, &["a".to_owned(), "b".to_owned()], &settings),
        settings,
        ..Site::default()
    }
}

fn many_procs() -> String {
    let mut text = String::from(
        "executable = clean.sh\narguments = --page $(page) --book $(book) --out $Fn(page).$(Process).png\n\
         output = out/$(Cluster).$(Process).txt\nrequest_memory = 2 GB\n\
         requirements = OpSys == \"LINUX\" && Cpus >= 8\nqueue page, book from (\n",
    );
    for number in 0..PROCS {
        let _ = writeln!(text, "scans/page-{number:06}.tif volume-{}", number % 97);
    }
    text.push_str(")\n");
    text
}

/// As in real files, some requirements depend on the zone or the price and most do not.
fn many_requirements() -> String {
    let mut text = String::from("requirements = $(wanted)\nqueue wanted from (\n");
    for number in 0..REQUIREMENTS {
        let memory = 1_024 + number * 7;
        let _ = match number % 4 {
            0 => writeln!(text, "(OpSys == \"LINUX\") && (Memory >= {memory})"),
            1 => writeln!(text, "TARGET.Arch == \"X86_64\" && Cpus > 8 && Memory > {memory}"),
            2 => writeln!(
                text,
                "Gpus >= 2 && Rate < {}.5 && Memory > {}",
                number % 9,
                number
            ),
            _ => writeln!(
                text,
                "Zone == \"a\" && regexp(\"^t[0-9]$\", MachineType) && Memory > {number}"
            ),
        };
    }
    text.push_str(")\n");
    text
}

fn parse_file(text: &str) -> Submission {
    read(text, "bench.sub", 1, 0, &NoFiles).expect("a submit file")
}

/// Returns the shortest of five runs, in ms.
fn best_ms(mut run: impl FnMut()) -> f64 {
    let times = (0..5).map(|_| {
        let started_at = Instant::now();
        run();
        started_at.elapsed().as_secs_f64() * 1_000.0
    });
    times.fold(f64::INFINITY, f64::min)
}

fn bench_submit(criterion: &mut Criterion) {
    let site = site();
    assert_eq!(site.kinds.all().len(), 40);
    let (procs, requirements) = (many_procs(), many_requirements());
    let submission = parse_file(&procs);
    let results = match_submission(&submission, 1, 0, &site);
    assert_eq!((submission.procs(), results.outcomes.len()), (PROCS, 1));
    let different_requirements = parse_file(&requirements);
    let results = match_submission(&different_requirements, 1, 0, &site);
    assert_eq!(results.outcomes.len(), REQUIREMENTS);
    let matching = results
        .outcomes
        .iter()
        .filter(|outcome| outcome.verdict == Verdict::Match);
    println!(
        "{} of {REQUIREMENTS} requirements match something",
        matching.count()
    );
    println!(
        "{PROCS} procs read in {:.0} ms (bar 1000), judged in {:.1} ms; {REQUIREMENTS} requirements against 40 kinds \
         in {:.1} ms (bar 100)",
        best_ms(|| drop(black_box(parse_file(&procs)))),
        best_ms(|| drop(black_box(match_submission(&submission, 1, 0, &site)))),
        best_ms(|| drop(black_box(match_submission(&different_requirements, 1, 0, &site)))),
    );
    criterion.bench_function("read 100,000 procs", |bench| {
        bench.iter(|| parse_file(black_box(&procs)))
    });
    criterion.bench_function("judge 10,000 requirements", |bench| {
        bench.iter(|| match_submission(black_box(&different_requirements), 1, 0, &site));
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20);
    targets = bench_submit
}
criterion_main!(benches);
