//! The meeting before all others: the state service refuses the leader alone, another node confirms
//! cancellations, then the service is down for all, longer than a cancellation may take, while
//! workers go on reporting to the old leader or to one that was elected in between. The stand-ins'
//! rule `ran_cancelled` counts from the first telling, by any node on any route.
//!
//! The timings of a kind are a fraction of a second apart, so that the outage meets every step of the
//! refusal, of the election and of the new leader's reading.

use indigopath_simulator::{run_variants, time_steps};

/// When the leader is refused, in s.
const REFUSED_S: f64 = 40.0;

const WORK: &str = "\
teams 200
at 1 submit wk-1 tasks=12 run=400 gpus=1
at 1 submit wk-2 shape=gang class=train tasks=3 run=400 gpus=2 checkpoint=20 save=4
at 1 submit wk-3 shape=daemon class=live tasks=3 gpus=2
at 1 submit wk-4 tasks=4 run=30 gpus=2
";

const JUDGED: &str = "\
until 240
expect wk-1 told cancelled
expect wk-2 told cancelled
expect wk-3 told cancelled
expect wk-4 told done
";

fn cancelled_at(seconds: f64) -> String {
    (1..4)
        .map(|job| format!("at {seconds} withdraw wk-{job}\n"))
        .collect()
}

/// Plays all; nothing may break.
fn play(kind: &str, ways: &[String]) {
    let ways: Vec<String> = ways.iter().map(|way| format!("{WORK}{way}{JUDGED}")).collect();
    let failed = run_variants(kind, &ways);
    assert!(failed == 0, "{kind}: {failed} of {} ways", ways.len());
}

// The leader is refused; the service is down from before its lease ends to after the next leader
// has read everything.
#[test]
fn refused_then_down_for_all() {
    let ways: Vec<String> = time_steps(1.0, 4.0, 0.05)
        .flat_map(|outage_s| {
            [0.05, 0.5, 1.5].map(|asked_s| {
                format!(
                    "at {REFUSED_S} refuse leader for=14\n{}at {} outage state for=74\n",
                    cancelled_at(REFUSED_S + asked_s),
                    REFUSED_S + outage_s
                )
            })
        })
        .collect();
    play("refused, then down", &ways);
}

// The next leader's reading takes long, as answers to it get lost, and the outage falls into it:
// its touches are answered all that time.
#[test]
fn down_while_the_next_leader_reads() {
    let ways: Vec<String> = time_steps(3.0, 9.0, 0.15)
        .flat_map(|outage_s| {
            [1, 3].map(|lost| {
                let page = format!("at {REFUSED_S} lose-answer /store?Under=j/&Limit=500\n");
                format!(
                    "at {REFUSED_S} refuse leader for=30\n{}{}at {} outage state for=74\n",
                    cancelled_at(REFUSED_S + 0.05),
                    page.repeat(lost),
                    REFUSED_S + outage_s
                )
            })
        })
        .collect();
    play("down while it reads", &ways);
}

// The service refuses the leader time and again, never for as long as its lease: its touches are
// answered in between, while the watch that was open waits on.
#[test]
fn refused_in_turns_then_down() {
    let ways: Vec<String> = time_steps(1.0, 5.0, 0.1)
        .flat_map(|outage_s| {
            [1.6, 2.0, 2.2].map(|for_s| {
                let refused: String = [0.0, 2.4, 4.8]
                    .map(|after| format!("at {} refuse leader? for={for_s}\n", REFUSED_S + after))
                    .concat();
                format!(
                    "{refused}{}at {} outage state for=74\n",
                    cancelled_at(REFUSED_S + 0.05),
                    REFUSED_S + outage_s
                )
            })
        })
        .collect();
    play("refused in turns, then down", &ways);
}

// The leader is too far behind; when it still read the records anew amid its term, the answers to that
// were lost, while its touches were answered and another node confirmed cancellations. It falls behind
// where its watch is refused just after one was answered, and the changes since are forgotten.
#[test]
fn read_anew_amid_a_term_then_down() {
    let ways: Vec<String> = time_steps(39.0, 39.2, 0.01)
        .flat_map(|refused_s| {
            [44.0, 48.0, 52.0, 55.0].map(|outage_s| {
                let page = "at 39.8 lose-answer /store?Under=j/&Limit=500\n";
                format!(
                    "at 39 submit wk-5 tasks=1 run=5\nat {refused_s} refuse leader for=1\n\
                     at 39.5 submit wk-6 tasks=1 run=5\nat 39.9 forget-changes\n{}{}\
                     at {outage_s} outage state for=74\n",
                    page.repeat(12),
                    cancelled_at(40.7),
                )
            })
        })
        .collect();
    play("read anew, then down", &ways);
}

