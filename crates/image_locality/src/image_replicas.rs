//! On how many machines and in how many zones the image of each model is cached, and which idle
//! machines are worth keeping for the images in their caches.

use crate::ImageName;
use crate::constants::{MIN_IMAGE_MACHINES, MIN_IMAGE_ZONES};
use std::collections::HashMap;

/// How widely the image of a model is cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Spread {
    /// On no machine, as far as is known.
    Nowhere,
    /// On one machine.
    OneMachine,
    /// On several machines of one zone.
    OneZone,
    /// In at least [`MIN_IMAGE_ZONES`] zones.
    SeveralZones,
}

/// Number of machines that cache the image of each live service, by zone. Zones are indexes chosen
/// by the caller.
#[derive(Debug, Clone, Default)]
pub struct ImageReplicas {
    zones: usize,
    machine_counts: HashMap<ImageName, Vec<u32>>,
}

/// An idle machine that may be released.
#[derive(Debug, Clone, PartialEq)]
pub struct IdleMachine {
    /// Index of the zone.
    pub zone: usize,
    /// Images in its cache.
    pub images: Vec<ImageName>,
    /// Price per hour.
    pub price: f64,
}

impl ImageReplicas {
    /// Creates empty counts for the images of live models. Other images are ignored.
    pub fn new(live: impl IntoIterator<Item = ImageName>, zones: usize) -> ImageReplicas {
        let machine_counts = live.into_iter().map(|image| (image, vec![0; zones]));
        ImageReplicas {
            zones,
            machine_counts: machine_counts.collect(),
        }
    }

    /// Returns whether a live model uses this image.
    pub fn is_live(&self, image: &str) -> bool {
        self.machine_counts.contains_key(image)
    }

    /// Counts one more machine of the zone with the image.
    pub fn add(&mut self, image: &str, zone: usize) {
        if let Some(count) = self
            .machine_counts
            .get_mut(image)
            .and_then(|zones| zones.get_mut(zone))
        {
            *count += 1;
        }
    }

    /// Counts one machine of the zone with the image less.
    pub fn remove(&mut self, image: &str, zone: usize) {
        if let Some(count) = self
            .machine_counts
            .get_mut(image)
            .and_then(|zones| zones.get_mut(zone))
        {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the number of machines with the image.
    pub fn machines(&self, image: &str) -> u32 {
        self.machine_counts
            .get(image)
            .map_or(0, |zones| zones.iter().sum())
    }

    /// Returns the number of machines with the image in other zones than this.
    pub fn machines_outside_zone(&self, image: &str, zone: usize) -> u32 {
        let zones = self.machine_counts.get(image).into_iter().flatten().enumerate();
        zones
            .filter(|(other, _)| *other != zone)
            .map(|(_, count)| count)
            .sum()
    }

    /// Returns how widely the image is cached.
    pub fn spread(&self, image: &str) -> Spread {
        let counts = self.machine_counts.get(image).map_or(&[][..], Vec::as_slice);
        let zones = counts.iter().filter(|count| **count > 0).count();
        if zones >= MIN_IMAGE_ZONES {
            Spread::SeveralZones
        } else if zones == 0 {
            Spread::Nowhere
        } else if counts.iter().sum::<u32>() == 1 {
            Spread::OneMachine
        } else {
            Spread::OneZone
        }
    }

    /// Returns the number of live models of each [`Spread`], from the narrowest, for metrics.
    pub fn by_spread(&self) -> [usize; 4] {
        let mut counts = [0; 4];
        for image in self.machine_counts.keys() {
            counts[self.spread(image) as usize] += 1;
        }
        counts
    }

    /// Returns whether the loss of a machine of this zone would leave a live model with fewer copies
    /// than it should have.
    fn is_underreplicated_without(&self, image: &str, zone: usize) -> bool {
        let Some(counts) = self.machine_counts.get(image) else {
            return false;
        };
        let total: u32 = counts.iter().sum();
        let is_last_in_zone = counts.get(zone) == Some(&1);
        let others = counts
            .iter()
            .enumerate()
            .filter(|(other, count)| *other != zone && **count > 0);
        let min_zones = MIN_IMAGE_ZONES.min(self.zones);
        total <= MIN_IMAGE_MACHINES || is_last_in_zone && others.count() < min_zones
    }

    /// Returns for each of these idle machines whether it is worth keeping for its images, within a
    /// total price per hour. Machines that are not needed are removed from the counts. The rarest
    /// models come first, and of the machines with them the cheapest.
    pub fn worth_keeping(&mut self, idle: &[IdleMachine], max_price: f64) -> Vec<bool> {
        let fewest_copies = |replicas: &ImageReplicas, machine: &IdleMachine| {
            machine
                .images
                .iter()
                .filter(|image| replicas.is_live(image))
                .map(|image| replicas.machines(image))
                .min()
                .unwrap_or(u32::MAX)
        };
        // The images with the most copies are released first, then the most expensive machines, so that
        // what is kept is rare and cheap.
        let mut order: Vec<usize> = (0..idle.len()).collect();
        order.sort_by(|a, b| {
            let copies = |index: &usize| fewest_copies(self, &idle[*index]);
            copies(b)
                .cmp(&copies(a))
                .then(idle[*b].price.total_cmp(&idle[*a].price))
        });
        let mut keep = vec![false; idle.len()];
        let mut needed: Vec<usize> = Vec::new();
        for index in order {
            let machine = &idle[index];
            let is_needed = |image: &ImageName| self.is_underreplicated_without(image, machine.zone);
            if machine.images.iter().any(is_needed) {
                needed.push(index);
            } else {
                for image in &machine.images {
                    self.remove(image, machine.zone);
                }
            }
        }
        let mut budget = max_price;
        for index in needed.into_iter().rev() {
            if idle[index].price <= budget {
                budget -= idle[index].price;
                keep[index] = true;
            }
        }
        keep
    }
}

#[cfg(test)]
mod tests;
