//! A model of the cloud that follows its published protocol.

use indigopath_controller::protocol::{
    LaunchRequest, ListedMachine, ListedStatus, MachineNames, MachinePage, MachineType,
};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Default lag of the machine list, in ms.
const DEFAULT_LIST_LAG_MS: u64 = 3_000;

/// Time for which a machine that has died is still listed as running, in ms. Then it is listed as failed.
const DEATH_UNNOTICED_MS: u64 = 30_000;

/// A launched machine.
pub struct CloudMachine {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub launched_at: u64,
    pub ready_at: u64,
    pub removed_at: Option<u64>,
    /// When it stopped on its own, with everything on it.
    pub died_at: Option<u64>,
    /// Address of its worker, if it is not the machine's name.
    pub addr: Option<String>,
}

/// The cloud's machines, machine types and capacity.
#[derive(Default)]
pub struct Cloud {
    pub types: Vec<MachineType>,
    pub machines: BTreeMap<String, CloudMachine>,
    launch_responses: BTreeMap<String, Value>,
    pub outage: bool,
    /// Kinds without capacity: type or `*`, and whether spot.
    pub unavailable_kinds: BTreeSet<(String, bool)>,
    /// How many of the next launched machines never boot.
    pub failing_launches: u32,
    pub launched_total: u32,
    released: Vec<String>,
    pub list_lag_ms: Option<u64>,
    /// Limit on the number of machines at a time, if any.
    pub max_machines: Option<usize>,
    /// Range of boot times in s, overriding those of the machine types.
    pub boot_range_s: Option<(f64, f64)>,
}

impl Cloud {
    /// Launches a machine; returns its id.
    pub fn launch(&mut self, machine_type: &str, zone: &str, spot: bool, now: u64) -> String {
        let boot_s = self
            .types
            .iter()
            .find(|known| known.name == machine_type)
            .unwrap()
            .boot_s;
        // Spread evenly over the range, the same in each run.
        let boot_s = self.boot_range_s.map_or(boot_s, |(least, most)| {
            least + (most - least) * (self.machines.len() % 7) as f64 / 6.0
        });
        let dud = self.failing_launches > 0;
        self.failing_launches = self.failing_launches.saturating_sub(1);
        let id = format!("m-{:06}", self.machines.len());
        let up_at = if dud {
            u64::MAX
        } else {
            now + (boot_s * 1000.0) as u64
        };
        let rented = CloudMachine {
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            spot,
            launched_at: now,
            ready_at: up_at,
            removed_at: None,
            died_at: None,
            addr: None,
        };
        self.machines.insert(id.clone(), rented);
        self.launched_total += 1;
        id
    }

    /// Removes a machine that was released or reclaimed.
    pub fn remove(&mut self, id: &str, now: u64) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.removed_at.get_or_insert(now);
        }
    }

    /// Stops a machine on its own. It stays launched until it is released.
    pub fn kill(&mut self, id: &str, now: u64) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.ready_at = u64::MAX;
            machine.died_at.get_or_insert(now);
        }
    }

    /// Whether such a request was already executed: a repetition launches nothing.
    pub fn has_executed(&self, request: &str) -> bool {
        self.launch_responses.contains_key(request)
    }

    /// Takes the machines that were released since the last call.
    pub fn take_released(&mut self) -> Vec<String> {
        std::mem::take(&mut self.released)
    }

    /// Executes a request.
    pub fn handle(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> (u16, Value) {
        if self.outage {
            return (503, json!({ "error": "trouble" }));
        }
        match (method, path.split('?').next().unwrap_or(path)) {
            ("GET", "/flavors") => (200, json!({ "Rigs": self.types })),
            ("GET", "/rentals") => (200, self.list(now)),
            ("POST", "/rentals") => {
                let request: LaunchRequest = serde_json::from_slice(body).unwrap();
                assert!((1..=50).contains(&request.count));
                if let Some(answer) = self.launch_responses.get(&request.request) {
                    return (200, answer.clone());
                }
                if self
                    .unavailable_kinds
                    .contains(&(request.machine_type.clone(), request.spot))
                    || self.unavailable_kinds.contains(&("*".to_owned(), request.spot))
                {
                    return (503, json!({ "error": "no capacity" }));
                }
                let here = self
                    .machines
                    .values()
                    .filter(|machine| machine.removed_at.is_none())
                    .count();
                let left = self
                    .max_machines
                    .map_or(usize::MAX, |most| most.saturating_sub(here));
                if left == 0 {
                    return (503, json!({ "error": "no capacity" }));
                }
                let machines = (0..request.count.min(u32::try_from(left).unwrap_or(u32::MAX)))
                    .map(|_| self.launch(&request.machine_type, &request.zone, request.spot, now))
                    .collect();
                let answer = serde_json::to_value(MachineNames { machines }).unwrap();
                self.launch_responses.insert(request.request, answer.clone());
                (200, answer)
            }
            ("POST", "/rentals/return") => {
                let names: MachineNames = serde_json::from_slice(body).unwrap();
                assert!(names.machines.len() <= 100);
                for id in names.machines {
                    self.remove(&id, now);
                    self.released.push(id);
                }
                (200, json!({}))
            }
            other => panic!("unknown request to the cloud: {other:?}"),
        }
    }

    fn list(&self, now: u64) -> Value {
        let then = now.saturating_sub(self.list_lag_ms.unwrap_or(DEFAULT_LIST_LAG_MS));
        let machines = self
            .machines
            .iter()
            .filter(|(_, machine)| {
                (machine.launched_at <= then || machine.launched_at == 0)
                    && machine.removed_at.is_none_or(|gone| gone > then)
            })
            .map(|(id, machine)| ListedMachine {
                id: id.clone(),
                addr: machine.addr.clone().or_else(|| Some(id.clone())),
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                status: match machine.died_at {
                    Some(died_at) if then >= died_at + DEATH_UNNOTICED_MS => ListedStatus::Failed,
                    Some(_) => ListedStatus::Running,
                    None if machine.ready_at <= then => ListedStatus::Running,
                    None => ListedStatus::Booting,
                },
                age_s: then.saturating_sub(machine.launched_at) as f64 / 1000.0,
            })
            .collect();
        serde_json::to_value(MachinePage {
            machines,
            has_more: false,
        })
        .unwrap()
    }
}
