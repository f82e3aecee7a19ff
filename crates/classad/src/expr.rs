//! Expression trees.

use crate::constants::MAX_DEPTH;
use crate::functions::Function;
use crate::{Name, Value};
use rustc_hash::FxHasher;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Which ad an attribute reference is resolved in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Scope {
    /// No prefix: the enclosing records first, then the own ad, then the other ad.
    Any,
    /// `MY.`: the own ad.
    My,
    /// `TARGET.`: the other ad.
    Target,
}

/// A prefix operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnaryOp {
    Minus,
    Plus,
    Not,
    BitNot,
}

/// A binary operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BinaryOp {
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
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    ShiftLeft,
    ShiftRight,
    ShiftRightZero,
    Plus,
    Minus,
    Times,
    Divide,
    Modulo,
}

impl BinaryOp {
    /// The precedence; higher binds more tightly. All binary operators are left-associative.
    pub(crate) fn precedence(self) -> u8 {
        match self {
            BinaryOp::Or => 2,
            BinaryOp::And => 3,
            BinaryOp::BitOr => 4,
            BinaryOp::BitXor => 5,
            BinaryOp::BitAnd => 6,
            BinaryOp::Equal | BinaryOp::NotEqual | BinaryOp::Is | BinaryOp::Isnt => 7,
            BinaryOp::Less | BinaryOp::LessOrEqual | BinaryOp::Greater | BinaryOp::GreaterOrEqual => 8,
            BinaryOp::ShiftLeft | BinaryOp::ShiftRight | BinaryOp::ShiftRightZero => 9,
            BinaryOp::Plus | BinaryOp::Minus => 10,
            BinaryOp::Times | BinaryOp::Divide | BinaryOp::Modulo => 11,
        }
    }

    /// The operator as it is written.
    pub fn symbol(self) -> &'static str {
        match self {
            BinaryOp::Or => "||",
            BinaryOp::And => "&&",
            BinaryOp::BitOr => "|",
            BinaryOp::BitXor => "^",
            BinaryOp::BitAnd => "&",
            BinaryOp::Equal => "==",
            BinaryOp::NotEqual => "!=",
            BinaryOp::Is => "=?=",
            BinaryOp::Isnt => "=!=",
            BinaryOp::Less => "<",
            BinaryOp::LessOrEqual => "<=",
            BinaryOp::Greater => ">",
            BinaryOp::GreaterOrEqual => ">=",
            BinaryOp::ShiftLeft => "<<",
            BinaryOp::ShiftRight => ">>",
            BinaryOp::ShiftRightZero => ">>>",
            BinaryOp::Plus => "+",
            BinaryOp::Minus => "-",
            BinaryOp::Times => "*",
            BinaryOp::Divide => "/",
            BinaryOp::Modulo => "%",
        }
    }
}

/// The attributes of a record, in source order.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Record(pub Vec<(Name, Expr)>);

impl Record {
    pub(crate) fn find(&self, key: &str) -> Option<&Expr> {
        // A later definition overrides an earlier one of the same name.
        let found = self.0.iter().rev().find(|(name, _)| name.key() == key);
        found.map(|(_, expr)| expr)
    }
}

/// The kinds of expression nodes.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    Literal(Value),
    Attribute(Scope, Name),
    /// `a.name`
    Select(Box<Expr>, Name),
    /// `a[b]`
    Index(Box<(Expr, Expr)>),
    Unary(UnaryOp, Box<Expr>),
    Binary(BinaryOp, Box<(Expr, Expr)>),
    /// `a ? b : c`
    Conditional(Box<(Expr, Expr, Expr)>),
    /// `a ?: b`: `b` if `a` is UNDEFINED, else `a`.
    IfUndefined(Box<(Expr, Expr)>),
    Call(&'static Function, Vec<Expr>),
    List(Vec<Expr>),
    Record(Arc<Record>),
}

/// An expression with its position in the source text.
#[derive(Debug, Clone)]
pub struct Expr {
    pub kind: Kind,
    /// Byte offset at which the expression begins.
    pub at: usize,
    /// Height of the tree, at most [`MAX_DEPTH`].
    depth: u16,
}

/// Equality ignores source positions.
impl PartialEq for Expr {
    fn eq(&self, other: &Expr) -> bool {
        self.kind == other.kind
    }
}

