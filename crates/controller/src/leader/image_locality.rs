//! Statistics on machine images: how long fetches take, with which images replicas start, and how
//! often machines are lost.

use super::LeaderTerm;
use crate::allocations::Machine;
use crate::constants::{
    IDLE_IMAGE_PRICE_SHARE, IMAGE_COPIES_INTERVAL_MS, IMAGE_STARTS_DECAY_S, MACHINE_LOSS_PRIOR_PER_S,
    MACHINE_LOSS_PRIOR_WEIGHT_S, MAX_WARNED_IMAGES, MIN_IMAGE_START_RATE, MIN_SAMPLED_FETCH_S, SECOND_MS,
    WARNING_REPEAT_MS,
};
use crate::io::{Effect, Io};
use crate::model::{MachineId, Timestamp};
use crate::protocol::Shape;
use crate::scheduling::image_statistics::ImageStatistics;
use crate::scheduling::placement::MachineTypes;
use crate::settings::Settings;
use indigopath_image_locality::{FetchRates, FetchSample, IdleMachine, ImageReplicas, ImageSizeError};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Statistics of this term. A new leader starts without any, because minutes are enough to collect
/// them; until then the cloud's figures and conservative assumptions are used.
#[derive(Debug, Default)]
pub struct ImageLocality {
    /// Whether placement takes the locality of images into account.
    pub enabled: bool,
    pub rates: FetchRates,
    /// Rate at which replicas start with an image, per s, and the time of its last update.
    start_rates: HashMap<Arc<str>, (f64, Timestamp)>,
    updated_at: Timestamp,
    machine_uptime_s: f64,
    machines_lost: u32,
    spot_loss_rate: f64,
    /// Copies of the images of live models by zone, and when they were last counted.
    image_replicas: ImageReplicas,
    image_replicas_at: Timestamp,
    /// Fetch time of a GB by machine type, in s, according to the cloud.
    fetch_s_per_gb: HashMap<String, f64>,
    /// Images whose size operators were warned of, and when.
    size_warned_at: HashMap<Arc<str>, Timestamp>,
    /// Replicas placed on machines with and without their image.
    replicas_placed: [usize; 2],
}

impl ImageStatistics for ImageLocality {
    fn is_enabled(&self) -> bool {
        self.enabled
    }

    fn rates(&self) -> &FetchRates {
        &self.rates
    }

    fn starts_per_s(&self, image: &str) -> f64 {
        let (rate, at) = self.start_rates.get(image).copied().unwrap_or_default();
        rate * decay(at, self.updated_at)
    }

    fn loss_rate(&self, spot: bool) -> f64 {
        let own = (f64::from(self.machines_lost) + MACHINE_LOSS_PRIOR_PER_S * MACHINE_LOSS_PRIOR_WEIGHT_S)
            / (self.machine_uptime_s + MACHINE_LOSS_PRIOR_WEIGHT_S);
        if spot { own.max(self.spot_loss_rate) } else { own }
    }
}

impl ImageLocality {
    /// Live models by the spread of their image: on no machine, on one, in one zone, in several
    /// zones.
    pub fn by_spread(&self) -> [usize; 4] {
        self.image_replicas.by_spread()
    }

    /// Replicas that this leader placed on machines with and without their image.
    pub fn replicas_placed(&self) -> [usize; 2] {
        self.replicas_placed
    }

    /// Records the start of a replica on a machine with (`cached`) or without its image.
    pub fn on_replica_started(&mut self, image: &Arc<str>, cached: bool, now: Timestamp) {
        self.replicas_placed[usize::from(!cached)] += 1;
        let (rate, at) = self.start_rates.entry(image.clone()).or_insert((0.0, now));
        *rate = *rate * decay(*at, now) + 1.0 / IMAGE_STARTS_DECAY_S;
        *at = now;
    }

