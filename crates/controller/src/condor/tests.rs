use super::*;
use crate::job_api::admission::parse_id;

#[test]
fn ids_of_jobs_and_keys_of_open_clusters_read_back() {
    let id = job_id(7, 12);
    assert_eq!(&*id.0, "wk-99000000000700000012");
    assert!(parse_id(&id.0).is_some() && is_reserved(&id));
    assert!(id.0.starts_with(&jobs_prefix("", 7)));
    assert_eq!(parse_open_key(&open_key(7)), Some(7));
    // Read after every job, so that what is not open by then was open before.
    assert!(open_key(0) > records::job_key(&job_id(MAX_CLUSTER, u32::MAX).0));
    assert_eq!(parse_open_key("j/wk-7"), None);
}
