//! What an expression comes to, for two ads that look at each other.

use crate::constants::{MAX_MADE, MAX_RECURSION, MAX_REFERENCES, MAX_REGEX, MAX_STEPS, REGEXES_KEPT};
use crate::expr::{Binary, Expr, Kind, Record, Scope, Unary};
use crate::{Ad, Name, Value};
use regex::{Regex, RegexBuilder};
use rustc_hash::FxHashMap;
use std::cmp::Ordering;
use std::rc::Rc;
use std::sync::Arc;
use thiserror::Error;

/// Why an evaluation came to ERROR: the first thing that went wrong.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Fault {
    #[error("{0} refers to itself")]
    Cycle(Name),
    #[error("it refers to attributes more than {MAX_REFERENCES} deep")]
    Depth,
    #[error("it takes more than {MAX_STEPS} steps")]
    Steps,
    #[error("it makes a text or a list of more than {MAX_MADE} bytes or entries")]
    Size,
    #[error("{0} cannot be applied to {1}")]
    Operand(&'static str, &'static str),
    #[error("{0} cannot be applied to {1} and {2}")]
    Operands(&'static str, &'static str, &'static str),
    #[error("it divides by zero")]
    Zero,
    #[error("{0} leaves the range of integers")]
    Overflow(&'static str),
    #[error("{0}: {1}")]
    Call(&'static str, String),
    #[error("it says so itself")]
    Literal,
}

/// Whose turn it is: the ad that an expression belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Own,
    Other,
}

impl Side {
    fn across(self) -> Side {
        match self {
            Side::Own => Side::Other,
            Side::Other => Side::Own,
        }
    }
}

/// Records around an expression, from the inside out.
#[derive(Clone, Copy)]
struct Frame<'e> {
    record: &'e Record,
    outer: Option<&'e Frame<'e>>,
}

/// Where an expression stands.
#[derive(Clone, Copy)]
pub(crate) struct Place<'e> {
    side: Side,
    frame: Option<&'e Frame<'e>>,
}

/// Evaluates expressions. Keep one for many evaluations: it remembers compiled patterns.
#[derive(Default)]
pub struct Evaluator {
    now_s: i64,
    steps: u32,
    /// Steps of all evaluations before this one.
    spent: u64,
    recursion: u32,
    /// Attributes that are being evaluated: where their expression lies, and their name.
    open: Vec<usize>,
    fault: Option<Fault>,
    /// Compiled patterns by options and text, and where their key is put together.
    patterns: FxHashMap<String, Option<Rc<Regex>>>,
    pattern_key: String,
    /// The pattern that was last asked for: most expressions have one.
    last_pattern: Option<(Arc<str>, Arc<str>, Rc<Regex>)>,
}

/// The two ads of an evaluation.
#[derive(Clone, Copy)]
pub(crate) struct Ads<'a> {
    own: &'a Ad,
    other: Option<&'a Ad>,
}

impl<'a> Ads<'a> {
    fn side(self, side: Side) -> Option<&'a Ad> {
        match side {
            Side::Own => Some(self.own),
            Side::Other => self.other,
        }
    }
}

impl Evaluator {
    /// `now_s`: what `time()` says, in s since 1970.
    pub fn new(now_s: i64) -> Evaluator {
        Evaluator {
            now_s,
            ..Evaluator::default()
        }
    }

    /// The value of an expression of `my`, which looks at `target`.
    pub fn evaluate(&mut self, expr: &Expr, my: &Ad, target: Option<&Ad>) -> Value {
        self.spent += u64::from(self.steps);
        self.steps = 0;
        self.recursion = 0;
        self.open.clear();
        self.fault = None;
        let ads = Ads {
            own: my,
            other: target,
        };
        let place = Place {
            side: Side::Own,
            frame: None,
        };
        self.value(expr, ads, place)
    }

    /// Steps of all evaluations so far, for whoever has to bound many of them.
    pub fn total_steps(&self) -> u64 {
        self.spent + u64::from(self.steps)
    }

    /// What went wrong first in the last evaluation, if it came to ERROR.
    pub fn fault(&self) -> Option<&Fault> {
        self.fault.as_ref()
    }

    /// Forgets what went wrong since then.
    pub(crate) fn restore(&mut self, fault: Option<Fault>) {
        self.fault = fault;
    }

    pub(crate) fn now_s(&self) -> i64 {
        self.now_s
    }