    /// Records the number of machines up since the last call, and the current loss rate of spot
    /// machines.
    pub fn record_uptime(&mut self, machines: usize, spot_loss_rate: f64, now: Timestamp) {
        if self.updated_at > 0 {
            self.machine_uptime_s +=
                machines as f64 * now.saturating_sub(self.updated_at) as f64 / SECOND_MS as f64;
        }
        self.updated_at = now;
        self.spot_loss_rate = spot_loss_rate;
    }

    /// Stops counting the images of a machine that is being released; otherwise the machine with
    /// the other copy could be released a moment later.
    pub fn on_machine_releasing(&mut self, machine: &Machine, settings: &Settings) {
        let zones = &settings.deployment.zones;
        if let Some(zone) = zones.iter().position(|zone| *zone == machine.zone) {
            for cached in machine.images.contents() {
                self.image_replicas.remove(&cached.image, zone);
            }
        }
    }

    /// Records the loss of a machine that had been up.
    pub fn on_machine_lost(&mut self) {
        self.machines_lost += 1;
    }

    /// Forgets images with which no replica has started for a long time.
    pub fn forget_rare_images(&mut self) {
        let now = self.updated_at;
        self.start_rates
            .retain(|_, (rate, at)| *rate * decay(*at, now) > MIN_IMAGE_START_RATE);
    }

    /// Records that a machine of this type fetched an image of `image_gb` GB while `others` other fetches
    /// ran in parallel.
    pub fn on_image_fetched(&mut self, machine_type: &str, image_gb: f64, took_ms: Timestamp, others: f64) {
        let Some(s_per_gb) = self.fetch_s_per_gb.get(machine_type) else {
            return;
        };
        let nominal_s = image_gb * s_per_gb;
        // The duration of a short fetch consists mostly of the delays of the command and the
        // report.
        if nominal_s >= MIN_SAMPLED_FETCH_S {
            let took_s = took_ms as f64 / SECOND_MS as f64;
            self.rates.record(
                machine_type,
                FetchSample {
                    nominal_s,
                    duration_s: took_s,
                    concurrent_fetches: others,
                },
            );
        }
    }
}

fn decay(at: Timestamp, now: Timestamp) -> f64 {
    let since_s = now.saturating_sub(at) as f64 / SECOND_MS as f64;
    (-since_s / IMAGE_STARTS_DECAY_S).exp()
}

impl LeaderTerm {
    /// Updates the statistics that depend on time, before a pass.
    pub(super) fn update_image_locality(
        &mut self,
        types: &MachineTypes,
        settings: &Settings,
        now: Timestamp,
    ) {
        self.image_locality.enabled = settings.operator.image_locality;
        if self.image_locality.fetch_s_per_gb.len() != types.len() {
            let fetch_times = types
                .iter()
                .map(|(name, machine_type)| (name.clone(), machine_type.fetch_s(1.0)));
            self.image_locality.fetch_s_per_gb = fetch_times.collect();
        }
        let mut machines_up = 0;
        for machine in self.machines.values_mut() {
            machines_up += usize::from(machine.is_up());
            if machine.images.cache_gb() == f64::INFINITY
                && let Some(machine_type) = types.get(&machine.machine_type)
            {
                machine.images.set_cache_gb(machine_type.cache_gb);
            }
        }
        if now >= self.image_locality.image_replicas_at + IMAGE_COPIES_INTERVAL_MS
            || self.image_locality.image_replicas_at == 0
        {
            self.image_locality.image_replicas_at = now;
            self.update_image_replicas(settings);
        }
        let spot_loss_rate = self.autoscaler.spot_losses().rate();
        self.image_locality
            .record_uptime(machines_up, spot_loss_rate, now);
        self.image_locality.forget_rare_images();
    }

