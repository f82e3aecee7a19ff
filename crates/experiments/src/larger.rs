//! A larger site from a given one: more machines in other zones, more work, quicker restarts.

use thiserror::Error;
use toml::{Table, Value};

/// How a site is made larger.
#[derive(Clone, Copy, Debug)]
pub struct Larger {
    /// By which machines, work and teams' bounds are multiplied.
    pub factor: f64,
    /// Part of each zone's machines that moves to the next zone, 0 to 1.
    pub shift: f64,
    /// How long, in s, until a process that ended is back.
    pub restart_s: f64,
}

/// A site that does not have the form it should have.
#[derive(Debug, Error, PartialEq)]
#[error("{place}: {why}")]
pub struct SiteError {
    place: String,
    why: &'static str,
}

fn wrong(place: &str, why: &'static str) -> SiteError {
    SiteError {
        place: place.to_owned(),
        why,
    }
}

/// The site of `text` made larger, as TOML. Its own days are left out.
///
/// # Errors
/// Where a table or a number that has to change is missing or of another kind.
pub fn larger(site: &Table, how: Larger) -> Result<Table, SiteError> {
    let mut site = site.clone();
    site.remove("day");
    let nodes = site
        .get_mut("nodes")
        .and_then(Value::as_table_mut)
        .ok_or_else(|| wrong("nodes", "is missing"))?;
    nodes.insert("restart_delay_s".to_owned(), Value::Float(how.restart_s));
    let zones: Vec<String> = nodes
        .get("zones")
        .and_then(Value::as_array)
        .map(|zones| {
            zones
                .iter()
                .filter_map(Value::as_str)
                .map(str::to_owned)
                .collect()
        })
        .unwrap_or_default();
    if zones.is_empty() {
        return Err(wrong("nodes.zones", "has no zone"));
    }
    for (list, needed) in [("capacity", true), ("machines", false)] {
        let entries = tables(&mut site, list, needed)?;
        for entry in entries.iter_mut() {
            for field in ["count", "spot"] {
                scale(entry, field, how.factor, list)?;
            }
        }
        let moved = shifted(entries, &zones, how.shift);
        *entries = moved.into_iter().map(Value::Table).collect();
    }
    for entry in tables(&mut site, "teams", true)? {
        for field in ["gpus", "gpus_max"] {
            scale(entry, field, how.factor, "teams")?;
        }
    }
    for entry in tables(&mut site, "jobs", true)? {
        scale(entry, "initial", how.factor, "jobs")?;
        let arrivals = entry
            .get_mut("arrivals")
            .ok_or_else(|| wrong("jobs", "a class has no `arrivals`"))?;
        scale(arrivals, "rate", how.factor, "jobs.arrivals")?;
    }
    Ok(site)
}

/// An array of tables; empty if there is none and none is needed.
fn tables<'a>(site: &'a mut Table, list: &str, needed: bool) -> Result<&'a mut Vec<Value>, SiteError> {
    if needed && !site.contains_key(list) {
        return Err(wrong(list, "is missing"));
    }
    match site
        .entry(list.to_owned())
        .or_insert_with(|| Value::Array(Vec::new()))
    {
        Value::Array(entries) if entries.iter().all(Value::is_table) => Ok(entries),
        _ => Err(wrong(list, "is not an array of tables")),
    }
}

/// Multiplies a number and keeps its kind. A field that is not there, or true or false, stays so.
fn scale(entry: &mut Value, field: &str, factor: f64, place: &str) -> Result<(), SiteError> {
    match entry.get_mut(field) {
        Some(Value::Integer(number)) => *number = (*number as f64 * factor).round() as i64,
        Some(Value::Float(number)) => *number *= factor,
        None | Some(Value::Boolean(_)) => {}
        Some(_) => return Err(wrong(&format!("{place}.{field}"), "is not a number")),
    }
    Ok(())
}

/// Moves a part of each entry to the next zone. Entries that then differ in counts only are one.
fn shifted(entries: &[Value], zones: &[String], part: f64) -> Vec<Table> {
    let mut all: Vec<Table> = Vec::new();
    for entry in entries.iter().filter_map(Value::as_table) {
        let at = entry
            .get("zone")
            .and_then(Value::as_str)
            .and_then(|zone| zones.iter().position(|known| known == zone));
        let (mut stays, mut goes) = (entry.clone(), entry.clone());
        if let Some(at) = at {
            let next = zones[(at + 1) % zones.len()].clone();
            goes.insert("zone".to_owned(), Value::String(next));
            for field in ["count", "spot"] {
                if let Some(Value::Integer(number)) = entry.get(field) {
                    let moves = (*number as f64 * part).round() as i64;
                    stays.insert(field.to_owned(), Value::Integer(number - moves));
                    goes.insert(field.to_owned(), Value::Integer(moves));
                }
            }
            add(&mut all, goes);
        }
        add(&mut all, stays);
    }
    all.retain(|entry| entry.get("count").and_then(Value::as_integer) != Some(0));
    all
}

fn add(all: &mut Vec<Table>, entry: Table) {
    let apart = |entry: &Table| {
        let mut apart = entry.clone();
        apart.remove("count");
        if matches!(apart.get("spot"), Some(Value::Integer(_))) {
            apart.remove("spot");
        }
        apart
    };
    let Some(same) = all.iter_mut().find(|known| apart(known) == apart(&entry)) else {
        all.push(entry);
        return;
    };
    for field in ["count", "spot"] {
        if let (Some(Value::Integer(sum)), Some(Value::Integer(more))) =
            (same.get_mut(field), entry.get(field))
        {
            *sum += more;
        }
    }
}

#[cfg(test)]
mod tests;