// Each node as the one that confirms, and the first word of it on each route: the withdrawal itself, a
// question after a withdrawal whose answer was lost, and after one that was carried out late. Meanwhile
// machines hear no answers, stand still, or are fine.
#[test]
fn whoever_tells_first_and_on_whatever_route() {
    let ways: Vec<String> = (0..3)
        .flat_map(|node| {
            let lost = "at 40 lose-answer /multi:\"Put\":\"e/wk-1\"\n";
            let late = "at 40 late /multi:\"Put\":\"e/wk-1\" 0.6\n";
            ["", lost, late].into_iter().flat_map(move |told| {
                let deaf = "at 41 deaf share=0.5 for=60\n";
                let hung = "at 41 hang of:wk-1/0 for=25\nat 41 hang of:wk-3/0 for=25\n";
                ["", deaf, hung].into_iter().flat_map(move |machines| {
                    [1.5, 2.7, 3.1].into_iter().map(move |outage_s| {
                        let asked: String = time_steps(40.2, 40.0 + outage_s, 0.2)
                            .map(|at| format!("at {at} ask wk-1 node=n{}\n", (node + 1) % 3))
                            .collect();
                        let withdrawn: String = (1..4)
                            .map(|job| format!("at 40.1 withdraw wk-{job} node=n{node}\n"))
                            .collect();
                        format!(
                            "at {REFUSED_S} refuse leader for=14\n{told}{withdrawn}{asked}{machines}\
                             at {} outage state for=74\n",
                            REFUSED_S + outage_s
                        )
                    })
                })
            })
        })
        .collect();
    play("whoever tells first", &ways);
}

// Twice in a day, and a leader that is refused as an outage ends, after which the next one comes.
#[test]
fn twice_and_around_the_end_of_an_outage() {
    let ways: Vec<String> = time_steps(0.0, 3.0, 0.25)
        .flat_map(|after| {
            let twice = format!(
                "at {REFUSED_S} refuse leader for=14\n{}at {} outage state for=74\n\
                 at 160 submit wk-5 tasks=6 run=400 gpus=1\nat 185 refuse leader? for=14\n\
                 at 185.3 withdraw wk-5\nat {} outage state for=40\n",
                cancelled_at(REFUSED_S + 0.3),
                REFUSED_S + 1.5 + after,
                186.5 + after,
            );
            let ends = format!(
                "at 30 outage state for=10\nat 39.5 refuse leader? for=20\n{}at {} outage state for=74\n",
                cancelled_at(REFUSED_S + 0.1),
                REFUSED_S + 0.7 + after,
            );
            [twice, ends]
        })
        .collect();
    play("twice, and around the end", &ways);
}

// The leader loses the state service and its peers; it alone hears the workers of one zone, and the next
// leader alone those of the other, so that two leaders answer workers. Those of the cut one go back and
// forth once it ceases to answer. Jobs are cancelled through the new leader's side at any time meanwhile;
// the cloud is away, or their machines would be returned.
#[test]
fn workers_that_only_a_cut_leader_hears() {
    let ways: Vec<String> = [[0, 1, 2], [1, 0, 2], [2, 0, 1]]
        .into_iter()
        .flat_map(|[cut, one, other]| {
            [0.1, 2.8, 6.0, 12.0, 17.9, 19.0]
                .into_iter()
                .flat_map(move |asked_s| {
                    [("east", "west"), ("west", "east")].map(|(own, theirs)| {
                        format!(
                            "at 39 outage cloud for=72\nat {REFUSED_S} cut-off leader for=65\n\
                         at {REFUSED_S} cut zone:{own} n{one} for=70\n\
                         at {REFUSED_S} cut zone:{own} n{other} for=70\n\
                         at {REFUSED_S} cut zone:{theirs} n{cut} for=70\n{}",
                            cancelled_at(REFUSED_S + asked_s)
                        )
                    })
                })
        })
        .collect();
    play("heard by the cut leader alone", &ways);
}