    /// Counts the copies of the images of live services by zone.
    fn update_image_replicas(&mut self, settings: &Settings) {
        let zones = &settings.deployment.zones;
        let live = self.jobs.values().filter(|job| job.spec.shape == Shape::Service);
        let live: HashSet<Arc<str>> = live.map(|job| job.spec.image.clone()).collect();
        let mut image_replicas = ImageReplicas::new(live, zones.len());
        let is_usable = |machine: &&Machine| machine.is_up() && !machine.releasing && !machine.unreachable;
        for machine in self.machines.values().filter(is_usable) {
            let Some(zone) = zones.iter().position(|zone| *zone == machine.zone) else {
                continue;
            };
            for cached in machine.images.contents() {
                if machine.has_image(&cached.image) {
                    image_replicas.add(&cached.image, zone);
                }
            }
        }
        self.image_locality.image_replicas = image_replicas;
    }

    /// Idle machines worth keeping for the images on them. They are released last, and together
    /// cost only a small share of the whole fleet's price.
    pub(super) fn machines_kept_for_images(
        &self,
        types: &MachineTypes,
        settings: &Settings,
    ) -> HashSet<MachineId> {
        if !settings.operator.image_locality {
            return HashSet::new();
        }
        let price = |machine: &Machine| {
            types.get(&machine.machine_type).map_or(0.0, |machine_type| {
                if machine.spot {
                    machine_type.spot_price
                } else {
                    machine_type.price
                }
            })
        };
        let zones = &settings.deployment.zones;
        let mut names = Vec::new();
        let mut idle = Vec::new();
        for machine in self.machines.values() {
            let live = |image: &str| self.image_locality.image_replicas.is_live(image);
            if machine.idle_since.is_none() || machine.releasing || machine.reclaim_notice_until.is_some() {
                continue;
            }
            let images: Vec<Arc<str>> = machine
                .images
                .contents()
                .filter(|cached| live(&cached.image))
                .map(|cached| cached.image.clone())
                .collect();
            if let Some(zone) = zones.iter().position(|zone| *zone == machine.zone)
                && !images.is_empty()
            {
                names.push(machine.id.clone());
                idle.push(IdleMachine {
                    zone,
                    images,
                    price: price(machine),
                });
            }
        }
        if idle.is_empty() {
            return HashSet::new();
        }
        let fleet_price: f64 = self.machines.values().map(price).sum();
        let keep = self
            .image_locality
            .image_replicas
            .clone()
            .worth_keeping(&idle, fleet_price * IDLE_IMAGE_PRICE_SHARE);
        let kept = names.into_iter().zip(keep).filter(|(_, keep)| *keep);
        kept.map(|(name, _)| name).collect()
    }

    /// Warns operators of models too large for the cache of any machine. They are placed
    /// nevertheless.
    pub(super) fn warn_about_image_sizes(&mut self, types: &MachineTypes, io: &mut Io) {
        for job in self.jobs.values().filter(|job| job.spec.shape == Shape::Service) {
            let image = &job.spec.image;
            let warned_at = self.image_locality.size_warned_at.get(image);
            if warned_at.is_some_and(|at| io.now < at + WARNING_REPEAT_MS) {
                continue;
            }
            let allowed = types.values().filter(|machine_type| {
                job.spec
                    .types
                    .as_ref()
                    .is_none_or(|types| types.contains(&machine_type.name))
            });
            let largest = allowed
                .map(|machine_type| machine_type.cache_gb)
                .fold(0.0, f64::max);
            let Some(problem) = ImageSizeError::check(image, job.spec.image_gb, largest) else {
                continue;
            };
            self.image_locality.size_warned_at.insert(image.clone(), io.now);
            if problem.exceeds_all_caches() {
                io.effects
                    .push(Effect::Warning(format!("class={} {problem}", job.spec.class)));
            } else {
                log::info!("class={} {problem}", job.spec.class);
            }
        }
        let jobs = self.jobs.as_map();
        if self.image_locality.size_warned_at.len() > MAX_WARNED_IMAGES {
            let live: HashSet<&Arc<str>> = jobs.values().map(|job| &job.spec.image).collect();
            self.image_locality
                .size_warned_at
                .retain(|image, _| live.contains(image));
        }
    }
}
