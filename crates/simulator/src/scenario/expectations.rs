//! Evaluates the expectations of a scenario that has run to its end.

use super::script::{Expectations, number};
use crate::response_checks;
use crate::simulation::{ObservedJob, Simulation};
use indigopath_controller::protocol::TaskState;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Minimum share of its requested tasks that a class or a team must be served.
const MIN_SERVED_SHARE: f64 = 0.5;

/// Checks whether a scenario that has run to its end met its expectations.
pub(super) fn evaluate(simulation: &mut Simulation, judged: Expectations) -> Result<(), String> {
    let Expectations {
        conditions: expects,
        unserved,
        largest,
    } = judged;
    let mut problems = std::mem::take(&mut simulation.violations);
    if (simulation.crash_at_cluster_call.is_some() || !simulation.crashes_on_call.is_empty())
        && problems.is_empty()
    {
        // The call that was to crash its sender was never made.
        return Err("no end".to_owned());
    }
    if !simulation.jobs.is_empty()
        && simulation.jobs.values().all(|job| job.task_starts == 0)
        && !expects.iter().any(|line| line.contains("starts = 0"))
    {
        problems.push("nothing_ran".to_owned());
    }
    let served = simulation.served_shares();
    for (owner, (served, requested)) in &served {
        if served / requested < MIN_SERVED_SHARE && !unserved.contains(owner) {
            problems.push(format!("unserved: {owner} has {served:.1} of {requested}"));
        }
    }
    for owner in unserved {
        if served
            .get(&owner)
            .is_none_or(|(served, requested)| served / requested >= MIN_SERVED_SHARE)
        {
            problems.push(format!("{owner} is served after all"));
        }
    }
    problems.extend(check_largest(simulation, &largest));
    for expect in expects {
        if let Err(problem) = check(simulation, &expect) {
            problems.push(format!("expect {expect}: {problem}"));
        }
    }
    if problems.is_empty() {
        simulation.run_until_settled();
        problems.append(&mut simulation.violations);
        problems.extend(simulation.unmet_wait_exceptions());
    }
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems.join("\n"))
    }
}

/// Returns the problems of the largest jobs without an exception, and the exceptions that do not
/// apply.
fn check_largest(simulation: &Simulation, exceptions: &[String]) -> Vec<String> {
    let mut found: BTreeMap<String, String> = BTreeMap::new();
    for (class, jobs) in simulation.largest_jobs() {
        if jobs.served < MIN_SERVED_SHARE * jobs.requested {
            found.insert(
                format!("unserved {class}"),
                format!("{:.1} of {}", jobs.served, jobs.requested),
            );
        }
        if !jobs.late_starts.is_empty() {
            found.insert(format!("late {class}"), format!("{:?}", jobs.late_starts));
        }
    }
    let mut problems = Vec::new();
    for exception in exceptions {
        if found.remove(exception).is_none() {
            problems.push(format!("largest {exception}: it is not so"));
        }
    }
    problems.extend(found.iter().map(|(what, how)| format!("largest {what}: {how}")));
    problems
}

fn check(simulation: &Simulation, expect: &str) -> Result<(), String> {
    let words: Vec<&str> = expect.split_whitespace().collect();
    for part in [check_calls, check_submissions, check_service, check_jobs] {
        if part(simulation, &words)? {
            return Ok(());
        }
    }
    let [what @ .., sign, want] = words.as_slice() else {
        return Err("unknown expectation".to_owned());
    };
    let have = simulation
        .measure_streams(what)
        .or_else(|| response_checks::measure(simulation, what));
    compare(have.ok_or("unknown expectation")?, sign, want)
}

fn job<'a>(simulation: &'a Simulation, id: &str) -> Result<&'a ObservedJob, String> {
    simulation.jobs.get(id).ok_or(format!("no job {id}"))
}

fn compare(have: f64, sign: &str, want: &str) -> Result<(), String> {
    let want = number(want)?;
    let holds = match sign {
        "=" => have == want,
        "<=" => have <= want,
        ">=" => have >= want,
        other => return Err(format!("unknown sign {other}")),
    };
    if holds {
        Ok(())
    } else {
        Err(format!("it is {have}"))
    }
}