    /// ERROR, and why.
    pub(crate) fn fail(&mut self, fault: Fault) -> Value {
        self.fault.get_or_insert(fault);
        Value::Error
    }

    /// Accounts for work that is not a step of a walk.
    pub(crate) fn spend(&mut self, steps: usize) -> bool {
        self.steps = self
            .steps
            .saturating_add(u32::try_from(steps).unwrap_or(u32::MAX));
        self.steps <= MAX_STEPS
    }

    /// A string, unless it is longer than any may be.
    pub(crate) fn text(&mut self, text: String) -> Value {
        if text.len() > MAX_MADE || !self.spend(text.len() / 64) {
            return self.fail(Fault::Size);
        }
        Value::from(text)
    }

    pub(crate) fn value(&mut self, expr: &Expr, ads: Ads<'_>, place: Place<'_>) -> Value {
        self.steps += 1;
        if self.steps > MAX_STEPS {
            return self.fail(Fault::Steps);
        }
        if self.recursion >= MAX_RECURSION {
            return self.fail(Fault::Depth);
        }
        self.recursion += 1;
        let value = self.walk(expr, ads, place);
        self.recursion -= 1;
        value
    }

    fn walk(&mut self, expr: &Expr, ads: Ads<'_>, place: Place<'_>) -> Value {
        match &expr.kind {
            Kind::Literal(Value::Error) => self.fail(Fault::Literal),
            Kind::Literal(value) => value.clone(),
            Kind::Attribute(scope, name) => self.attribute(*scope, name, ads, place),
            Kind::Unary(operator, operand) => {
                let operand = self.value(operand, ads, place);
                self.unary(*operator, operand)
            }
            Kind::Binary(operator @ (Binary::And | Binary::Or), two) => {
                self.logical(*operator, two, ads, place)
            }
            Kind::Binary(operator, two) => {
                self.steps += 2;
                let (made_left, made_right);
                let left = match plain(&two.0, ads, place) {
                    Some(value) => value,
                    None => {
                        made_left = self.value(&two.0, ads, place);
                        &made_left
                    }
                };
                let right = match plain(&two.1, ads, place) {
                    Some(value) => value,
                    None => {
                        made_right = self.value(&two.1, ads, place);
                        &made_right
                    }
                };
                self.binary(*operator, left, right)
            }
            Kind::Choose(three) => {
                let condition = self.value(&three.0, ads, place);
                match (condition.truth(), condition) {
                    (Some(true), _) => self.value(&three.1, ads, place),
                    (Some(false), _) => self.value(&three.2, ads, place),
                    (None, Value::Undefined) => Value::Undefined,
                    (None, other) => self.fail(Fault::Operand("?", other.type_name())),
                }
            }
            Kind::Otherwise(two) => match self.value(&two.0, ads, place) {
                Value::Undefined => self.value(&two.1, ads, place),
                value => value,
            },
            Kind::Call(function, arguments) => (function.call)(
                self,
                Call {
                    name: function.name,
                    arguments,
                    ads,
                    place,
                },
            ),
            Kind::List(entries) => {
                let entries: Vec<Value> = entries
                    .iter()
                    .map(|entry| self.value(entry, ads, place))
                    .collect();
                Value::List(Arc::from(entries))
            }
            Kind::Record(record) => {
                let frame = Frame {
                    record,
                    outer: place.frame,
                };
                let inside = Place {
                    frame: Some(&frame),
                    ..place
                };
                let attributes: Vec<(Name, Value)> = record
                    .0
                    .iter()
                    .map(|(name, expr)| (name.clone(), self.named(name, expr, ads, inside)))
                    .collect();
                Value::Record(Arc::from(attributes))
            }
            Kind::Select(base, name) => match self.value(base, ads, place) {
                Value::Record(attributes) => attributes
                    .iter()
                    .rev()
                    .find(|(other, _)| other == name)
                    .map_or(Value::Undefined, |(_, value)| value.clone()),
                Value::List(entries) => {
                    // Of a list of records, the attribute of each.
                    let each = entries.iter().map(|entry| match entry {
                        Value::Record(attributes) => attributes
                            .iter()
                            .find(|(other, _)| other == name)
                            .map_or(Value::Undefined, |(_, value)| value.clone()),
                        _ => Value::Error,
                    });
                    Value::List(each.collect())
                }
                Value::Undefined => Value::Undefined,
                other => self.fail(Fault::Operand(".", other.type_name())),
            },
            Kind::Index(two) => {
                let base = self.value(&two.0, ads, place);
                let index = self.value(&two.1, ads, place);
                self.index(base, index)
            }
        }
    }

