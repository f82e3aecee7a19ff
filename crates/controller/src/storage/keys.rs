//! Keys of the controllers' records in the state service: see the table at [`super::records`].

/// Key of the leader's record; its version is the fencing token.
pub const LEADER_KEY: &str = "leader";
/// Key of the machine types.
pub const MACHINE_TYPES_KEY: &str = "types";
/// Prefix of the keys of live jobs.
pub const JOB_PREFIX: &str = "j/";
/// Prefix of the keys of ended jobs.
pub const ENDED_JOB_PREFIX: &str = "e/";
/// Prefix of the keys of completed tasks.
pub const COMPLETED_TASKS_PREFIX: &str = "d/";
/// Prefix of the keys of machine shards.
pub const SHARD_PREFIX: &str = "s/";
/// Prefix of the keys of launch requests sent to the cloud.
pub const LAUNCH_PREFIX: &str = "h/";
/// Prefix of the keys of protection windows.
pub const PROTECTION_WINDOWS_PREFIX: &str = "t/";

/// Key of a live job.
pub fn job_key(job: &str) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Key of an ended job.
pub fn ended_job_key(job: &str) -> String {
    format!("{ENDED_JOB_PREFIX}{job}")
}

/// Key of a record of completed tasks.
pub fn completed_tasks_key(number: u32) -> String {
    format!("{COMPLETED_TASKS_PREFIX}{number}")
}

/// Key of a machine shard.
pub fn shard_key(number: u32) -> String {
    format!("{SHARD_PREFIX}{number}")
}

/// Key of a value of protection windows.
pub fn protection_windows_key(number: u32) -> String {
    format!("{PROTECTION_WINDOWS_PREFIX}{number}")
}

/// Key of a launch request sent to the cloud.
pub fn launch_key(request: &str) -> String {
    format!("{LAUNCH_PREFIX}{request}")
}

/// Parses the number in a key `<prefix><number>`.
pub fn parse_numbered_key(prefix: &str, key: &str) -> Option<u32> {
    key.strip_prefix(prefix)?.parse().ok()
}
