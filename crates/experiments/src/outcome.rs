//! What became of a day: from the bench's report, and from the controllers' log what became of the
//! largest jobs, of which the report does not speak.

use regex::Regex;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Least part of a class, a team or a class's largest jobs that has to be served.
const LEAST_SERVED: f64 = 0.5;

/// Longest time, in s, until one of the largest jobs has to have begun.
const LONGEST_WAIT_S: f64 = 240.0;

/// One of so many jobs of a class counts as one of its largest.
const LARGEST_ONE_IN: usize = 10;

/// The parts of the bench's report that are read.
#[derive(Deserialize)]
pub struct Report {
    duration_s: f64,
    machines: u64,
    #[serde(default)]
    targets: Vec<Aim>,
    rules_broken: Broken,
    classes: BTreeMap<String, Jobs>,
    teams: BTreeMap<String, Jobs>,
    fleet: Fleet,
    users: Users,
    node_stats: Vec<Node>,
    spent: Spent,
    #[serde(default)]
    idle: Idle,
}

/// What else the bench counts, in its newer builds.
#[derive(Default, Deserialize)]
struct Idle {
    /// Jobs that were left waiting beside room once troubles were over.
    #[serde(default)]
    neglected: u64,
    /// Starts after a confirmed cancellation, jobs accepted wrongly and the like, by name.
    #[serde(default)]
    slips: BTreeMap<String, serde_json::Value>,
}

#[derive(Deserialize)]
struct Aim {
    kind: String,
    #[serde(default)]
    value: f64,
}

#[derive(Deserialize)]
struct Broken {
    total: u64,
    #[serde(default)]
    by_kind: BTreeMap<String, u64>,
}

#[derive(Deserialize)]
struct Jobs {
    jobs: u64,
    started: u64,
}

#[derive(Deserialize)]
struct Fleet {
    tasks_killed_by_lease: u64,
}

#[derive(Deserialize)]
struct Users {
    #[serde(default)]
    errors: BTreeMap<String, u64>,
    /// Questions about jobs, and those that had no answer.
    asked: u64,
    asked_in_vain: u64,
}

#[derive(Deserialize)]
struct Node {
    node: String,
    memory_peak_mb: f64,
    connections_peak: u64,
    #[serde(default)]
    restarts: Vec<Restart>,
}

#[derive(Deserialize)]
struct Restart {
    why: String,
}

#[derive(Deserialize)]
struct Spent {
    /// In their own code and in the kernel, in s.
    processes: (f64, f64),
}

/// What a log tells of one job.
struct Job {
    class: String,
    tasks: u32,
    accepted_s: f64,
    /// When each task first ran.
    ran_s: BTreeMap<u32, f64>,
    cancelled: bool,
}

/// Jobs as the controllers' log tells of them, line by line.
pub struct Jobbook {
    jobs: BTreeMap<String, Job>,
    line: Regex,
    accepted: Regex,
    running: Regex,
    cancelled: Regex,
    score: Option<f64>,
    heads: bool,
}

impl Jobbook {
    /// # Errors
    /// None, as long as the patterns are sound.
    pub fn new() -> Result<Jobbook, regex::Error> {
        Ok(Jobbook {
            jobs: BTreeMap::new(),
            line: Regex::new(r"^\s*([0-9.]+) \S+ \S+ debug member=\S+ (?:token=\d+ )?(.*)$")?,
            accepted: Regex::new(r"^job accepted job=(\S+) class=(\S+) tasks=(\d+)$")?,
            running: Regex::new(r"^task running job=(\S+) machine=\S+ task=(\d+)$")?,
            cancelled: Regex::new(r"^job cancelled job=(\S+)$")?,
            score: None,
            heads: false,
        })
    }

    /// Reads a line that the bench printed; true if it is worth keeping.
    pub fn read(&mut self, text: &str) -> bool {
        if std::mem::take(&mut self.heads) {
            self.score = text.split_whitespace().nth(2).and_then(|mark| mark.parse().ok());
        }
        let mut words = text.split_whitespace();
        self.heads =
            words.next() == Some("run") && words.next() == Some("hosts") && words.next() == Some("mark");
        if !text.contains(" debug member=") {
            return true;
        }
        let Some(found) = self.line.captures(text) else {
            return false;
        };
        let (Ok(at_s), event) = (found[1].parse::<f64>(), &found[2]) else {
            return false;
        };
        self.follow(at_s, event);
        false
    }