    fn index(&mut self, base: Value, index: Value) -> Value {
        match (base, index) {
            (Value::Error, _) | (_, Value::Error) => Value::Error,
            (Value::Undefined, _) | (_, Value::Undefined) => Value::Undefined,
            (Value::List(entries), Value::Int(index)) => usize::try_from(index)
                .ok()
                .and_then(|index| entries.get(index))
                .cloned()
                .unwrap_or(Value::Undefined),
            (Value::Record(attributes), Value::Str(name)) => {
                let name = Name::new(&name);
                attributes
                    .iter()
                    .rev()
                    .find(|(other, _)| *other == name)
                    .map_or(Value::Undefined, |(_, value)| value.clone())
            }
            (base, index) => self.fail(Fault::Operands("[]", base.type_name(), index.type_name())),
        }
    }

    fn attribute(&mut self, scope: Scope, name: &Name, ads: Ads<'_>, place: Place<'_>) -> Value {
        if scope == Scope::Any {
            let mut frame = place.frame;
            while let Some(Frame { record, outer }) = frame {
                if let Some(expr) = record.find(name.key()) {
                    return self.named(name, expr, ads, Place { frame, ..place });
                }
                frame = *outer;
            }
        }
        let sides: &[Side] = match scope {
            Scope::Any => &[place.side, place.side.across()],
            Scope::My => &[place.side],
            Scope::Target => &[place.side.across()],
        };
        for side in sides {
            if let Some(expr) = ads.side(*side).and_then(|ad| ad.find(name.key())) {
                let place = Place {
                    side: *side,
                    frame: None,
                };
                return self.named(name, expr, ads, place);
            }
        }
        Value::Undefined
    }

    /// The value of an attribute, which must not need itself.
    fn named(&mut self, name: &Name, expr: &Expr, ads: Ads<'_>, place: Place<'_>) -> Value {
        match &expr.kind {
            Kind::Literal(Value::Error) => return self.fail(Fault::Literal),
            Kind::Literal(value) => return value.clone(),
            _ => (),
        }
        // Where it lies tells it from its namesakes in other records and ads.
        let whose = std::ptr::from_ref(expr).addr();
        if self.open.contains(&whose) {
            return self.fail(Fault::Cycle(name.clone()));
        }
        if self.open.len() >= MAX_REFERENCES {
            return self.fail(Fault::Depth);
        }
        self.open.push(whose);
        let value = self.value(expr, ads, place);
        self.open.pop();
        value
    }

    fn unary(&mut self, operator: Unary, operand: Value) -> Value {
        let text = match operator {
            Unary::Minus => "-",
            Unary::Plus => "+",
            Unary::Not => "!",
            Unary::BitNot => "~",
        };
        match (operator, operand) {
            (_, Value::Undefined) => Value::Undefined,
            (_, Value::Error) => Value::Error,
            (Unary::Not, operand) => match operand.truth() {
                Some(truth) => Value::Bool(!truth),
                None => self.fail(Fault::Operand(text, operand.type_name())),
            },
            (Unary::Minus, Value::Real(value)) => Value::Real(-value),
            (Unary::Plus, Value::Real(value)) => Value::Real(value),
            (Unary::Plus, operand) if operand.as_int().is_some() => operand,
            (Unary::Minus, operand) if operand.as_int().is_some() => {
                match operand.as_int().and_then(i64::checked_neg) {
                    Some(value) => Value::Int(value),
                    None => self.fail(Fault::Overflow(text)),
                }
            }
            (Unary::BitNot, Value::Int(value)) => Value::Int(!value),
            (_, operand) => self.fail(Fault::Operand(text, operand.type_name())),
        }
    }

    /// `&&` and `||`: what the first operand settles, the second cannot change; else an
    /// ERROR counts for more than what is UNDEFINED.
    fn logical(&mut self, operator: Binary, two: &(Expr, Expr), ads: Ads<'_>, place: Place<'_>) -> Value {
        let settles = operator == Binary::Or;
        let mut unknown = false;
        for operand in [&two.0, &two.1] {
            match self.value(operand, ads, place) {
                Value::Undefined => unknown = true,
                Value::Error => return Value::Error,
                value => match value.truth() {
                    Some(truth) if truth == settles => return Value::Bool(settles),
                    Some(_) => (),
                    None => return self.fail(Fault::Operand(operator.text(), value.type_name())),
                },
            }
        }
        if unknown {
            Value::Undefined
        } else {
            Value::Bool(!settles)
        }
    }

