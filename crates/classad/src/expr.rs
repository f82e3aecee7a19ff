//! Expressions as trees.

use crate::constants::MAX_DEPTH;
use crate::functions::Function;
use crate::{Name, Value};
use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Whose attribute is meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Scope {
    /// The enclosing records', else the own ad's, else the other's.
    Any,
    My,
    Target,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unary {
    Minus,
    Plus,
    Not,
    BitNot,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Binary {
    Or,
    And,
    BitOr,
    BitXor,
    BitAnd,
    Equal,
    NotEqual,
    Is,
    Isnt,
    Less,
    AtMost,
    More,
    AtLeast,
    ShiftLeft,
    ShiftRight,
    ShiftRightZero,
    Plus,
    Minus,
    Times,
    Divide,
    Modulo,
}

impl Binary {
    /// How tightly it binds; all of them lean to the left.
    pub(crate) fn binding(self) -> u8 {
        match self {
            Binary::Or => 2,
            Binary::And => 3,
            Binary::BitOr => 4,
            Binary::BitXor => 5,
            Binary::BitAnd => 6,
            Binary::Equal | Binary::NotEqual | Binary::Is | Binary::Isnt => 7,
            Binary::Less | Binary::AtMost | Binary::More | Binary::AtLeast => 8,
            Binary::ShiftLeft | Binary::ShiftRight | Binary::ShiftRightZero => 9,
            Binary::Plus | Binary::Minus => 10,
            Binary::Times | Binary::Divide | Binary::Modulo => 11,
        }
    }

    pub fn text(self) -> &'static str {
        match self {
            Binary::Or => "||",
            Binary::And => "&&",
            Binary::BitOr => "|",
            Binary::BitXor => "^",
            Binary::BitAnd => "&",
            Binary::Equal => "==",
            Binary::NotEqual => "!=",
            Binary::Is => "=?=",
            Binary::Isnt => "=!=",
            Binary::Less => "<",
            Binary::AtMost => "<=",
            Binary::More => ">",
            Binary::AtLeast => ">=",
            Binary::ShiftLeft => "<<",
            Binary::ShiftRight => ">>",
            Binary::ShiftRightZero => ">>>",
            Binary::Plus => "+",
            Binary::Minus => "-",
            Binary::Times => "*",
            Binary::Divide => "/",
            Binary::Modulo => "%",
        }
    }
}

/// The attributes of a record, in the order written.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Record(pub Vec<(Name, Expr)>);

impl Record {
    pub(crate) fn find(&self, key: &str) -> Option<&Expr> {
        // The last of a name counts, as if it had been set again.
        let found = self.0.iter().rev().find(|(name, _)| name.key() == key);
        found.map(|(_, expr)| expr)
    }
}

#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    Literal(Value),
    Attribute(Scope, Name),
    Select(Box<Expr>, Name),
    Index(Box<(Expr, Expr)>),
    Unary(Unary, Box<Expr>),
    Binary(Binary, Box<(Expr, Expr)>),
    /// `a ? b : c`
    Choose(Box<(Expr, Expr, Expr)>),
    /// `a ?: b`: the second where the first is UNDEFINED.
    Otherwise(Box<(Expr, Expr)>),
    Call(&'static Function, Vec<Expr>),
    List(Vec<Expr>),
    Record(Arc<Record>),
}

/// An expression, and where it begins in its text.
#[derive(Debug, Clone)]
pub struct Expr {
    pub kind: Kind,
    /// Byte at which it begins.
    pub at: usize,
    depth: u16,
}

/// Wherever they stand, the same expressions are equal.
impl PartialEq for Expr {
    fn eq(&self, other: &Expr) -> bool {
        self.kind == other.kind
    }
}

impl Expr {
    pub fn literal(value: Value) -> Expr {
        Expr {
            kind: Kind::Literal(value),
            at: 0,
            depth: 1,
        }
    }

    /// `None` if it would be nested too deeply: whoever walks it does so by recursion.
    pub(crate) fn new(kind: Kind, at: usize) -> Option<Expr> {
        let mut expr = Expr { kind, at, depth: 0 };
        let below = expr.children().map(|child| child.depth).max().unwrap_or(0);
        expr.depth = below + 1;
        (expr.depth <= MAX_DEPTH).then_some(expr)
    }

    /// The expressions of which it is made.
    pub fn children(&self) -> impl Iterator<Item = &Expr> {
        let few: [Option<&Expr>; 3] = match &self.kind {
            Kind::Select(one, _) | Kind::Unary(_, one) => [Some(one), None, None],
            Kind::Index(two) | Kind::Binary(_, two) | Kind::Otherwise(two) => {
                [Some(&two.0), Some(&two.1), None]
            }
            Kind::Choose(three) => [Some(&three.0), Some(&three.1), Some(&three.2)],
            _ => [None; 3],
        };
        let many: &[Expr] = match &self.kind {
            Kind::Call(_, entries) | Kind::List(entries) => entries,
            _ => &[],
        };
        let named: &[(Name, Expr)] = match &self.kind {
            Kind::Record(record) => &record.0,
            _ => &[],
        };
        few.into_iter()
            .flatten()
            .chain(many)
            .chain(named.iter().map(|(_, expr)| expr))
    }

    /// Every attribute that it names, whether or not an evaluation would come to it: those
    /// of its own records are left out.
    pub fn references(&self) -> Vec<Reference<'_>> {
        let mut found = Vec::new();
        self.collect(&mut Vec::new(), &mut found);
        found
    }

    fn collect<'e>(&'e self, records: &mut Vec<&'e Record>, found: &mut Vec<Reference<'e>>) {
        match &self.kind {
            Kind::Attribute(scope, name) => {
                let own =
                    *scope == Scope::Any && records.iter().any(|record| record.find(name.key()).is_some());
                if !own {
                    found.push(Reference {
                        scope: *scope,
                        name,
                        at: self.at,
                    });
                }
            }
            Kind::Record(record) => {
                records.push(record);
                for (_, expr) in &record.0 {
                    expr.collect(records, found);
                }
                records.pop();
            }
            _ => {
                for child in self.children() {
                    child.collect(records, found);
                }
            }
        }
    }

    /// The functions that it calls, and where.
    pub fn calls(&self) -> Vec<(&'static Function, usize)> {
        let mut found = Vec::new();
        self.collect_calls(&mut found);
        found.sort_by_key(|(_, at)| *at);
        found
    }

    fn collect_calls(&self, found: &mut Vec<(&'static Function, usize)>) {
        match &self.kind {
            Kind::Literal(_) | Kind::Attribute(..) => return,
            Kind::Call(function, _) => found.push((*function, self.at)),
            _ => (),
        }
        for child in self.children() {
            child.collect_calls(found);
        }
    }

    /// Equal expressions have the same; others hardly ever do.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = FxHasher::default();
        self.feed(&mut hasher);
        hasher.finish()
    }

    fn feed(&self, hasher: &mut FxHasher) {
        std::mem::discriminant(&self.kind).hash(hasher);
        match &self.kind {
            Kind::Literal(value) => feed_value(value, hasher),
            Kind::Attribute(scope, name) => (scope, name).hash(hasher),
            Kind::Select(_, name) => name.hash(hasher),
            Kind::Unary(operator, _) => std::mem::discriminant(operator).hash(hasher),
            Kind::Binary(operator, _) => std::mem::discriminant(operator).hash(hasher),
            Kind::Call(function, _) => function.name.hash(hasher),
            Kind::Record(record) => record.0.iter().for_each(|(name, _)| name.hash(hasher)),
            Kind::Index(_) | Kind::Choose(_) | Kind::Otherwise(_) | Kind::List(_) => (),
        }
        for child in self.children() {
            child.feed(hasher);
        }
    }

    /// The parts that all must hold: those between its outermost `&&`.
    pub fn terms(&self) -> Vec<&Expr> {
        let mut terms = Vec::new();
        let mut open = vec![self];
        while let Some(expr) = open.pop() {
            match &expr.kind {
                Kind::Binary(Binary::And, two) => open.extend([&two.1, &two.0]),
                _ => terms.push(expr),
            }
        }
        terms
    }
}

fn feed_value(value: &Value, hasher: &mut FxHasher) {
    std::mem::discriminant(value).hash(hasher);
    match value {
        Value::Bool(value) => value.hash(hasher),
        Value::Int(value) => value.hash(hasher),
        // As equality sees it, where the two zeros are the same.
        Value::Real(value) => (*value + 0.0).to_bits().hash(hasher),
        Value::Str(text) => text.hash(hasher),
        Value::List(entries) => entries.iter().for_each(|entry| feed_value(entry, hasher)),
        Value::Undefined | Value::Error | Value::Record(_) => (),
    }
}

/// A name in an expression.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reference<'e> {
    pub scope: Scope,
    pub name: &'e Name,
    /// Byte at which it stands.
    pub at: usize,
}
