//! Ads: what a job or a machine says of itself.

use crate::{Expr, Name, Value};
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Attributes by name. The values may be expressions that name others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ad {
    attributes: FxHashMap<Arc<str>, (Name, Arc<Expr>)>,
}

impl Ad {
    /// Sets an attribute to a value, in place of what it was.
    pub fn set(&mut self, name: &str, value: Value) {
        self.insert(Name::new(name), Expr::literal(value));
    }

    /// Sets an attribute to an expression, in place of what it was.
    pub fn insert(&mut self, name: Name, expr: Expr) {
        self.share(name, Arc::new(expr));
    }

    /// The same, where others hold the expression too.
    pub fn share(&mut self, name: Name, expr: Arc<Expr>) {
        self.attributes.insert(name.shared_key(), (name, expr));
    }

    pub fn get(&self, name: &str) -> Option<&Expr> {
        let found = if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
            self.attributes.get(name.to_ascii_lowercase().as_str())
        } else {
            self.attributes.get(name)
        };
        found.map(|(_, expr)| &**expr)
    }

    /// By the name's lower-case form.
    pub(crate) fn find(&self, key: &str) -> Option<&Expr> {
        self.attributes.get(key).map(|(_, expr)| &**expr)
    }

    pub fn contains(&self, name: &Name) -> bool {
        self.attributes.contains_key(name.key())
    }

    /// In the order of names.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Expr)> {
        let mut all: Vec<(&Name, &Expr)> = self
            .attributes
            .values()
            .map(|(name, expr)| (name, &**expr))
            .collect();
        all.sort_by_key(|(name, _)| *name);
        all.into_iter()
    }

    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.iter().map(|(name, _)| name)
    }
}