/// Checks calls, messages and fetches. Returns false if the words concern something else.
fn check_calls(simulation: &Simulation, words: &[&str]) -> Result<bool, String> {
    let outcome = match words {
        // Calls to the cloud that were dropped because their permits had expired.
        ["late", "permits", sign, want] => compare(f64::from(simulation.expired_permits), sign, want),
        // Messages that were delivered twice.
        ["copies", sign, want] => compare(f64::from(simulation.duplicates_delivered), sign, want),
        // Messages that faults affected.
        ["troubled", sign, want] => compare(f64::from(simulation.affected_messages), sign, want),
        // Cloud operations of replaced leaders that no record mentions.
        ["unknown", "acts", sign, want] => compare(f64::from(simulation.unrecorded_operations), sign, want),
        // Image fetches that machines started.
        ["fetches", "begun", sign, want] => compare(f64::from(simulation.fetches_started), sign, want),
        // Tasks that waited for an image fetch.
        ["fetches", sign, want] => compare(f64::from(simulation.tasks_awaiting_fetch), sign, want),
        // The most calls of a kind (changes, requests, cloud, workers) in any second.
        ["most", kind, sign, want] => compare(
            simulation.call_statistics.peak_per_second(kind) as f64,
            sign,
            want,
        ),
        ["total", kind, sign, want] => {
            let total = simulation.call_statistics.total.get(*kind).copied().unwrap_or(0);
            compare(total as f64, sign, want)
        }
        // Number of leader terms that began.
        ["terms", sign, want] => compare(f64::from(simulation.fault_combinations.terms), sign, want),
        ["machines", sign, want] => compare(simulation.workers.len() as f64, sign, want),
        ["rented", sign, want] => compare(f64::from(simulation.cloud.launched_total), sign, want),
        ["fenced", sign, want] => compare(f64::from(simulation.state.fenced_transactions), sign, want),
        ["refused", sign, want] => compare(f64::from(simulation.refused_responses), sign, want),
        ["leaders", sign, want] => {
            let leaders = simulation
                .nodes
                .iter()
                .filter(|node| node.node.as_ref().is_some_and(|node| node.token().is_some()))
                .count();
            compare(leaders as f64, sign, want)
        }
        // The longest time without a leader, in s.
        ["leaderless", sign, want] => compare(simulation.longest_leaderless_ms as f64 / 1000.0, sign, want),
        ["leader", "key"] => simulation
            .state
            .value("leader")
            .map(|_| ())
            .ok_or("no node holds the leader's key".to_owned()),
        _ => return Ok(false),
    };
    outcome.map(|()| true)
}

/// Checks submit files and submissions. Returns false if the words concern something else.
fn check_submissions(simulation: &Simulation, words: &[&str]) -> Result<bool, String> {
    let outcome = match words {
        // Responses to submissions with this status.
        ["submissions", status, sign, want] => {
            let responses = simulation
                .admission_checks
                .responses_by_status
                .get(&(number(status)? as u16));
            compare(responses.copied().unwrap_or(0).into(), sign, want)
        }
        // The status of the response to a submit file.
        ["sent", name, sign, want] => {
            let sent = simulation.submitted_files.get(*name).ok_or("no such file")?;
            let status = sent.response.as_ref().map_or(0, |(status, _)| *status);
            compare(f64::from(status), sign, want)
        }
        ["answer", name, "says", words @ ..] => {
            let sent = simulation.submitted_files.get(*name).ok_or("no such file")?;
            let answer = sent
                .response
                .as_ref()
                .map_or(Value::Null, |(_, answer)| answer.clone());
            let text = answer.to_string();
            if text.contains(&words.join(" ")) {
                Ok(())
            } else {
                Err(text)
            }
        }
        ["clusters", sign, want] => compare(simulation.state.count("c/") as f64, sign, want),
        ["open", "clusters", sign, want] => compare(simulation.state.count("j/~") as f64, sign, want),
        // Of a cluster: its live jobs, or its tasks that are done, running, or were started.
        ["cluster", cluster, what, sign, want] => {
            let cluster = number(cluster)? as u64;
            let jobs = simulation
                .jobs
                .iter()
                .filter(|(_, job)| job.cluster == Some(cluster));
            let have: usize = match *what {
                "live" => simulation.state.count(&format!("j/wk-99{cluster:010}")),
                "done" => jobs.map(|(_, job)| job.completed_tasks.len()).sum(),
                "starts" => jobs.map(|(_, job)| job.task_starts as usize).sum(),
                "tasks" => jobs.map(|(_, job)| job.tasks as usize).sum(),
                "running" => {
                    let names: Vec<&String> = jobs.map(|(id, _)| id).collect();
                    let running = simulation
                        .tasks_on_machines()
                        .filter(|(_, task)| names.contains(&&task.job) && task.state == TaskState::Running);
                    running.count()
                }
                other => return Err(format!("unknown word {other}")),
            };
            compare(have as f64, sign, want)
        }
        // The share of a team's submissions that were accepted within this many seconds.
        ["prompt", team, within, sign, want] => {
            let within_ms = (number(within)? * 1000.0) as u64;
            let submitted = simulation
                .jobs
                .values()
                .filter_map(|job| Some((job, job.submitted_at?)));
            let submitted: Vec<_> = submitted.filter(|(job, _)| job.team == *team).collect();
            let prompt = submitted
                .iter()
                .filter(|(job, submitted)| job.accepted_at.is_some_and(|at| at <= submitted + within_ms));
            compare(prompt.count() as f64 / submitted.len().max(1) as f64, sign, want)
        }
        ["answered", path, sign, want] => compare(
            simulation
                .probe_responses
                .iter()
                .filter(|(submitted, status)| submitted == path && *status != 503)
                .count() as f64,
            sign,
            want,
        ),
        _ => return Ok(false),
    };
    outcome.map(|()| true)
}

