//! Limits and sizes of the accounts and of the fair queue.

/// Ended jobs per page of a team's history. At about 100 bytes each, a full page takes some 6 KiB,
/// which is below any `value_kb` that the platform sets. A page is rewritten with each batch of
/// ended jobs.
pub const ENTRIES_PER_PAGE: usize = 64;

/// Maximum number of pages in a team's history; older pages are folded into totals. Users rarely
/// look beyond 512 ended jobs. A team's account takes 100 KiB of the leader's memory and nine keys.
pub const MAX_PAGES: usize = 8;

/// Maximum rows of totals, by day and class, in a team's account. About 70 bytes each, 8 KiB in
/// total.
pub const MAX_TOTALS_ROWS: usize = 120;

/// Maximum number of classes with separate totals; further classes are counted together. Users
/// choose class names freely, and the size of an account must stay bounded.
pub const MAX_TOTALS_CLASSES: usize = 16;

/// Maximum number of ended jobs that are not yet written to a page; at this limit no more are read.
/// At some 300 bytes each, they take 600 KiB.
pub const MAX_PENDING_ENDS: usize = 2_000;

/// Record changes that one ended job may require: its page, a deleted page, and the totals into
/// which the deleted page is folded.
pub const CHANGES_PER_END: usize = 3;

/// Maximum bytes of an entry on a page, without the names of its job and class.
pub const ENTRY_OVERHEAD_BYTES: usize = 130;

/// Bytes that most entries on a page do not exceed, including the names of job and class. Used to
/// estimate the size of a batch of pages.
pub const TYPICAL_ENTRY_BYTES: usize = 170;

/// Maximum bytes of a row of totals.
pub const TOTALS_ROW_BYTES: usize = 75;

/// Maximum bytes of an escaped team name in a key; longer names are truncated and end in a digest
/// of the whole name. The platform limits keys to 200 bytes.
pub const MAX_TEAM_KEY_BYTES: usize = 120;

/// Milliseconds per day.
pub const DAY_MS: u64 = 86_400_000;

/// Bits of the checksum that distinguishes totals over different jobs. JSON numbers are exact up to
/// 53 bits.
pub const CHECKSUM_BITS: u32 = 52;

/// Cost that a lane of weight 1 may consume per turn. A request costs 1: a smaller quantum would
/// produce empty rounds, a larger one longer waits.
pub const QUANTUM: u64 = 1;

/// Maximum cost of one item; higher costs are clamped, so that no item blocks its lane
/// indefinitely.
pub const MAX_ITEM_COST: u64 = 64;

/// Maximum weight of a lane, which bounds the length of a round for the other lanes.
pub const MAX_LANE_WEIGHT: u64 = 16;

/// Minimum loss of work that is counted, in s. Losses are rounded to whole seconds.
pub const MIN_LOSS_S: f64 = 0.5;
