//! Records of the controllers in the key-value store, and the leader's writes to them.

pub(crate) mod batch_writer;
pub mod keys;
pub mod records;
