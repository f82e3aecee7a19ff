//! Submit clusters, which are sets of jobs from submit files. No job of a cluster starts before the
//! whole cluster is accepted, or while it is held. Clusters whose submission was not completed are
//! removed.

use super::LeaderTerm;
use super::calls::TermCall;
use crate::condor::{self, AccessProof, QueueRow, RowState};
use crate::constants::{CLUSTER_CHECK_MS, CLUSTER_OPEN_TIMEOUT_MS, MAX_KIND_SETS};
use crate::io::{Io, json};
use crate::job_api::authorization;
use crate::model::{JobSpec, Timestamp};
use crate::protocol::{self, Shape};
use crate::scheduling::placement;
use crate::settings::Settings;
use crate::storage::records::{self, Record};
use indigopath_accounting::Team;
use indigopath_condor::cluster::OpenClusterRecord;
use indigopath_condor::{HoldReason, KindSet};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Clusters that are not accepted yet, and data shared among jobs.
#[derive(Debug, Default)]
pub(super) struct SubmitClusters {
    /// Clusters being recorded, with the versions of their records.
    open: BTreeMap<u64, (OpenClusterRecord, u64)>,
    /// Interned sets of machine kinds, so that a pass evaluates each set once.
    kind_sets: HashMap<Arc<KindSet>, ()>,
    checked_at: Timestamp,
}

impl SubmitClusters {
    /// Whether no task of the job may start.
    pub(super) fn is_parked(&self, spec: &JobSpec) -> bool {
        let origin = spec.condor.as_ref();
        origin.is_some_and(|origin| !origin.holds.is_empty() || self.open.contains_key(&origin.cluster))
    }
}

impl LeaderTerm {
    /// Replaces parts that many jobs have in common by shared copies.
    pub(super) fn intern_spec(&mut self, spec: &mut JobSpec) {
        self.intern_demand(&mut spec.counts);
        let Some(kinds) = &mut spec.kinds else { return };
        let kind_sets = &mut self.submit_clusters.kind_sets;
        if kind_sets.len() >= MAX_KIND_SETS {
            // Jobs keep references to the sets that are dropped here.
            kind_sets.clear();
        }
        match kind_sets.entry(kinds.clone()) {
            Entry::Occupied(entry) => *kinds = entry.key().clone(),
            Entry::Vacant(entry) => {
                entry.insert(());
            }
        }
    }

