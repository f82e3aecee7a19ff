//! Images that machines have or fetch, numbered for the length of a pass.

use std::collections::HashMap;

/// What a pass knows of an image.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct KnownImage {
    pub(super) size_gb: f64,
    /// Machines that have it or fetch it.
    pub(super) copies: u32,
    /// Expected cost, in s in which a replica is not up, of evicting one of the copies.
    pub(super) eviction_cost_s: f64,
}

/// Images by number: machines refer to them by number, as comparing names is slow.
#[derive(Default)]
pub(super) struct ImageCatalog<'a> {
    numbers: HashMap<&'a str, u32>,
    images: Vec<KnownImage>,
}

impl<'a> ImageCatalog<'a> {
    /// The image's number, if any machine has it or fetches it.
    pub(super) fn number(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// The image's number; an image that is new gets one, and this size.
    pub(super) fn intern(&mut self, name: &'a str, size_gb: f64) -> u32 {
        let next = self.images.len() as u32;
        let number = *self.numbers.entry(name).or_insert(next);
        if number == next {
            self.images.push(KnownImage {
                size_gb,
                ..KnownImage::default()
            });
        }
        number
    }

    /// What is known of the image; the default for a number that is not in the catalog.
    pub(super) fn get(&self, number: u32) -> KnownImage {
        self.images.get(number as usize).copied().unwrap_or_default()
    }

    pub(super) fn get_mut(&mut self, number: u32) -> Option<&mut KnownImage> {
        self.images.get_mut(number as usize)
    }

    /// All images, with their names.
    pub(super) fn update_all(&mut self, mut update: impl FnMut(&str, &mut KnownImage)) {
        for (name, number) in &self.numbers {
            if let Some(images) = self.images.get_mut(*number as usize) {
                update(name, images);
            }
        }
    }
}

/// Notes that a machine has, or will have, an image. Returns whether that is new.
pub(super) fn add_image(images: &mut Vec<u32>, number: u32) -> bool {
    let is_new = !images.contains(&number);
    if is_new {
        images.push(number);
    }
    is_new
}
