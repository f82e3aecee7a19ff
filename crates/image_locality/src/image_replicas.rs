//! On how many machines and in how many zones each model lies, and which idle machines are worth
//! their price for what lies on them.

use crate::Name;
use crate::constants::{MACHINES_WANTED, ZONES_WANTED};
use std::collections::HashMap;

/// How widely a model's weights lie.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Spread {
    /// On no machine, as far as is known.
    Nowhere,
    /// On one machine.
    OneMachine,
    /// On several machines of one zone.
    OneZone,
    /// In at least [`ZONES_WANTED`] zones.
    Zones,
}

/// Where the images of live services lie: machines by zone. Zones are numbers, as its caller
/// likes to number them.
#[derive(Debug, Clone, Default)]
pub struct ImageReplicas {
    zones: usize,
    machines: HashMap<Name, Vec<u32>>,
}

/// An idle machine that may go back.
#[derive(Debug, Clone, PartialEq)]
pub struct Idle {
    /// Its zone.
    pub zone: usize,
    /// What lies there.
    pub images: Vec<Name>,
    /// What it costs an hour.
    pub price: f64,
}

impl ImageReplicas {
    /// Of these live models, in so many zones. Other images count for nothing.
    pub fn of(live: impl IntoIterator<Item = Name>, zones: usize) -> ImageReplicas {
        let machines = live.into_iter().map(|image| (image, vec![0; zones]));
        ImageReplicas {
            zones,
            machines: machines.collect(),
        }
    }

    /// Whether a live model has this image.
    pub fn is_live(&self, image: &str) -> bool {
        self.machines.contains_key(image)
    }

    /// It lies on one more machine of a zone.
    pub fn add(&mut self, image: &str, zone: usize) {
        if let Some(count) = self.machines.get_mut(image).and_then(|zones| zones.get_mut(zone)) {
            *count += 1;
        }
    }

    /// A machine of a zone has it no longer.
    pub fn remove(&mut self, image: &str, zone: usize) {
        if let Some(count) = self.machines.get_mut(image).and_then(|zones| zones.get_mut(zone)) {
            *count = count.saturating_sub(1);
        }
    }

    /// On how many machines it lies.
    pub fn machines(&self, image: &str) -> u32 {
        self.machines.get(image).map_or(0, |zones| zones.iter().sum())
    }

    /// On how many machines of other zones than this it lies.
    pub fn outside(&self, image: &str, zone: usize) -> u32 {
        let zones = self.machines.get(image).into_iter().flatten().enumerate();
        zones
            .filter(|(other, _)| *other != zone)
            .map(|(_, count)| count)
            .sum()
    }

    /// How widely it lies.
    pub fn spread(&self, image: &str) -> Spread {
        let counts = self.machines.get(image).map_or(&[][..], Vec::as_slice);
        let zones = counts.iter().filter(|count| **count > 0).count();
        if zones >= ZONES_WANTED {
            Spread::Zones
        } else if zones == 0 {
            Spread::Nowhere
        } else if counts.iter().sum::<u32>() == 1 {
            Spread::OneMachine
        } else {
            Spread::OneZone
        }
    }

    /// So many live models of each spread, from the narrowest: for the metrics.
    pub fn by_spread(&self) -> [usize; 4] {
        let mut counts = [0; 4];
        for image in self.machines.keys() {
            counts[self.spread(image) as usize] += 1;
        }
        counts
    }

    /// Whether the loss of a machine of this zone would leave a live model with fewer copies than
    /// it is to have.
    fn lacks_without(&self, image: &str, zone: usize) -> bool {
        let Some(counts) = self.machines.get(image) else {
            return false;
        };
        let all: u32 = counts.iter().sum();
        let last_there = counts.get(zone) == Some(&1);
        let others = counts
            .iter()
            .enumerate()
            .filter(|(other, count)| *other != zone && **count > 0);
        let zones_wanted = ZONES_WANTED.min(self.zones);
        all <= MACHINES_WANTED || last_there && others.count() < zones_wanted
    }

    /// Which of these idle machines had better stay for what lies on them, within a price an
    /// hour altogether: `true` stays. Those count as copies; each that goes is none any more.
    /// The rarest models come first, and of the machines with them the cheapest.
    pub fn worth_keeping(&mut self, idle: &[Idle], most_price: f64) -> Vec<bool> {
        let rarest = |copies: &ImageReplicas, machine: &Idle| {
            machine
                .images
                .iter()
                .filter(|image| copies.is_live(image))
                .map(|image| copies.machines(image))
                .min()
                .unwrap_or(u32::MAX)
        };
        // The most copied go first, then the dearest, so that what stays is rare and cheap.
        let mut order: Vec<usize> = (0..idle.len()).collect();
        order.sort_by(|a, b| {
            let rare = |at: &usize| rarest(self, &idle[*at]);
            rare(b)
                .cmp(&rare(a))
                .then(idle[*b].price.total_cmp(&idle[*a].price))
        });
        let mut keep = vec![false; idle.len()];
        let mut wanted: Vec<usize> = Vec::new();
        for at in order {
            let machine = &idle[at];
            let lacks = |image: &Name| self.lacks_without(image, machine.zone);
            if machine.images.iter().any(lacks) {
                wanted.push(at);
            } else {
                for image in &machine.images {
                    self.remove(image, machine.zone);
                }
            }
        }
        let mut left = most_price;
        for at in wanted.into_iter().rev() {
            if idle[at].price <= left {
                left -= idle[at].price;
                keep[at] = true;
            }
        }
        keep
    }
}

#[cfg(test)]
mod tests;