    pub(crate) fn binary(&mut self, operator: Binary, left: &Value, right: &Value) -> Value {
        match operator {
            Binary::Is => return Value::Bool(left.is(right)),
            Binary::Isnt => return Value::Bool(!left.is(right)),
            _ => (),
        }
        match (left, right) {
            (Value::Error, _) | (_, Value::Error) => return Value::Error,
            (Value::Undefined, _) | (_, Value::Undefined) => return Value::Undefined,
            _ => (),
        }
        let value = match operator {
            Binary::Equal
            | Binary::NotEqual
            | Binary::Less
            | Binary::AtMost
            | Binary::More
            | Binary::AtLeast => compare(left, right).map(|order| {
                Value::Bool(match operator {
                    Binary::Equal => order == Some(Ordering::Equal),
                    Binary::NotEqual => order != Some(Ordering::Equal),
                    Binary::Less => order == Some(Ordering::Less),
                    Binary::AtMost => order.is_some_and(Ordering::is_le),
                    Binary::More => order == Some(Ordering::Greater),
                    _ => order.is_some_and(Ordering::is_ge),
                })
            }),
            Binary::BitOr
            | Binary::BitXor
            | Binary::BitAnd
            | Binary::ShiftLeft
            | Binary::ShiftRight
            | Binary::ShiftRightZero => bits(operator, left, right),
            _ => match self.arithmetic(operator, left, right) {
                Some(Ok(value)) => Some(value),
                Some(Err(fault)) => return self.fail(fault),
                None => None,
            },
        };
        value.unwrap_or_else(|| {
            self.fail(Fault::Operands(
                operator.text(),
                left.type_name(),
                right.type_name(),
            ))
        })
    }

    fn arithmetic(&self, operator: Binary, left: &Value, right: &Value) -> Option<Result<Value, Fault>> {
        if let (Some(left), Some(right)) = (left.as_int(), right.as_int()) {
            if right == 0 && matches!(operator, Binary::Divide | Binary::Modulo) {
                return Some(Err(Fault::Zero));
            }
            let value = match operator {
                Binary::Plus => left.checked_add(right),
                Binary::Minus => left.checked_sub(right),
                Binary::Times => left.checked_mul(right),
                Binary::Divide => left.checked_div(right),
                _ => left.checked_rem(right),
            };
            return Some(value.map(Value::Int).ok_or(Fault::Overflow(operator.text())));
        }
        let (left, right) = (left.as_number()?, right.as_number()?);
        if right == 0.0 && matches!(operator, Binary::Divide | Binary::Modulo) {
            return Some(Err(Fault::Zero));
        }
        Some(Ok(Value::Real(match operator {
            Binary::Plus => left + right,
            Binary::Minus => left - right,
            Binary::Times => left * right,
            Binary::Divide => left / right,
            _ => left % right,
        })))
    }

    /// A compiled pattern, as below, of texts that are shared.
    pub(crate) fn shared_pattern(&mut self, pattern: &Arc<str>, options: &Arc<str>) -> Option<Rc<Regex>> {
        if let Some((known, with, compiled)) = &self.last_pattern
            && Arc::ptr_eq(known, pattern)
            && known == pattern
            && with == options
        {
            return Some(compiled.clone());
        }
        let compiled = self.pattern(pattern, options)?;
        self.last_pattern = Some((pattern.clone(), options.clone(), compiled.clone()));
        Some(compiled)
    }

    /// A compiled pattern; `None` if it is none, or too large. `options` are those of the
    /// `regexp` functions: `i`, `m`, `s`, `x`, and `f` for a match of the whole text.
    pub(crate) fn pattern(&mut self, pattern: &str, options: &str) -> Option<Rc<Regex>> {
        self.pattern_key.clear();
        self.pattern_key.push_str(options);
        self.pattern_key.push('/');
        self.pattern_key.push_str(pattern);
        if let Some(known) = self.patterns.get(&self.pattern_key) {
            return known.clone();
        }
        if self.patterns.len() >= REGEXES_KEPT {
            self.patterns.clear();
        }
        let has = |option: char| options.contains([option, option.to_ascii_uppercase()]);
        let whole = format!("^(?:{pattern})$");
        let built = RegexBuilder::new(if has('f') { &whole } else { pattern })
            .case_insensitive(has('i'))
            .multi_line(has('m'))
            .dot_matches_new_line(has('s'))
            .ignore_whitespace(has('x'))
            .size_limit(MAX_REGEX)
            .build()
            .ok()
            .map(Rc::new);
        self.patterns.insert(self.pattern_key.clone(), built.clone());
        built
    }
}