impl Expr {
    /// A literal without a source position.
    pub fn literal(value: Value) -> Expr {
        Expr {
            kind: Kind::Literal(value),
            at: 0,
            depth: 1,
        }
    }

    /// Creates a node; `None` if the tree would exceed [`MAX_DEPTH`], because expression trees
    /// are traversed recursively.
    pub(crate) fn new(kind: Kind, at: usize) -> Option<Expr> {
        let mut expr = Expr { kind, at, depth: 0 };
        let child_depth = expr.children().map(|child| child.depth).max().unwrap_or(0);
        expr.depth = child_depth + 1;
        (expr.depth <= MAX_DEPTH).then_some(expr)
    }

    /// The direct subexpressions.
    pub fn children(&self) -> impl Iterator<Item = &Expr> {
        let fixed: [Option<&Expr>; 3] = match &self.kind {
            Kind::Select(operand, _) | Kind::Unary(_, operand) => [Some(operand), None, None],
            Kind::Index(operands) | Kind::Binary(_, operands) | Kind::IfUndefined(operands) => {
                [Some(&operands.0), Some(&operands.1), None]
            }
            Kind::Conditional(operands) => [Some(&operands.0), Some(&operands.1), Some(&operands.2)],
            _ => [None; 3],
        };
        let sequence: &[Expr] = match &self.kind {
            Kind::Call(_, entries) | Kind::List(entries) => entries,
            _ => &[],
        };
        let attributes: &[(Name, Expr)] = match &self.kind {
            Kind::Record(record) => &record.0,
            _ => &[],
        };
        fixed
            .into_iter()
            .flatten()
            .chain(sequence)
            .chain(attributes.iter().map(|(_, expr)| expr))
    }

    /// All attribute references, including those in branches that an evaluation might skip.
    /// References to attributes of records within the expression are left out.
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

    /// The functions that the expression calls, with the byte offset of each call, in source order.
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

    /// A hash of the expression: equal for equal expressions, and rarely equal for others.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = FxHasher::default();
        self.hash_into(&mut hasher);
        hasher.finish()
    }

    fn hash_into(&self, hasher: &mut FxHasher) {
        std::mem::discriminant(&self.kind).hash(hasher);
        match &self.kind {
            Kind::Literal(value) => hash_value(value, hasher),
            Kind::Attribute(scope, name) => (scope, name).hash(hasher),
            Kind::Select(_, name) => name.hash(hasher),
            Kind::Unary(operator, _) => std::mem::discriminant(operator).hash(hasher),
            Kind::Binary(operator, _) => std::mem::discriminant(operator).hash(hasher),
            Kind::Call(function, _) => function.name.hash(hasher),
            Kind::Record(record) => record.0.iter().for_each(|(name, _)| name.hash(hasher)),
            Kind::Index(_) | Kind::Conditional(_) | Kind::IfUndefined(_) | Kind::List(_) => (),
        }
        for child in self.children() {
            child.hash_into(hasher);
        }
    }

    /// The operands of the outermost chain of `&&`, all of which must be true.
    pub fn terms(&self) -> Vec<&Expr> {
        let mut terms = Vec::new();
        let mut pending = vec![self];
        while let Some(expr) = pending.pop() {
            match &expr.kind {
                Kind::Binary(BinaryOp::And, operands) => pending.extend([&operands.1, &operands.0]),
                _ => terms.push(expr),
            }
        }
        terms
    }
}

fn hash_value(value: &Value, hasher: &mut FxHasher) {
    std::mem::discriminant(value).hash(hasher);
    match value {
        Value::Bool(value) => value.hash(hasher),
        Value::Int(value) => value.hash(hasher),
        // Adding 0.0 maps -0.0 to 0.0, because the two compare equal.
        Value::Real(value) => (*value + 0.0).to_bits().hash(hasher),
        Value::Str(text) => text.hash(hasher),
        Value::List(entries) => entries.iter().for_each(|entry| hash_value(entry, hasher)),
        Value::Undefined | Value::Error | Value::Record(_) => (),
    }
}

/// An attribute reference in an expression.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reference<'e> {
    pub scope: Scope,
    pub name: &'e Name,
    /// Byte offset of the reference.
    pub at: usize,
}
