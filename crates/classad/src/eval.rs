//! Evaluates an expression in the context of two ads that may refer to each other.

use crate::constants::{
    MAX_RECURSION_DEPTH, MAX_REFERENCE_DEPTH, MAX_REGEX_BYTES, MAX_RESULT_SIZE, MAX_STEPS,
    REGEX_CACHE_ENTRIES,
};
use crate::expr::{BinaryOp, Expr, Kind, Record, Scope, UnaryOp};
use crate::{Ad, Name, Value};
use regex::{Regex, RegexBuilder};
use rustc_hash::FxHashMap;
use std::cmp::Ordering;
use std::rc::Rc;
use std::sync::Arc;
use thiserror::Error;

/// Why an evaluation resulted in ERROR: the first fault that occurred.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Fault {
    #[error("{0} refers to itself")]
    Cycle(Name),
    #[error("it refers to attributes more than {MAX_REFERENCE_DEPTH} deep")]
    DepthLimit,
    #[error("it takes more than {MAX_STEPS} steps")]
    StepLimit,
    #[error("it makes a text or a list of more than {MAX_RESULT_SIZE} bytes or entries")]
    SizeLimit,
    #[error("{0} cannot be applied to {1}")]
    Operand(&'static str, &'static str),
    #[error("{0} cannot be applied to {1} and {2}")]
    Operands(&'static str, &'static str, &'static str),
    #[error("it divides by zero")]
    DivisionByZero,
    #[error("{0} leaves the range of integers")]
    Overflow(&'static str),
    #[error("{0}: {1}")]
    FunctionCall(&'static str, String),
    #[error("it says so itself")]
    ErrorLiteral,
}

/// Which of the two ads an expression belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Own,
    Other,
}

impl Side {
    fn opposite(self) -> Side {
        match self {
            Side::Own => Side::Other,
            Side::Other => Side::Own,
        }
    }
}

/// The records that enclose an expression, innermost first.
#[derive(Clone, Copy)]
struct Frame<'e> {
    record: &'e Record,
    outer: Option<&'e Frame<'e>>,
}

/// The context of an expression: the ad that it belongs to and the records that enclose it.
#[derive(Clone, Copy)]
pub(crate) struct Context<'e> {
    side: Side,
    frame: Option<&'e Frame<'e>>,
}

/// Evaluates expressions. Reuse one evaluator for many evaluations: it caches compiled regular
/// expressions.
#[derive(Default)]
pub struct Evaluator {
    now_s: i64,
    steps: u32,
    /// Steps of all evaluations before the current one.
    previous_steps: u64,
    recursion: u32,
    /// Addresses of the attribute expressions being evaluated, for detecting cycles.
    active_attributes: Vec<usize>,
    fault: Option<Fault>,
    /// Cache of compiled regular expressions by options and pattern; `None` if invalid.
    patterns: FxHashMap<String, Option<Rc<Regex>>>,
    /// Buffer in which the cache keys are built.
    pattern_key: String,
    /// Pattern, options and compiled form of the last lookup; most expressions have only one.
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
    /// `now_s` is the value of `time()`, in seconds since 1970.
    pub fn new(now_s: i64) -> Evaluator {
        Evaluator {
            now_s,
            ..Evaluator::default()
        }
    }

    /// Evaluates an expression of the ad `my` against the ad `target`.
    pub fn evaluate(&mut self, expr: &Expr, my: &Ad, target: Option<&Ad>) -> Value {
        self.previous_steps += u64::from(self.steps);
        self.steps = 0;
        self.recursion = 0;
        self.active_attributes.clear();
        self.fault = None;
        let ads = Ads {
            own: my,
            other: target,
        };
        let context = Context {
            side: Side::Own,
            frame: None,
        };
        self.evaluate_expr(expr, ads, context)
    }

    /// Steps of all evaluations so far, for callers that limit the cost of many evaluations.
    pub fn total_steps(&self) -> u64 {
        self.previous_steps + u64::from(self.steps)
    }

    /// The first fault of the last evaluation, if it resulted in ERROR.
    pub fn fault(&self) -> Option<&Fault> {
        self.fault.as_ref()
    }

    /// Restores an earlier fault state, discarding faults recorded since.
    pub(crate) fn restore_fault(&mut self, fault: Option<Fault>) {
        self.fault = fault;
    }

