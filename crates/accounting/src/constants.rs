//! Every constant of this package, with unit and reason.

/// Ended jobs on one page of a team's history. About 100 bytes each: a full page is some 6 KiB,
/// below any `value_kb` that the platform sets, and is written anew with each batch of ends.
pub const ENTRIES_PER_PAGE: usize = 64;

/// Pages of a team's history that are kept entry by entry; older ones become totals. 512 ends are
/// what a user looks through; a leader holds 100 KiB for a team and reads nine keys.
pub const MAX_PAGES: usize = 8;

/// Rows of totals, by day and class, that a team's account keeps. About 70 bytes each: 8 KiB.
pub const MAX_TOTALS_ROWS: usize = 120;

/// Classes for which totals are kept apart; later ones are counted together. Users name classes,
/// and an account must stay bounded whatever they name.
pub const MAX_TOTALS_CLASSES: usize = 16;

/// Ends that were read and are not on a page yet; a reader waits while there are so many. At
/// some 300 bytes each, 600 KiB.
pub const MAX_PENDING_ENDS: usize = 2_000;

/// Changes that one end may need: its page, a page that is deleted, and the totals that take up
/// its entries.
pub const CHANGES_PER_END: usize = 3;

/// Bytes that an entry takes on a page beside its names, at most.
pub const ENTRY_OVERHEAD_BYTES: usize = 130;

/// Bytes that an entry usually takes on a page at most, with the names of its job and class: the
/// size by which a batch of pages is estimated.
pub const TYPICAL_ENTRY_BYTES: usize = 170;

/// Bytes that a row of totals takes, at most.
pub const TOTALS_ROW_BYTES: usize = 75;

/// Length, in bytes, up to which a team's name stands in keys as it is (escaped); a longer one
/// ends in a digest of the whole. The platform's keys have at most 200 bytes.
pub const MAX_TEAM_KEY_BYTES: usize = 120;

/// A day in ms.
pub const DAY_MS: u64 = 86_400_000;

/// Bits of the checksum that tells totals over different jobs apart. JSON numbers are exact to 53.
pub const CHECKSUM_BITS: u32 = 52;

/// What a lane of weight 1 may use in one turn, in units of cost. One request costs one: a
/// smaller quantum would only make empty rounds, a larger one longer waits.
pub const QUANTUM: u64 = 1;

/// Largest cost of one item; more counts as this, so that no item blocks its lane forever.
pub const MAX_ITEM_COST: u64 = 64;

/// Largest weight of a lane, which bounds how long a round is for the others.
pub const MAX_LANE_WEIGHT: u64 = 16;

/// Least loss of work that is counted, in s: losses are rounded to whole seconds.
pub const MIN_LOSS_S: f64 = 0.5;