    /// Takes in what a line of the log says of a job.
    fn follow(&mut self, at_s: f64, event: &str) {
        if let Some(accepted) = self.accepted.captures(event) {
            self.jobs.entry(accepted[1].to_owned()).or_insert_with(|| Job {
                class: accepted[2].to_owned(),
                tasks: accepted[3].parse().unwrap_or(0),
                accepted_s: at_s,
                ran_s: BTreeMap::new(),
                cancelled: false,
            });
        } else if let Some(running) = self.running.captures(event) {
            let job = self.jobs.get_mut(&running[1]);
            if let (Some(job), Ok(task)) = (job, running[2].parse()) {
                job.ran_s.entry(task).or_insert(at_s);
            }
        } else if let Some(cancelled) = self.cancelled.captures(event)
            && let Some(job) = self.jobs.get_mut(&cancelled[1])
        {
            job.cancelled = true;
        }
    }

    /// What became of each class's largest jobs. A gang has begun once all of its tasks ran.
    fn largest(&self, gangs: &[String], ends_s: f64) -> BTreeMap<String, Largest> {
        let mut classes: BTreeMap<&str, Vec<&Job>> = BTreeMap::new();
        for job in self.jobs.values() {
            classes.entry(&job.class).or_default().push(job);
        }
        let of = |class: &str, mut jobs: Vec<&Job>| {
            jobs.sort_by_key(|job| std::cmp::Reverse(job.tasks));
            let at = jobs.len().div_ceil(LARGEST_ONE_IN).saturating_sub(1);
            let least_tasks = jobs.get(at).map_or(0, |job| job.tasks);
            let gang = gangs.iter().any(|gang| gang == class);
            let mut largest = Largest {
                least_tasks,
                ..Largest::default()
            };
            for job in jobs.into_iter().filter(|job| job.tasks >= least_tasks) {
                let began_s = if !gang {
                    job.ran_s.values().copied().reduce(f64::min)
                } else if job.ran_s.len() >= job.tasks as usize {
                    job.ran_s.values().copied().reduce(f64::max)
                } else {
                    None
                };
                if began_s.is_none() && job.cancelled {
                    continue;
                }
                largest.jobs += 1;
                largest.began += u64::from(began_s.is_some());
                let waited_s = began_s.unwrap_or(ends_s) - job.accepted_s;
                largest.longest_wait_s = largest.longest_wait_s.max(waited_s);
            }
            largest
        };
        classes
            .into_iter()
            .map(|(class, jobs)| (class.to_owned(), of(class, jobs)))
            .collect()
    }
}

/// A class's largest jobs, without those cancelled before they began.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Largest {
    least_tasks: u32,
    jobs: u64,
    began: u64,
    /// From the first acceptance; of one that never began, until the day's end.
    longest_wait_s: f64,
}

/// What became of a day.
#[derive(Debug, Deserialize, Serialize)]
pub struct Outcome {
    pub day: String,
    pub restart_s: f64,
    machines: u64,
    score: Option<f64>,
    rules_broken: BTreeMap<String, u64>,
    /// Served part by class and by team.
    classes: BTreeMap<String, f64>,
    teams: BTreeMap<String, f64>,
    largest: BTreeMap<String, Largest>,
    #[serde(default)]
    neglected: u64,
    #[serde(default)]
    slips: BTreeMap<String, serde_json::Value>,
    submit: Option<f64>,
    /// Part of the questions about jobs that had no answer.
    in_vain: f64,
    told_503: u64,
    refused: u64,
    killed_by_lease: u64,
    /// Processes that ended by themselves, with why.
    ended: Vec<String>,
    memory_mb: f64,
    sockets: u64,
    processor_s: f64,
}

fn served(of: &BTreeMap<String, Jobs>) -> BTreeMap<String, f64> {
    of.iter()
        .filter(|(_, jobs)| jobs.jobs > 0)
        .map(|(name, jobs)| (name.clone(), jobs.started as f64 / jobs.jobs as f64))
        .collect()
}

