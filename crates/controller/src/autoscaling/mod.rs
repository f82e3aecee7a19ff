//! Autoscaling: the target size of the cluster, and the scale-out requests for reaching it.

pub mod scale_out_request;
pub mod target_size;