    pub(crate) fn now_s(&self) -> i64 {
        self.now_s
    }

    /// Records the fault, unless there already is one, and returns ERROR.
    pub(crate) fn fail(&mut self, fault: Fault) -> Value {
        self.fault.get_or_insert(fault);
        Value::Error
    }

    /// Adds steps for work other than visiting nodes; false if the step limit is exceeded.
    pub(crate) fn charge_steps(&mut self, steps: usize) -> bool {
        self.steps = self
            .steps
            .saturating_add(u32::try_from(steps).unwrap_or(u32::MAX));
        self.steps <= MAX_STEPS
    }

    /// Returns a string as a value, or fails if it exceeds the size limit or the step limit.
    pub(crate) fn string_result(&mut self, text: String) -> Value {
        if text.len() > MAX_RESULT_SIZE || !self.charge_steps(text.len() / 64) {
            return self.fail(Fault::SizeLimit);
        }
        Value::from(text)
    }

    pub(crate) fn evaluate_expr(&mut self, expr: &Expr, ads: Ads<'_>, context: Context<'_>) -> Value {
        self.steps += 1;
        if self.steps > MAX_STEPS {
            return self.fail(Fault::StepLimit);
        }
        if self.recursion >= MAX_RECURSION_DEPTH {
            return self.fail(Fault::DepthLimit);
        }
        self.recursion += 1;
        let value = self.evaluate_node(expr, ads, context);
        self.recursion -= 1;
        value
    }

