//! The commands of submit files, and their effects. A name that is not in this table is a macro,
//! and is noted as unused if nothing refers to it.

use rustc_hash::FxHashMap;
use std::sync::LazyLock;

/// A command of submit files.
#[derive(Debug, PartialEq, Eq)]
pub struct Command {
    /// The name used in HTCondor's manual.
    pub name: &'static str,
    aliases: &'static [&'static str],
    pub effect: Effect,
}

/// The effect of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Sets a field of the request.
    SetsField(Field),
    /// Is copied to this attribute of the job's ClassAd, for use by whatever runs the job's
    /// commands.
    CopiedToAd(&'static str),
    /// Has no effect, for the given reason, and is reported in a note.
    Ignored(&'static str),
    /// Is unsupported, and the proc is refused. Values in `accepted_values` request nothing and are
    /// accepted.
    Unsupported {
        reason: &'static str,
        accepted_values: &'static [&'static str],
    },
}

/// A field of the request that a command sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Field {
    Universe,
    Cpus,
    Gpus,
    Memory,
    Team,
    Priority,
    Nice,
    ContainerImage,
    DockerImage,
    Counts,
    MachineCount,
    Duration,
    Requirements,
    Rank,
    Hold,
}

const fn sets_field(name: &'static str, aliases: &'static [&'static str], field: Field) -> Command {
    Command {
        name,
        aliases,
        effect: Effect::SetsField(field),
    }
}

const fn copied_to_ad(
    name: &'static str,
    aliases: &'static [&'static str],
    attribute: &'static str,
) -> Command {
    Command {
        name,
        aliases,
        effect: Effect::CopiedToAd(attribute),
    }
}

const fn ignored(name: &'static str, reason: &'static str) -> Command {
    Command {
        name,
        aliases: &[],
        effect: Effect::Ignored(reason),
    }
}

const fn unsupported(
    name: &'static str,
    reason: &'static str,
    accepted_values: &'static [&'static str],
) -> Command {
    Command {
        name,
        aliases: &[],
        effect: Effect::Unsupported {
            reason,
            accepted_values,
        },
    }
}

const NO_MAIL: &str = "no mail is sent";
const NO_FILE_TRANSFER: &str = "files are where the image and the site put them; none are moved";
const SITE_STOPS_TASKS: &str = "tasks are stopped as the site's workers do";
const DISPLAY_ONLY: &str = "it is for display only";
const NO_SPOOLING: &str = "nothing is spooled";
const FALSE_VALUES: &[&str] = &["false", "no", "0", "f", "n"];
const TRUE_VALUES: &[&str] = &["true", "yes", "1", "t", "y"];
const NO_VALUES: &[&str] = &[];
const NO_PERIODIC_EXPRESSIONS: &str =
    "it would act on jobs by an expression that is looked at again and again";
const SITE_RETRIES: &str = "a task that fails is tried again by the site's own rule";
const NO_DEFERRAL: &str = "jobs start as soon as there is room, and not at a time";
const NO_GRID_UNIVERSE: &str = "there is no grid universe here";
const NO_VM_UNIVERSE: &str = "there is no vm universe here";
const NO_JAVA_UNIVERSE: &str = "there is no java universe here";
const NO_GPU_PROPERTIES: &str =
    "machines say how many GPUs they have, and nothing more of them; use requirements on what is declared";
const NO_CREDENTIALS: &str = "no credentials are handed to tasks";
const NO_CONTAINER_NETWORK: &str = "containers get no network of their own";
const NO_TIME_LIMIT: &str = "nothing stops a task for running long; use allowed_job_duration for an estimate";
const NO_CHECKPOINT_EXIT: &str = "an exit status does not ask for another run";
const NO_LATE_MATERIALIZATION: &str = "a file is taken as a whole, at once";

