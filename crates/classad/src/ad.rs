//! Ads: the attributes that describe a job or a machine.

use crate::{Expr, Name, Value};

/// Attributes by name. Values are expressions and may refer to other attributes.
///
/// Stored as a list sorted by name length, then by name. Ads have about a dozen attributes,
/// are created by the thousand and are looked up by the million; a sorted list is faster than
/// a hash table for that.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ad {
    attributes: Vec<(Name, Expr)>,
}

impl Ad {
    /// Creates an empty ad with capacity for the given number of attributes.
    pub fn with_capacity(attributes: usize) -> Ad {
        Ad {
            attributes: Vec::with_capacity(attributes),
        }
    }

    /// Sets an attribute to a value, replacing any previous one.
    pub fn set(&mut self, name: &str, value: Value) {
        self.insert(Name::new(name), Expr::literal(value));
    }

    /// Sets an attribute to an expression, replacing any previous one.
    pub fn insert(&mut self, name: Name, expr: Expr) {
        match self.position(name.key()) {
            Ok(index) => self.attributes[index] = (name, expr),
            Err(index) => self.attributes.insert(index, (name, expr)),
        }
    }

    /// The index of the attribute, or the index at which to insert it.
    fn position(&self, key: &str) -> Result<usize, usize> {
        self.attributes.binary_search_by(|(name, _)| {
            let order = name.key().len().cmp(&key.len());
            order.then_with(|| name.key().cmp(key))
        })
    }

    /// Looks up an attribute; case is ignored.
    pub fn get(&self, name: &str) -> Option<&Expr> {
        if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
            self.find(&name.to_ascii_lowercase())
        } else {
            self.find(name)
        }
    }

    /// Looks up an attribute by the lower-case form of its name.
    pub(crate) fn find(&self, key: &str) -> Option<&Expr> {
        let index = self.position(key).ok()?;
        self.attributes.get(index).map(|(_, expr)| expr)
    }

    pub fn contains(&self, name: &Name) -> bool {
        self.find(name.key()).is_some()
    }

    /// Iterates over the attributes in an unspecified order.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Expr)> {
        self.attributes.iter().map(|(name, expr)| (name, expr))
    }

    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.iter().map(|(name, _)| name)
    }
}
