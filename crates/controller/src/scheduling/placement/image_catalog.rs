//! Images that machines have or are fetching, numbered for the duration of a pass.

use std::collections::HashMap;

/// The state of an image in a pass.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ImageInfo {
    pub(super) size_gb: f64,
    /// Number of machines that have it or are fetching it.
    pub(super) copies: u32,
    /// Expected cost of evicting one of the copies, in s of replica downtime.
    pub(super) eviction_cost_s: f64,
}

/// Images by number. Machines refer to images by number because comparing names is slow.
#[derive(Default)]
pub(super) struct ImageCatalog<'a> {
    numbers: HashMap<&'a str, u32>,
    images: Vec<ImageInfo>,
}

impl<'a> ImageCatalog<'a> {
    /// Returns the image's number, if any machine has it or is fetching it.
    pub(super) fn number(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// Returns the image's number. A new image gets the next number and this size.
    pub(super) fn intern(&mut self, name: &'a str, size_gb: f64) -> u32 {
        let next_number = self.images.len() as u32;
        let number = *self.numbers.entry(name).or_insert(next_number);
        if number == next_number {
            self.images.push(ImageInfo {
                size_gb,
                ..ImageInfo::default()
            });
        }
        number
    }

    /// Returns the state of the image, or the default for a number that is not in the catalog.
    pub(super) fn get(&self, number: u32) -> ImageInfo {
        self.images.get(number as usize).copied().unwrap_or_default()
    }

    pub(super) fn get_mut(&mut self, number: u32) -> Option<&mut ImageInfo> {
        self.images.get_mut(number as usize)
    }

    /// Updates all images, given their names.
    pub(super) fn update_all(&mut self, mut update: impl FnMut(&str, &mut ImageInfo)) {
        for (name, number) in &self.numbers {
            if let Some(image_info) = self.images.get_mut(*number as usize) {
                update(name, image_info);
            }
        }
    }
}

/// Adds an image to those that a machine has or will have. Returns whether it is new.
pub(super) fn add_image(images: &mut Vec<u32>, number: u32) -> bool {
    let is_new = !images.contains(&number);
    if is_new {
        images.push(number);
    }
    is_new
}