static COMMANDS: [Command; 155] = [
    sets_field("universe", &[], Field::Universe),
    sets_field("request_cpus", &["requestcpus"], Field::Cpus),
    sets_field("request_gpus", &["requestgpus"], Field::Gpus),
    sets_field("request_memory", &["requestmemory"], Field::Memory),
    sets_field("accounting_group", &["acct_group"], Field::Team),
    sets_field("priority", &["prio"], Field::Priority),
    sets_field("nice_user", &[], Field::Nice),
    sets_field("container_image", &[], Field::ContainerImage),
    sets_field("docker_image", &[], Field::DockerImage),
    sets_field("concurrency_limits", &[], Field::Counts),
    sets_field("machine_count", &["node_count"], Field::MachineCount),
    sets_field("allowed_job_duration", &[], Field::Duration),
    sets_field("requirements", &[], Field::Requirements),
    sets_field("rank", &["preferences"], Field::Rank),
    sets_field("hold", &[], Field::Hold),
    copied_to_ad("executable", &["cmd"], "Cmd"),
    copied_to_ad("arguments", &["args"], "Args"),
    copied_to_ad("environment", &["env"], "Environment"),
    copied_to_ad("initialdir", &["initial_dir", "job_iwd"], "Iwd"),
    copied_to_ad("input", &["stdin"], "In"),
    copied_to_ad("output", &["stdout"], "Out"),
    copied_to_ad("error", &["stderr"], "Err"),
    copied_to_ad("log", &["userlog"], "UserLog"),
    copied_to_ad("batch_name", &["job_batch_name", "jobbatchname"], "JobBatchName"),
    copied_to_ad("description", &[], "JobDescription"),
    copied_to_ad("accounting_group_user", &["acct_group_user"], "AcctGroupUser"),
    ignored("notification", NO_MAIL),
    ignored("notify_user", NO_MAIL),
    ignored("email_attributes", NO_MAIL),
    ignored("should_transfer_files", NO_FILE_TRANSFER),
    ignored("when_to_transfer_output", NO_FILE_TRANSFER),
    ignored("transfer_input_files", NO_FILE_TRANSFER),
    ignored("transfer_output_files", NO_FILE_TRANSFER),
    ignored("transfer_output_remaps", NO_FILE_TRANSFER),
    ignored("transfer_executable", NO_FILE_TRANSFER),
    ignored("transfer_input", NO_FILE_TRANSFER),
    ignored("transfer_output", NO_FILE_TRANSFER),
    ignored("transfer_error", NO_FILE_TRANSFER),
    ignored("transfer_plugins", NO_FILE_TRANSFER),
    ignored("preserve_relative_paths", NO_FILE_TRANSFER),
    ignored("output_destination", NO_FILE_TRANSFER),
    ignored("public_input_files", NO_FILE_TRANSFER),
    ignored("max_transfer_input_mb", NO_FILE_TRANSFER),
    ignored("max_transfer_output_mb", NO_FILE_TRANSFER),
    ignored("encrypt_input_files", NO_FILE_TRANSFER),
    ignored("encrypt_output_files", NO_FILE_TRANSFER),
    ignored("dont_encrypt_input_files", NO_FILE_TRANSFER),
    ignored("dont_encrypt_output_files", NO_FILE_TRANSFER),
    ignored("file_remaps", NO_FILE_TRANSFER),
    ignored("append_files", NO_FILE_TRANSFER),
    ignored("copy_to_spool", NO_SPOOLING),
    ignored("skip_filechecks", NO_SPOOLING),
    ignored("fetch_files", NO_FILE_TRANSFER),
    ignored("compress_files", NO_FILE_TRANSFER),
    ignored("local_files", NO_FILE_TRANSFER),
    ignored("want_io_proxy", NO_FILE_TRANSFER),
    ignored("stream_input", NO_FILE_TRANSFER),
    ignored("stream_output", NO_FILE_TRANSFER),
    ignored("stream_error", NO_FILE_TRANSFER),
    ignored("buffer_files", NO_FILE_TRANSFER),
    ignored("buffer_size", NO_FILE_TRANSFER),
    ignored("buffer_block_size", NO_FILE_TRANSFER),
    ignored(
        "getenv",
        "tasks get the environment that the image and the site give them",
    ),
    ignored("allow_arguments_v1", DISPLAY_ONLY),
    ignored(
        "request_disk",
        "machines here declare no disk; put what has to hold into requirements",
    ),
    ignored("image_size", "request_memory says what a task needs"),
    ignored("coresize", "no core files are kept"),
    ignored("leave_in_queue", "ended jobs are kept in the history"),
    ignored("log_xml", DISPLAY_ONLY),
    ignored("dagman_log", DISPLAY_ONLY),
    ignored("submit_event_notes", DISPLAY_ONLY),
    ignored("submit_event_user_notes", DISPLAY_ONLY),
    ignored("job_machine_attrs", DISPLAY_ONLY),
    ignored("job_machine_attrs_history_length", DISPLAY_ONLY),
    ignored("job_ad_information_attrs", DISPLAY_ONLY),
    ignored("loglevel", DISPLAY_ONLY),
    ignored("kill_sig", SITE_STOPS_TASKS),
    ignored("kill_sig_timeout", SITE_STOPS_TASKS),
    ignored("hold_kill_sig", SITE_STOPS_TASKS),
    ignored("remove_kill_sig", SITE_STOPS_TASKS),
    ignored("want_graceful_removal", SITE_STOPS_TASKS),
    ignored("job_max_vacate_time", SITE_STOPS_TASKS),
    ignored(
        "keep_claim_idle",
        "machines that are idle are given back by the site's own rule",
    ),
    ignored("stack_size", "tasks run with the limits of the site's workers"),
    ignored("run_as_owner", "tasks run as the site's workers run them"),
    ignored("load_profile", "tasks run as the site's workers run them"),
    ignored("rendezvousdir", "there is none"),
    ignored("use_local_credentials", "no credentials are used"),
    ignored("warn_on_lint", DISPLAY_ONLY),
    ignored("remote_initialdir", NO_FILE_TRANSFER),
    ignored("container_target_dir", "tasks begin where the image says"),
    ignored(
        "docker_pull_policy",
        "an image is fetched where no machine with room has it",
    ),
    ignored("ulog_execute_attrs", DISPLAY_ONLY),
    unsupported("periodic_hold", NO_PERIODIC_EXPRESSIONS, FALSE_VALUES),
    unsupported("periodic_hold_reason", NO_PERIODIC_EXPRESSIONS, &[""]),
    unsupported("periodic_hold_subcode", NO_PERIODIC_EXPRESSIONS, &["", "0"]),
    unsupported("periodic_release", NO_PERIODIC_EXPRESSIONS, FALSE_VALUES),
    unsupported("periodic_remove", NO_PERIODIC_EXPRESSIONS, FALSE_VALUES),
    unsupported("periodic_vacate", NO_PERIODIC_EXPRESSIONS, FALSE_VALUES),
    unsupported("on_exit_hold", SITE_RETRIES, FALSE_VALUES),
    unsupported("on_exit_hold_reason", SITE_RETRIES, &[""]),
    unsupported("on_exit_hold_subcode", SITE_RETRIES, &["", "0"]),
    unsupported("on_exit_remove", SITE_RETRIES, TRUE_VALUES),
    unsupported("max_retries", SITE_RETRIES, &["0"]),
    unsupported("retry_until", SITE_RETRIES, NO_VALUES),
    unsupported("success_exit_code", SITE_RETRIES, &["0"]),
    unsupported("retry_request_memory", SITE_RETRIES, NO_VALUES),
    unsupported("retry_request_memory_increase", SITE_RETRIES, NO_VALUES),
    unsupported("retry_request_memory_max", SITE_RETRIES, NO_VALUES),
    unsupported("checkpoint_exit_code", NO_CHECKPOINT_EXIT, NO_VALUES),
    unsupported("transfer_checkpoint_files", NO_CHECKPOINT_EXIT, NO_VALUES),
    unsupported("checkpoint_destination", NO_CHECKPOINT_EXIT, NO_VALUES),
    unsupported("allowed_execute_duration", NO_TIME_LIMIT, NO_VALUES),
    unsupported("deferral_time", NO_DEFERRAL, NO_VALUES),
    unsupported("deferral_window", NO_DEFERRAL, NO_VALUES),
    unsupported("deferral_prep_time", NO_DEFERRAL, NO_VALUES),
    unsupported("cron_minute", NO_DEFERRAL, NO_VALUES),
    unsupported("cron_hour", NO_DEFERRAL, NO_VALUES),
    unsupported("cron_day_of_month", NO_DEFERRAL, NO_VALUES),
    unsupported("cron_month", NO_DEFERRAL, NO_VALUES),
    unsupported("cron_day_of_week", NO_DEFERRAL, NO_VALUES),
    unsupported("cron_window", NO_DEFERRAL, NO_VALUES),
    unsupported("cron_prep_time", NO_DEFERRAL, NO_VALUES),
    unsupported("next_job_start_delay", NO_DEFERRAL, &["0"]),
    unsupported("noop_job", "every job is run", FALSE_VALUES),
    unsupported("noop_job_exit_code", "every job is run", NO_VALUES),
    unsupported("noop_job_exit_signal", "every job is run", NO_VALUES),
    unsupported("max_idle", NO_LATE_MATERIALIZATION, NO_VALUES),
    unsupported("max_materialize", NO_LATE_MATERIALIZATION, NO_VALUES),
    unsupported(
        "job_lease_duration",
        "a task's lease is the site's own",
        NO_VALUES,
    ),
    unsupported(
        "concurrency_limits_expr",
        "units are held by name and number; use concurrency_limits",
        NO_VALUES,
    ),
    unsupported("require_gpus", NO_GPU_PROPERTIES, &["", "true"]),
    unsupported("gpus_minimum_capability", NO_GPU_PROPERTIES, NO_VALUES),
    unsupported("gpus_maximum_capability", NO_GPU_PROPERTIES, NO_VALUES),
    unsupported("gpus_minimum_memory", NO_GPU_PROPERTIES, NO_VALUES),
    unsupported("gpus_minimum_runtime", NO_GPU_PROPERTIES, NO_VALUES),
    unsupported("cuda_version", NO_GPU_PROPERTIES, NO_VALUES),
    unsupported("grid_resource", NO_GRID_UNIVERSE, NO_VALUES),
    unsupported("globus_rsl", NO_GRID_UNIVERSE, NO_VALUES),
    unsupported("x509userproxy", NO_CREDENTIALS, NO_VALUES),
    unsupported("use_x509userproxy", NO_CREDENTIALS, FALSE_VALUES),
    unsupported("use_oauth_services", NO_CREDENTIALS, &[""]),
    unsupported("use_scitokens", NO_CREDENTIALS, FALSE_VALUES),
    unsupported("scitokens_file", NO_CREDENTIALS, NO_VALUES),
    unsupported("container_service_names", NO_CONTAINER_NETWORK, NO_VALUES),
    unsupported("docker_network_type", NO_CONTAINER_NETWORK, NO_VALUES),
    unsupported("vm_type", NO_VM_UNIVERSE, NO_VALUES),
    unsupported("vm_memory", NO_VM_UNIVERSE, NO_VALUES),
    unsupported("vm_disk", NO_VM_UNIVERSE, NO_VALUES),
    unsupported("java_vm_args", NO_JAVA_UNIVERSE, NO_VALUES),
    unsupported("jar_files", NO_JAVA_UNIVERSE, NO_VALUES),
    unsupported(
        "allow_startup_script",
        "tasks are started by the site's workers alone",
        FALSE_VALUES,
    ),
    unsupported("manifest", "no list of files is made", FALSE_VALUES),
    unsupported(
        "starter_debug",
        "tasks are started by the site's workers alone",
        NO_VALUES,
    ),
    unsupported(
        "append_requirements",
        "it is set by a pool's configuration; write it into requirements",
        &[""],
    ),
];

static BY_NAME: LazyLock<FxHashMap<&'static str, &'static Command>> = LazyLock::new(|| {
    let names = COMMANDS.iter().flat_map(|command| {
        let aliases = command.aliases.iter().map(move |alias| (*alias, command));
        aliases.chain([(command.name, command)])
    });
    names.collect()
});

/// Finds a command by its name or an alias, ignoring case.
pub fn find(name: &str) -> Option<&'static Command> {
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        BY_NAME.get(name.to_ascii_lowercase().as_str()).copied()
    } else {
        BY_NAME.get(name).copied()
    }
}

/// Returns the names of all commands.
pub fn names() -> impl Iterator<Item = &'static str> {
    COMMANDS.iter().map(|command| command.name)
}

#[cfg(test)]
mod tests;