impl Outcome {
    /// Joins a day's report with what its log told.
    pub fn new(day: &str, restart_s: f64, report: &Report, book: &Jobbook, gangs: &[String]) -> Outcome {
        let mut rules_broken = report.rules_broken.by_kind.clone();
        if rules_broken.is_empty() && report.rules_broken.total > 0 {
            rules_broken.insert("unnamed".to_owned(), report.rules_broken.total);
        }
        let ended = report.node_stats.iter().flat_map(|node| {
            let own = node.restarts.iter().filter(|restart| restart.why != "fault");
            own.map(|restart| format!("{}: {}", node.node, restart.why))
        });
        let error = |kind: &str| report.users.errors.get(kind).copied().unwrap_or(0);
        Outcome {
            day: day.to_owned(),
            restart_s,
            machines: report.machines,
            score: book.score,
            rules_broken,
            classes: served(&report.classes),
            teams: served(&report.teams),
            largest: book.largest(gangs, report.duration_s),
            neglected: report.idle.neglected,
            slips: report.idle.slips.clone(),
            submit: report
                .targets
                .iter()
                .find(|aim| aim.kind == "submit")
                .map(|aim| aim.value),
            in_vain: report.users.asked_in_vain as f64 / report.users.asked.max(1) as f64,
            told_503: error("503"),
            refused: error("refused"),
            killed_by_lease: report.fleet.tasks_killed_by_lease,
            ended: ended.collect(),
            memory_mb: report
                .node_stats
                .iter()
                .map(|node| node.memory_peak_mb)
                .fold(0.0, f64::max),
            sockets: report
                .node_stats
                .iter()
                .map(|node| node.connections_peak)
                .max()
                .unwrap_or(0),
            processor_s: report.spent.processes.0 + report.spent.processes.1,
        }
    }

    /// What must not be, one line each.
    pub fn failures(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (rule, times) in &self.rules_broken {
            found.push(format!("{}: rule {rule} broken {times} times", self.day));
        }
        for (what, of) in [("class", &self.classes), ("team", &self.teams)] {
            for (name, part) in of.iter().filter(|(_, part)| **part < LEAST_SERVED) {
                found.push(format!("{}: only {part:.2} of {what} {name} is served", self.day));
            }
        }
        for (class, largest) in &self.largest {
            if (largest.began as f64) < LEAST_SERVED * largest.jobs as f64 {
                let (began, jobs) = (largest.began, largest.jobs);
                found.push(format!(
                    "{}: only {began} of {class}'s {jobs} largest jobs began",
                    self.day
                ));
            }
            if largest.longest_wait_s > LONGEST_WAIT_S {
                let waited = format!("waited {:.0} s", largest.longest_wait_s);
                found.push(format!("{}: one of {class}'s largest jobs {waited}", self.day));
            }
        }
        if self.neglected > 0 {
            found.push(format!(
                "{}: {} jobs were left waiting beside room",
                self.day, self.neglected
            ));
        }
        for (what, times) in &self.slips {
            found.push(format!("{}: {what}: {times}", self.day));
        }
        for ended in &self.ended {
            found.push(format!("{}: ended by itself: {ended}", self.day));
        }
        found
    }
}

/// The days as two Markdown tables.
pub fn table(days: &[Outcome]) -> String {
    let mut text = String::from(
        "| day | back after | machines | score | rules broken | submissions in time | asked in vain | told 503 | refused | \
         killed by lease | ended by themselves | memory MB | sockets | processor s |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    // Writing to a string cannot fail.
    for day in days {
        let score = day.score.map_or("–".to_owned(), |score| format!("{score:.2}"));
        let submit = day.submit.map_or("–".to_owned(), |part| format!("{part:.3}"));
        let _ = writeln!(
            text,
            "| {} | {} s | {} | {score} | {} | {submit} | {:.3} | {} | {} | {} | {} | {:.0} | {} | {:.0} |",
            day.day,
            day.restart_s,
            day.machines,
            day.rules_broken.values().sum::<u64>(),
            day.in_vain,
            day.told_503,
            day.refused,
            day.killed_by_lease,
            day.ended.len(),
            day.memory_mb,
            day.sockets,
            day.processor_s,
        );
    }
    text.push_str(
        "\n| day | served by class | by team, least | largest jobs that began | longest wait of one |\n\
         | --- | --- | --- | --- | --- |\n",
    );
    for day in days {
        let classes: Vec<String> = day
            .classes
            .iter()
            .map(|(class, part)| format!("{class} {part:.3}"))
            .collect();
        let team = day.teams.iter().min_by(|a, b| a.1.total_cmp(b.1));
        let team = team.map_or("–".to_owned(), |(team, part)| format!("{team} {part:.3}"));
        let (mut began, mut waits) = (Vec::new(), Vec::new());
        for (class, largest) in &day.largest {
            began.push(format!(
                "{class} {} of {} ({} tasks or more)",
                largest.began, largest.jobs, largest.least_tasks
            ));
            waits.push(format!("{class} {:.0} s", largest.longest_wait_s));
        }
        let _ = writeln!(
            text,
            "| {} | {} | {team} | {} | {} |",
            day.day,
            classes.join(", "),
            began.join(", "),
            waits.join(", "),
        );
    }
    text
}

#[cfg(test)]
mod tests;