/// Checks counted resources, accounting, protection windows, served shares and warnings. Returns
/// false if the words concern something else.
fn check_service(simulation: &Simulation, words: &[&str]) -> Result<bool, String> {
    let outcome = match words {
        // Units that tasks hold now, or held at most, including dead tasks.
        ["seats", count, sign, want] | ["most-seats", count, sign, want] => {
            let feature = simulation.licences.features.get(*count).ok_or("no such count")?;
            let seats = if words[0] == "seats" {
                feature.task_units()
            } else {
                feature.peak_task_units
            };
            compare(f64::from(seats), sign, want)
        }
        // Ended jobs in a team's accounting according to its records; ended jobs without an owner in
        // any record; and the accounting's keys.
        ["book", "unowned", sign, want] => compare(
            simulation.accounting_check.totals(&simulation.state)?.1 as f64,
            sign,
            want,
        ),
        ["book", "keys", sign, want] => compare(simulation.state.count("b/") as f64, sign, want),
        ["book", team, sign, want] => {
            let (totals, _) = simulation.accounting_check.totals(&simulation.state)?;
            compare(totals.get(*team).copied().unwrap_or(0) as f64, sign, want)
        }
        // The served share of what a class or team requested: `served class=batch >= 0.6`.
        ["served", owner, sign, want] => {
            let shares = simulation.served_shares();
            let (served, requested) = shares.get(*owner).ok_or("nothing was requested")?;
            compare(served / requested, sign, want)
        }
        ["started-cancelled", sign, want] => compare(
            f64::from(simulation.fault_combinations.starts_after_cancel),
            sign,
            want,
        ),
        ["commanded-cancelled", sign, want] => compare(
            f64::from(simulation.fault_combinations.commands_after_cancel),
            sign,
            want,
        ),
        ["commanded-after", sign, want] => compare(
            simulation.fault_combinations.latest_command_ms as f64 / 1000.0,
            sign,
            want,
        ),
        // Warnings to operators that contain a text, such as `class=batch`.
        ["warnings", of, sign, want] => {
            let matching: Vec<&String> = simulation
                .warnings
                .iter()
                .filter(|text| text.contains(of))
                .collect();
            compare(matching.len() as f64, sign, want).map_err(|problem| format!("{problem}: {matching:#?}"))
        }
        // The share of the time in which protected replicas were wanted that they were up.
        ["protected", sign, want] => compare(simulation.window_checks.protected_availability(), sign, want),
        // How often windows were opened or closed according to the records.
        ["edges", sign, want] => compare(simulation.window_checks.transition_count(), sign, want),
        ["value", key, "says", words @ ..] => {
            let text = simulation
                .state
                .value(key)
                .map_or(String::new(), Value::to_string);
            if text.contains(&words.join(" ")) {
                Ok(())
            } else {
                Err(text)
            }
        }
        _ => return Ok(false),
    };
    outcome.map(|()| true)
}

/// Checks jobs. Returns false if the words concern something else.
fn check_jobs(simulation: &Simulation, words: &[&str]) -> Result<bool, String> {
    let outcome = match words {
        ["all", "done"] => match simulation
            .jobs
            .values()
            .filter(|job| job.completion_reported_at.is_none())
            .count()
        {
            0 => Ok(()),
            left => Err(format!("{left} jobs are not done")),
        },
        // Jobs of a class whose users were told within this many seconds that they are done.
        ["in-time", class, within, sign, want] => {
            let within_ms = (number(within)? * 1000.0) as u64;
            let done = simulation.jobs.values().filter(|job| job.class == *class);
            let in_time = done.filter(|job| {
                let took = job.completion_reported_at.zip(job.submitted_at);
                took.is_some_and(|(done, asked)| done <= asked + within_ms)
            });
            compare(in_time.count() as f64, sign, want)
        }
        ["live", "jobs", sign, want] => compare(simulation.state.count("j/") as f64, sign, want),
        [id, "told", want] => {
            let reported = job(simulation, id)?.reported_status.clone().unwrap_or_default();
            if reported == *want {
                Ok(())
            } else {
                Err(format!("its user was told {reported:?}"))
            }
        }
        [id, "done", "by", want] => match job(simulation, id)?.completion_reported_at {
            Some(at) => compare(at as f64 / 1000.0, "<=", want),
            None => Err("its user was never told that it is done".to_owned()),
        },
        [id, "starts", sign, want] => compare(f64::from(job(simulation, id)?.task_starts), sign, want),
        [id, "saved", sign, want] => compare(job(simulation, id)?.checkpointed_s, sign, want),
        [id, "running", sign, want] => {
            let running = simulation
                .tasks_on_machines()
                .filter(|(_, task)| task.job == *id && task.state == TaskState::Running)
                .count();
            compare(running as f64, sign, want)
        }
        [id, "on", "spot", sign, want] => {
            let on = simulation
                .tasks_on_machines()
                .filter(|(worker, task)| worker.spot && task.job == *id);
            compare(on.count() as f64, sign, want)
        }
        [id, "zones", sign, want] => {
            let zones: BTreeSet<&str> = simulation
                .tasks_on_machines()
                .filter(|(_, task)| task.job == *id)
                .map(|(worker, _)| worker.zone.as_str())
                .collect();
            compare(zones.len() as f64, sign, want)
        }
        _ => return Ok(false),
    };
    outcome.map(|()| true)
}