/// The value of a literal, or of an attribute that is one: what most comparisons compare,
/// and what takes neither steps nor copies.
fn plain<'e>(expr: &'e Expr, ads: Ads<'e>, place: Place<'_>) -> Option<&'e Value> {
    let found = match &expr.kind {
        Kind::Literal(_) => expr,
        Kind::Attribute(scope, name) if place.frame.is_none() => {
            let own = || ads.side(place.side)?.find(name.key());
            let other = || ads.side(place.side.across())?.find(name.key());
            match scope {
                Scope::Any => own().or_else(other)?,
                Scope::My => own()?,
                Scope::Target => other()?,
            }
        }
        _ => return None,
    };
    match &found.kind {
        Kind::Literal(value) if *value != Value::Error => Some(value),
        _ => None,
    }
}

/// Strings without case, numbers by value, truth as 1 and 0. `None` if the two cannot be
/// compared, `Some(None)` if neither is the greater (NaN).
fn compare(left: &Value, right: &Value) -> Option<Option<Ordering>> {
    match (left, right) {
        (Value::Str(left), Value::Str(right)) => {
            let lower = |text: &str| {
                text.bytes()
                    .map(|byte| byte.to_ascii_lowercase())
                    .collect::<Vec<_>>()
            };
            if left.eq_ignore_ascii_case(right) {
                return Some(Some(Ordering::Equal));
            }
            Some(Some(lower(left).cmp(&lower(right))))
        }
        (Value::Int(left), Value::Int(right)) => Some(Some(left.cmp(right))),
        (left, right) => Some(left.as_number()?.partial_cmp(&right.as_number()?)),
    }
}

fn bits(operator: Binary, left: &Value, right: &Value) -> Option<Value> {
    if let (Value::Bool(left), Value::Bool(right)) = (left, right) {
        return Some(Value::Bool(match operator {
            Binary::BitOr => left | right,
            Binary::BitXor => left ^ right,
            Binary::BitAnd => left & right,
            _ => return None,
        }));
    }
    let (left, right) = (left.as_int()?, right.as_int()?);
    // Shifts count modulo the width, as processors do.
    let by = (right & 63) as u32;
    Some(Value::Int(match operator {
        Binary::BitOr => left | right,
        Binary::BitXor => left ^ right,
        Binary::BitAnd => left & right,
        Binary::ShiftLeft => left.wrapping_shl(by),
        Binary::ShiftRight => left.wrapping_shr(by),
        _ => (left as u64).wrapping_shr(by) as i64,
    }))
}

/// A call under way: its arguments are evaluated as the function asks for them.
#[derive(Clone, Copy)]
pub struct Call<'e> {
    pub(crate) name: &'static str,
    pub(crate) arguments: &'e [Expr],
    ads: Ads<'e>,
    place: Place<'e>,
}

impl Call<'_> {
    /// The value of an argument; UNDEFINED if it is not given.
    pub(crate) fn value(&self, at: usize, evaluator: &mut Evaluator) -> Value {
        match self.arguments.get(at) {
            Some(argument) => evaluator.value(argument, self.ads, self.place),
            None => Value::Undefined,
        }
    }

    pub(crate) fn all(&self, evaluator: &mut Evaluator) -> Vec<Value> {
        (0..self.arguments.len())
            .map(|at| self.value(at, evaluator))
            .collect()
    }

    /// The value of a text that is an expression, evaluated where the call stands.
    pub(crate) fn text_value(&self, text: &str, evaluator: &mut Evaluator) -> Value {
        if !evaluator.spend(text.len()) {
            return evaluator.fail(Fault::Steps);
        }
        match Expr::parse(text) {
            Ok(expr) => evaluator.value(&expr, self.ads, self.place),
            Err(error) => evaluator.fail(Fault::Call(self.name, error.to_string())),
        }
    }
}
