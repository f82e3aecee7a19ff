//! Ads: what a job or a machine says of itself.

use crate::{Expr, Name, Value};

/// Attributes by name. The values may be expressions that name others.
///
/// In the order of the names' lengths, then of the names: ads have a dozen attributes, are made by the thousand, and are
/// looked into by the million, for which a sorted list does better than a table.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ad {
    attributes: Vec<(Name, Expr)>,
}

impl Ad {
    /// An ad with room for so many attributes.
    pub fn with_capacity(attributes: usize) -> Ad {
        Ad {
            attributes: Vec::with_capacity(attributes),
        }
    }

    /// Sets an attribute to a value, in place of what it was.
    pub fn set(&mut self, name: &str, value: Value) {
        self.insert(Name::new(name), Expr::literal(value));
    }

    /// Sets an attribute to an expression, in place of what it was.
    pub fn insert(&mut self, name: Name, expr: Expr) {
        match self.position(name.key()) {
            Ok(at) => self.attributes[at] = (name, expr),
            Err(at) => self.attributes.insert(at, (name, expr)),
        }
    }

    fn position(&self, key: &str) -> Result<usize, usize> {
        self.attributes.binary_search_by(|(name, _)| {
            let order = name.key().len().cmp(&key.len());
            order.then_with(|| name.key().cmp(key))
        })
    }

    pub fn get(&self, name: &str) -> Option<&Expr> {
        if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
            self.find(&name.to_ascii_lowercase())
        } else {
            self.find(name)
        }
    }

    /// By the name's lower-case form.
    pub(crate) fn find(&self, key: &str) -> Option<&Expr> {
        let at = self.position(key).ok()?;
        self.attributes.get(at).map(|(_, expr)| expr)
    }

    pub fn contains(&self, name: &Name) -> bool {
        self.find(name.key()).is_some()
    }

    /// In no order that means anything.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Expr)> {
        self.attributes.iter().map(|(name, expr)| (name, expr))
    }

    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.iter().map(|(name, _)| name)
    }
}