    fn evaluate_node(&mut self, expr: &Expr, ads: Ads<'_>, context: Context<'_>) -> Value {
        match &expr.kind {
            Kind::Literal(Value::Error) => self.fail(Fault::ErrorLiteral),
            Kind::Literal(value) => value.clone(),
            Kind::Attribute(scope, name) => self.attribute(*scope, name, ads, context),
            Kind::Unary(operator, operand) => {
                let operand = self.evaluate_expr(operand, ads, context);
                self.unary(*operator, operand)
            }
            Kind::Binary(operator @ (BinaryOp::And | BinaryOp::Or), operands) => {
                self.logical(*operator, operands, ads, context)
            }
            Kind::Binary(operator, operands) => {
                self.steps += 2;
                let (computed_left, computed_right);
                let left = match literal_value(&operands.0, ads, context) {
                    Some(value) => value,
                    None => {
                        computed_left = self.evaluate_expr(&operands.0, ads, context);
                        &computed_left
                    }
                };
                let right = match literal_value(&operands.1, ads, context) {
                    Some(value) => value,
                    None => {
                        computed_right = self.evaluate_expr(&operands.1, ads, context);
                        &computed_right
                    }
                };
                self.binary(*operator, left, right)
            }
            Kind::Conditional(operands) => {
                let condition = self.evaluate_expr(&operands.0, ads, context);
                match (condition.truth(), condition) {
                    (Some(true), _) => self.evaluate_expr(&operands.1, ads, context),
                    (Some(false), _) => self.evaluate_expr(&operands.2, ads, context),
                    (None, Value::Undefined) => Value::Undefined,
                    (None, other) => self.fail(Fault::Operand("?", other.type_name())),
                }
            }
            Kind::IfUndefined(operands) => match self.evaluate_expr(&operands.0, ads, context) {
                Value::Undefined => self.evaluate_expr(&operands.1, ads, context),
                value => value,
            },
            Kind::Call(function, arguments) => (function.call)(
                self,
                Call {
                    name: function.name,
                    arguments,
                    ads,
                    context,
                },
            ),
            Kind::List(entries) => {
                let entries: Vec<Value> = entries
                    .iter()
                    .map(|entry| self.evaluate_expr(entry, ads, context))
                    .collect();
                Value::List(Arc::from(entries))
            }
            Kind::Record(record) => {
                let frame = Frame {
                    record,
                    outer: context.frame,
                };
                let inner_context = Context {
                    frame: Some(&frame),
                    ..context
                };
                let attributes: Vec<(Name, Value)> = record
                    .0
                    .iter()
                    .map(|(name, expr)| (name.clone(), self.attribute_value(name, expr, ads, inner_context)))
                    .collect();
                Value::Record(Arc::from(attributes))
            }
            Kind::Select(base, name) => match self.evaluate_expr(base, ads, context) {
                Value::Record(attributes) => attributes
                    .iter()
                    .rev()
                    .find(|(other, _)| other == name)
                    .map_or(Value::Undefined, |(_, value)| value.clone()),
                Value::List(entries) => {
                    // Selecting from a list of records selects the attribute of each record.
                    let values = entries.iter().map(|entry| match entry {
                        Value::Record(attributes) => attributes
                            .iter()
                            .find(|(other, _)| other == name)
                            .map_or(Value::Undefined, |(_, value)| value.clone()),
                        _ => Value::Error,
                    });
                    Value::List(values.collect())
                }
                Value::Undefined => Value::Undefined,
                other => self.fail(Fault::Operand(".", other.type_name())),
            },
            Kind::Index(operands) => {
                let base = self.evaluate_expr(&operands.0, ads, context);
                let index = self.evaluate_expr(&operands.1, ads, context);
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

    /// Resolves an attribute in the enclosing records, then in the ads; UNDEFINED if not found.
    fn attribute(&mut self, scope: Scope, name: &Name, ads: Ads<'_>, context: Context<'_>) -> Value {
        if scope == Scope::Any {
            let mut frame = context.frame;
            while let Some(Frame { record, outer }) = frame {
                if let Some(expr) = record.find(name.key()) {
                    return self.attribute_value(name, expr, ads, Context { frame, ..context });
                }
                frame = *outer;
            }
        }
        let sides: &[Side] = match scope {
            Scope::Any => &[context.side, context.side.opposite()],
            Scope::My => &[context.side],
            Scope::Target => &[context.side.opposite()],
        };
        for side in sides {
            if let Some(expr) = ads.side(*side).and_then(|ad| ad.find(name.key())) {
                let context = Context {
                    side: *side,
                    frame: None,
                };
                return self.attribute_value(name, expr, ads, context);
            }
        }
        Value::Undefined
    }

    /// Evaluates an attribute; fails if it depends on itself.
    fn attribute_value(&mut self, name: &Name, expr: &Expr, ads: Ads<'_>, context: Context<'_>) -> Value {
        match &expr.kind {
            Kind::Literal(Value::Error) => return self.fail(Fault::ErrorLiteral),
            Kind::Literal(value) => return value.clone(),
            _ => (),
        }
        // The address tells it apart from attributes of the same name in other records and ads.
        let expr_address = std::ptr::from_ref(expr).addr();
        if self.active_attributes.contains(&expr_address) {
            return self.fail(Fault::Cycle(name.clone()));
        }
        if self.active_attributes.len() >= MAX_REFERENCE_DEPTH {
            return self.fail(Fault::DepthLimit);
        }
        self.active_attributes.push(expr_address);
        let value = self.evaluate_expr(expr, ads, context);
        self.active_attributes.pop();
        value
    }

    fn unary(&mut self, operator: UnaryOp, operand: Value) -> Value {
        let text = match operator {
            UnaryOp::Minus => "-",
            UnaryOp::Plus => "+",
            UnaryOp::Not => "!",
            UnaryOp::BitNot => "~",
        };
        match (operator, operand) {
            (_, Value::Undefined) => Value::Undefined,
            (_, Value::Error) => Value::Error,
            (UnaryOp::Not, operand) => match operand.truth() {
                Some(truth) => Value::Bool(!truth),
                None => self.fail(Fault::Operand(text, operand.type_name())),
            },
            (UnaryOp::Minus, Value::Real(value)) => Value::Real(-value),
            (UnaryOp::Plus, Value::Real(value)) => Value::Real(value),
            (UnaryOp::Plus, operand) if operand.as_int().is_some() => operand,
            (UnaryOp::Minus, operand) if operand.as_int().is_some() => {
                match operand.as_int().and_then(i64::checked_neg) {
                    Some(value) => Value::Int(value),
                    None => self.fail(Fault::Overflow(text)),
                }
            }
            (UnaryOp::BitNot, Value::Int(value)) => Value::Int(!value),
            (_, operand) => self.fail(Fault::Operand(text, operand.type_name())),
        }
    }

    /// Evaluates `&&` and `||`. If the first operand decides the result, the second is not
    /// evaluated; otherwise ERROR takes precedence over UNDEFINED.
    fn logical(
        &mut self,
        operator: BinaryOp,
        operands: &(Expr, Expr),
        ads: Ads<'_>,
        context: Context<'_>,
    ) -> Value {
        let deciding = operator == BinaryOp::Or;
        let mut has_undefined = false;
        for operand in [&operands.0, &operands.1] {
            match self.evaluate_expr(operand, ads, context) {
                Value::Undefined => has_undefined = true,
                Value::Error => return Value::Error,
                value => match value.truth() {
                    Some(truth) if truth == deciding => return Value::Bool(deciding),
                    Some(_) => (),
                    None => return self.fail(Fault::Operand(operator.symbol(), value.type_name())),
                },
            }
        }
        if has_undefined {
            Value::Undefined
        } else {
            Value::Bool(!deciding)
        }
    }

    pub(crate) fn binary(&mut self, operator: BinaryOp, left: &Value, right: &Value) -> Value {
        match operator {
            BinaryOp::Is => return Value::Bool(left.is(right)),
            BinaryOp::Isnt => return Value::Bool(!left.is(right)),
            _ => (),
        }
        match (left, right) {
            (Value::Error, _) | (_, Value::Error) => return Value::Error,
            (Value::Undefined, _) | (_, Value::Undefined) => return Value::Undefined,
            _ => (),
        }
        let value = match operator {
            BinaryOp::Equal
            | BinaryOp::NotEqual
            | BinaryOp::Less
            | BinaryOp::LessOrEqual
            | BinaryOp::Greater
            | BinaryOp::GreaterOrEqual => compare(left, right).map(|order| {
                Value::Bool(match operator {
                    BinaryOp::Equal => order == Some(Ordering::Equal),
                    BinaryOp::NotEqual => order != Some(Ordering::Equal),
                    BinaryOp::Less => order == Some(Ordering::Less),
                    BinaryOp::LessOrEqual => order.is_some_and(Ordering::is_le),
                    BinaryOp::Greater => order == Some(Ordering::Greater),
                    _ => order.is_some_and(Ordering::is_ge),
                })
            }),
            BinaryOp::BitOr
            | BinaryOp::BitXor
            | BinaryOp::BitAnd
            | BinaryOp::ShiftLeft
            | BinaryOp::ShiftRight
            | BinaryOp::ShiftRightZero => bitwise(operator, left, right),
            _ => match self.arithmetic(operator, left, right) {
                Some(Ok(value)) => Some(value),
                Some(Err(fault)) => return self.fail(fault),
                None => None,
            },
        };
        value.unwrap_or_else(|| {
            self.fail(Fault::Operands(
                operator.symbol(),
                left.type_name(),
                right.type_name(),
            ))
        })
    }

    fn arithmetic(&self, operator: BinaryOp, left: &Value, right: &Value) -> Option<Result<Value, Fault>> {
        if let (Some(left), Some(right)) = (left.as_int(), right.as_int()) {
            if right == 0 && matches!(operator, BinaryOp::Divide | BinaryOp::Modulo) {
                return Some(Err(Fault::DivisionByZero));
            }
            let value = match operator {
                BinaryOp::Plus => left.checked_add(right),
                BinaryOp::Minus => left.checked_sub(right),
                BinaryOp::Times => left.checked_mul(right),
                BinaryOp::Divide => left.checked_div(right),
                _ => left.checked_rem(right),
            };
            return Some(value.map(Value::Int).ok_or(Fault::Overflow(operator.symbol())));
        }
        let (left, right) = (left.as_number()?, right.as_number()?);
        if right == 0.0 && matches!(operator, BinaryOp::Divide | BinaryOp::Modulo) {
            return Some(Err(Fault::DivisionByZero));
        }
        Some(Ok(Value::Real(match operator {
            BinaryOp::Plus => left + right,
            BinaryOp::Minus => left - right,
            BinaryOp::Times => left * right,
            BinaryOp::Divide => left / right,
            _ => left % right,
        })))
    }

    /// Like [`Self::pattern`], with a fast path if the pattern is the same allocation as last time.
    pub(crate) fn shared_pattern(&mut self, pattern: &Arc<str>, options: &Arc<str>) -> Option<Rc<Regex>> {
        if let Some((cached, with, compiled)) = &self.last_pattern
            && Arc::ptr_eq(cached, pattern)
            && cached == pattern
            && with == options
        {
            return Some(compiled.clone());
        }
        let compiled = self.pattern(pattern, options)?;
        self.last_pattern = Some((pattern.clone(), options.clone(), compiled.clone()));
        Some(compiled)
    }

    /// Returns the compiled regular expression; `None` if it is invalid or too large. `options`
    /// are those of the `regexp` functions: `i`, `m`, `s`, `x`, and `f` for a full match.
    pub(crate) fn pattern(&mut self, pattern: &str, options: &str) -> Option<Rc<Regex>> {
        self.pattern_key.clear();
        self.pattern_key.push_str(options);
        self.pattern_key.push('/');
        self.pattern_key.push_str(pattern);
        if let Some(cached) = self.patterns.get(&self.pattern_key) {
            return cached.clone();
        }
        if self.patterns.len() >= REGEX_CACHE_ENTRIES {
            self.patterns.clear();
        }
        let has = |option: char| options.contains([option, option.to_ascii_uppercase()]);
        let whole = format!("^(?:{pattern})$");
        let built = RegexBuilder::new(if has('f') { &whole } else { pattern })
            .case_insensitive(has('i'))
            .multi_line(has('m'))
            .dot_matches_new_line(has('s'))
            .ignore_whitespace(has('x'))
            .size_limit(MAX_REGEX_BYTES)
            .build()
            .ok()
            .map(Rc::new);
        self.patterns.insert(self.pattern_key.clone(), built.clone());
        built
    }
}

/// The value of a literal, or of an attribute whose expression is a literal. Most comparisons
/// have such operands; this path needs neither evaluation steps nor copies.
fn literal_value<'e>(expr: &'e Expr, ads: Ads<'e>, context: Context<'_>) -> Option<&'e Value> {
    let found = match &expr.kind {
        Kind::Literal(_) => expr,
        Kind::Attribute(scope, name) if context.frame.is_none() => {
            let own = || ads.side(context.side)?.find(name.key());
            let other = || ads.side(context.side.opposite())?.find(name.key());
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

/// Compares strings without regard to case and numbers by value, with booleans as 1 and 0.
/// `None` if the types are not comparable, `Some(None)` if the values are unordered (NaN).
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

fn bitwise(operator: BinaryOp, left: &Value, right: &Value) -> Option<Value> {
    if let (Value::Bool(left), Value::Bool(right)) = (left, right) {
        return Some(Value::Bool(match operator {
            BinaryOp::BitOr => left | right,
            BinaryOp::BitXor => left ^ right,
            BinaryOp::BitAnd => left & right,
            _ => return None,
        }));
    }
    let (left, right) = (left.as_int()?, right.as_int()?);
    // Shift counts are taken modulo the width of 64 bits, as in hardware.
    let shift = (right & 63) as u32;
    Some(Value::Int(match operator {
        BinaryOp::BitOr => left | right,
        BinaryOp::BitXor => left ^ right,
        BinaryOp::BitAnd => left & right,
        BinaryOp::ShiftLeft => left.wrapping_shl(shift),
        BinaryOp::ShiftRight => left.wrapping_shr(shift),
        _ => (left as u64).wrapping_shr(shift) as i64,
    }))
}

/// A function call in progress; arguments are evaluated on demand.
#[derive(Clone, Copy)]
pub struct Call<'e> {
    pub(crate) name: &'static str,
    pub(crate) arguments: &'e [Expr],
    ads: Ads<'e>,
    context: Context<'e>,
}

impl Call<'_> {
    /// Evaluates an argument; UNDEFINED if it is absent.
    pub(crate) fn argument(&self, index: usize, evaluator: &mut Evaluator) -> Value {
        match self.arguments.get(index) {
            Some(argument) => evaluator.evaluate_expr(argument, self.ads, self.context),
            None => Value::Undefined,
        }
    }

    /// Evaluates all arguments.
    pub(crate) fn arguments(&self, evaluator: &mut Evaluator) -> Vec<Value> {
        (0..self.arguments.len())
            .map(|index| self.argument(index, evaluator))
            .collect()
    }

    /// Parses a text as an expression and evaluates it in the context of the call.
    pub(crate) fn evaluate_text(&self, text: &str, evaluator: &mut Evaluator) -> Value {
        if !evaluator.charge_steps(text.len()) {
            return evaluator.fail(Fault::StepLimit);
        }
        match Expr::parse(text) {
            Ok(expr) => evaluator.evaluate_expr(&expr, self.ads, self.context),
            Err(error) => evaluator.fail(Fault::FunctionCall(self.name, error.to_string())),
        }
    }
}