    /// Whether the record of a live job may change. Other records change only when their job ends.
    pub(super) fn job_record_may_change(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|job| job.spec.condor.is_some())
    }

    /// Handles the record of a cluster that is being recorded: its jobs wait until it is accepted.
    pub(super) fn on_cluster_open(
        &mut self,
        cluster: u64,
        value: &serde_json::Value,
        version: u64,
    ) -> Result<(), records::RecordError> {
        let record = OpenClusterRecord::from_value(value)?;
        self.submit_clusters.open.insert(cluster, (record, version));
        self.update_parked(cluster);
        Ok(())
    }

    /// Handles the end of a cluster's open record: the cluster was accepted, or abandoned and its
    /// jobs removed.
    pub(super) fn on_cluster_closed(&mut self, cluster: u64) {
        self.submit_clusters.open.remove(&cluster);
        self.update_parked(cluster);
    }

    /// Updates the parked state of all live jobs.
    pub(super) fn update_all_parked(&mut self) {
        for job in self.jobs.values_mut() {
            job.parked = self.submit_clusters.is_parked(&job.spec);
        }
    }

    /// Updates the parked state of the jobs of one cluster.
    fn update_parked(&mut self, cluster: u64) {
        let first = condor::job_id(cluster, 0);
        let last = condor::job_id(cluster, u32::MAX);
        for (_, job) in self.jobs.range_mut(first..=last) {
            job.parked = self.submit_clusters.is_parked(&job.spec);
        }
        self.scheduler.request_pass();
    }

    /// Handles a new version of a live job's record: the job was held or released.
    pub(super) fn on_job_changed(&mut self, spec: JobSpec, version: u64, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&spec.id) else {
            return;
        };
        if version <= job.version || spec.condor.is_none() {
            return;
        }
        job.version = version;
        job.parked = self.submit_clusters.is_parked(&spec);
        job.spec = spec;
        self.scheduler.request_pass();
        if !job.parked {
            return;
        }
        // Its running tasks save their state if they can, and are stopped.
        let grace_s = placement::grace_s(&job.spec);
        let id = job.spec.id.clone();
        let mut running = Vec::new();
        self.machines.for_each_attempt(&id, |host, attempt| {
            running.push((attempt.task.clone(), host.clone()));
        });
        for (task, host) in running {
            self.stop_task(&task, &host, grace_s, now);
        }
    }

    /// Removes clusters that were left open, and releases holds whose reason no longer applies.
    pub(super) fn update_submit_clusters(&mut self, settings: &Settings, io: &mut Io) {
        if io.now < self.submit_clusters.checked_at + CLUSTER_CHECK_MS {
            return;
        }
        self.submit_clusters.checked_at = io.now;
        self.abandon_open_clusters(io);
        if let Some(condor) = &settings.operator.condor {
            let deployment = &settings.deployment;
            let default_team = condor.default_team.as_deref();
            let released = self.jobs.values().find_map(|job| {
                let spec = condor::without_obsolete_holds(&job.spec, deployment, default_team)?;
                Some((spec, job.version))
            });
            // Only one per update: such releases are rare, and starts have priority.
            if let Some((spec, version)) = released {
                log::info!("hold released job={}: its team's limit allows it now", spec.id);
                let key = records::job_key(&spec.id.0);
                let change = protocol::Change::Put {
                    key: key.clone(),
                    value: spec.to_value(),
                    lease: None,
                };
                self.change_record(key, version, change, io);
            }
        }
    }

    /// Marks clusters as abandoned that were left open for too long, and removes abandoned ones.
    fn abandon_open_clusters(&mut self, io: &mut Io) {
        let mut changes = Vec::new();
        for (cluster, (record, version)) in &self.submit_clusters.open {
            let key = condor::open_key(*cluster);
            if record.abandoned {
                let first = condor::job_id(*cluster, 0);
                let last = condor::job_id(*cluster, u32::MAX);
                let mut jobs = self.jobs.range(first..=last).peekable();
                // The cluster's own record is removed last, so that its absence implies that no
                // jobs of it are left.
                if jobs.peek().is_none() {
                    self.writer.obsolete_keys.insert(key);
                } else {
                    let keys = jobs.map(|(id, _)| records::job_key(&id.0));
                    self.writer.obsolete_keys.extend(keys);
                }
            } else if io.wall_ms > record.at_ms + CLUSTER_OPEN_TIMEOUT_MS {
                let record = OpenClusterRecord {
                    abandoned: true,
                    ..record.clone()
                };
                log::info!("cluster abandoned cluster={cluster}: its submitter left it open");
                changes.push((key, *version, record.to_value()));
            }
        }
        for (key, version, value) in changes {
            let change = protocol::Change::Put {
                key: key.clone(),
                value,
                lease: None,
            };
            self.change_record(key, version, change, io);
        }
    }

    /// Changes one record, on condition that it is unchanged and this node still leads.
    fn change_record(&mut self, key: String, version: u64, change: protocol::Change, io: &mut Io) {
        let body = protocol::Transaction {
            conditions: vec![
                protocol::Condition {
                    key: records::LEADER_KEY.to_owned(),
                    version: self.token(),
                },
                protocol::Condition { key, version },
            ],
            changes: vec![change],
        };
        io.write_budget.force_take(1.0, io.now);
        self.transact(json(&body), TermCall::SubmitCluster, io);
    }

    /// Jobs of accepted clusters that belong to the requesting team, in the order of their ids.
    pub fn submitted_queue(
        &self,
        requesting_team: &Team,
        settings: &Settings,
        now: Timestamp,
    ) -> Vec<QueueRow> {
        let blocked = self.blocked_jobs();
        let jobs = self.jobs.values().filter_map(|job| {
            let origin = job.spec.condor.as_ref()?;
            if self.submit_clusters.open.contains_key(&origin.cluster) {
                return None;
            }
            let access = authorization::access(&job.spec, requesting_team, settings).ok()?;
            let (done, running) = self
                .jobs
                .task_counts()
                .get(&job.spec.id)
                .copied()
                .unwrap_or((0, 0));
            let held_by_limit = origin.holds.iter().any(|hold| hold.reason != HoldReason::User);
            Some(QueueRow {
                access_proof: AccessProof::from_access(&access),
                waits: LeaderTerm::wait_reason(job, &blocked, now).as_str().to_owned(),
                job: job.spec.id.to_string(),
                cluster: origin.cluster,
                procs: origin.procs.text(),
                owner: origin.owner.clone(),
                team: job.spec.team.clone(),
                submitted_ms: job.spec.submitted_ms,
                state: if !origin.holds.is_empty() {
                    RowState::Held
                } else if running > 0 {
                    RowState::Running
                } else {
                    RowState::Idle
                },
                gang: job.spec.shape == Shape::Gang,
                tasks: job.spec.tasks,
                done,
                running,
                memory_gb: job.spec.needs.memory_gb,
                cmd: origin.cmd.clone(),
                hold: origin.hold_text(),
                releasable: !origin.holds.is_empty() && !held_by_limit,
            })
        });
        jobs.collect()
    }
}
