use super::*;
use crate::job_api::admission::parse_id;

#[test]
fn job_ids_and_open_cluster_keys_round_trip() {
    let id = job_id(7, 12);
    assert_eq!(&*id.0, "wk-99000000000700000012");
    assert!(parse_id(&id.0).is_some() && is_reserved(&id));
    assert!(id.0.starts_with(&jobs_prefix("", 7)));
    assert_eq!(parse_open_key(&open_key(7)), Some(7));
    // An open key sorts after every job key, so that a page-by-page read sees it last.
    assert!(open_key(0) > records::job_key(&job_id(MAX_CLUSTER, u32::MAX).0));
    assert_eq!(parse_open_key("j/wk-7"), None);
}
