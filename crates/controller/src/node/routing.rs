//! Routing of HTTP requests by method and path.

use crate::condor;
use crate::job_api::{admission, authorization};
use crate::model::JobId;
use crate::protocol::paths;

/// The request that a method and path denote, or the status with which it is rejected.
pub(super) enum Route {
    Submit,
    Poll(JobId),
    Cancel(JobId),
    Report,
    Health,
    Counts,
    /// Holders of counted resources, of the team in the query if there is one.
    Holders(Option<String>),
    /// Why a job waits, for the team in the query if there is one.
    Explain(JobId, Option<String>),
    Metrics,
    /// HTCondor submit files and their clusters, for the team in the query if there is one.
    Condor(condor::Route, Option<String>),
    Refuse(u16),
}

/// Finds the route of a method and path with its query.
pub(super) fn route(method: &str, path: &str) -> Route {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let allow = |allowed_method: &str, route: Route| {
        if method == allowed_method {
            route
        } else {
            Route::Refuse(405)
        }
    };
    match path {
        paths::HEALTH => return allow("GET", Route::Health),
        paths::REPORT => return allow("POST", Route::Report),
        paths::JOBS => return allow("POST", Route::Submit),
        paths::COUNTS => return allow("GET", Route::Counts),
        paths::METRICS => return allow("GET", Route::Metrics),
        _ => (),
    }
    if let Some(rest) = path
        .strip_prefix(paths::COUNTS)
        .and_then(|rest| rest.strip_prefix('/'))
    {
        let job = rest.strip_prefix(paths::EXPLAIN).and_then(admission::parse_id);
        return match job {
            Some(job) => allow("GET", Route::Explain(job, authorization::team_in_query(query))),
            None if rest == paths::HOLDERS => {
                allow("GET", Route::Holders(authorization::team_in_query(query)))
            }
            None => Route::Refuse(404),
        };
    }
    if let Some(rest) = path.strip_prefix(paths::CONDOR) {
        return match condor::route(method, rest) {
            Ok(route) => Route::Condor(route, authorization::team_in_query(query)),
            Err(status) => Route::Refuse(status),
        };
    }
    let Some(rest) = path
        .strip_prefix(paths::JOBS)
        .and_then(|rest| rest.strip_prefix('/'))
    else {
        return Route::Refuse(404);
    };
    match rest.split_once('/') {
        None => match admission::parse_id(rest) {
            Some(job) => allow("GET", Route::Poll(job)),
            None => Route::Refuse(404),
        },
        Some((id, paths::CANCEL)) => match admission::parse_id(id) {
            Some(job) => allow("POST", Route::Cancel(job)),
            None => Route::Refuse(404),
        },
        Some(_) => Route::Refuse(404),
    }
}
