//! The function library, as listed in the HTCondor manual under "Predefined Functions".
//!
//! Except for functions that test for them, an ERROR argument makes the result ERROR and an
//! UNDEFINED argument makes it UNDEFINED.

use crate::Value;
use crate::constants::MAX_RESULT_SIZE;
use crate::eval::{Call, Evaluator, Fault};
use crate::expr::BinaryOp;
use chrono::DateTime;
use std::cmp::Ordering;
use std::fmt::Write;
use std::sync::{Arc, LazyLock};

/// A built-in function.
pub struct Function {
    /// The name as in the manual; lookups ignore case.
    pub name: &'static str,
    /// Minimum number of arguments.
    pub min_arguments: usize,
    /// Maximum number of arguments; `None` if unlimited.
    pub max_arguments: Option<usize>,
    /// Whether the result depends on the arguments alone, not on the time of evaluation.
    pub deterministic: bool,
    pub(crate) call: fn(&mut Evaluator, Call<'_>) -> Value,
}

impl PartialEq for Function {
    fn eq(&self, other: &Function) -> bool {
        self.name == other.name
    }
}

impl std::fmt::Debug for Function {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name)
    }
}

type FunctionBody = fn(&mut Evaluator, Call<'_>) -> Value;

const fn function(
    name: &'static str,
    min_arguments: usize,
    max_arguments: Option<usize>,
    call: FunctionBody,
) -> Function {
    Function {
        name,
        min_arguments,
        max_arguments,
        deterministic: true,
        call,
    }
}

const fn exactly(name: &'static str, arguments: usize, call: FunctionBody) -> Function {
    function(name, arguments, Some(arguments), call)
}

const fn between(
    name: &'static str,
    min_arguments: usize,
    max_arguments: usize,
    call: FunctionBody,
) -> Function {
    function(name, min_arguments, Some(max_arguments), call)
}

const fn time_dependent(
    name: &'static str,
    min_arguments: usize,
    max_arguments: usize,
    call: FunctionBody,
) -> Function {
    Function {
        deterministic: false,
        ..function(name, min_arguments, Some(max_arguments), call)
    }
}

/// Finds a function by name; case is ignored.
pub fn find(name: &str) -> Option<&'static Function> {
    FUNCTIONS
        .iter()
        .find(|function| function.name.eq_ignore_ascii_case(name))
}

/// The names of all functions.
pub fn names() -> impl Iterator<Item = &'static str> {
    FUNCTIONS.iter().map(|function| function.name)
}

static FUNCTIONS: [Function; 69] = [
    // Types.
    exactly("isUndefined", 1, |e, c| {
        Value::Bool(matches!(c.argument(0, e), Value::Undefined))
    }),
    exactly("isError", 1, |e, c| {
        Value::Bool(matches!(c.argument(0, e), Value::Error))
    }),
    exactly("isString", 1, |e, c| {
        Value::Bool(matches!(c.argument(0, e), Value::Str(_)))
    }),
    exactly("isInteger", 1, |e, c| {
        Value::Bool(matches!(c.argument(0, e), Value::Int(_)))
    }),
    exactly("isReal", 1, |e, c| {
        Value::Bool(matches!(c.argument(0, e), Value::Real(_)))
    }),
    exactly("isBoolean", 1, |e, c| {
        Value::Bool(matches!(c.argument(0, e), Value::Bool(_)))
    }),
    exactly("isList", 1, |e, c| {
        Value::Bool(matches!(c.argument(0, e), Value::List(_)))
    }),
    exactly("isClassAd", 1, |e, c| {
        Value::Bool(matches!(c.argument(0, e), Value::Record(_)))
    }),
    exactly("bool", 1, to_bool),
    exactly("int", 1, |e, c| rounded(e, c, f64::trunc)),
    exactly("real", 1, to_real),
    exactly("string", 1, |e, c| {
        with_arguments(e, c, |e, values| e.string_result(display_text(&values[0])))
    }),
    // Conditionals and evaluation.
    exactly("ifThenElse", 3, if_then_else),
    exactly("eval", 1, evaluate),
    exactly("unparse", 1, |e, c| {
        let text = c.arguments.first().map(ToString::to_string).unwrap_or_default();
        e.string_result(text)
    }),
    // Numbers.
    exactly("floor", 1, |e, c| rounded(e, c, f64::floor)),
    exactly("ceiling", 1, |e, c| rounded(e, c, f64::ceil)),
    exactly("round", 1, |e, c| rounded(e, c, f64::round_ties_even)),
    exactly("abs", 1, absolute),
    exactly("pow", 2, power),
    exactly("quantize", 2, quantize),
    exactly("sum", 1, |e, c| {
        with_number_list(e, c, |e, numbers| fold(e, numbers, BinaryOp::Plus))
    }),
    exactly("avg", 1, |e, c| with_number_list(e, c, average)),
    exactly("min", 1, |e, c| {
        with_number_list(e, c, |_, numbers| extreme(numbers, Ordering::Less))
    }),
    exactly("max", 1, |e, c| {
        with_number_list(e, c, |_, numbers| extreme(numbers, Ordering::Greater))
    }),
    // Strings.
    function("strcat", 0, None, |e, c| {
        with_arguments(e, c, |e, values| {
            let text = values.iter().map(display_text).collect();
            e.string_result(text)
        })
    }),
    function("join", 1, None, join),
    between("substr", 2, 3, substr),
    exactly("strcmp", 2, |e, c| {
        with_strings(e, c, |e, s| ordering_value(e, s[0].cmp(&s[1])))
    }),
    exactly("stricmp", 2, |e, c| {
        with_strings(e, c, |e, s| {
            ordering_value(e, s[0].to_ascii_lowercase().cmp(&s[1].to_ascii_lowercase()))
        })
    }),
    exactly("toUpper", 1, |e, c| {
        with_strings(e, c, |e, s| e.string_result(s[0].to_uppercase()))
    }),
    exactly("toLower", 1, |e, c| {
        with_strings(e, c, |e, s| e.string_result(s[0].to_lowercase()))
    }),
    exactly("size", 1, size),
    between("split", 1, 2, |e, c| {
        with_strings(e, c, |_, s| {
            let separators = s.get(1).map_or(" ,", |separators| separators);
            Value::List(split_entries(&s[0], separators).map(Value::from).collect())
        })
    }),
    exactly("splitUserName", 1, |e, c| {
        with_strings(e, c, |_, s| split_at_sign(&s[0], true))
    }),
    exactly("splitSlotName", 1, |e, c| {
        with_strings(e, c, |_, s| split_at_sign(&s[0], false))
    }),
    exactly("strlen", 1, |e, c| {
        with_strings(e, c, |_, s| Value::Int(s[0].chars().count() as i64))
    }),
    // Regular expressions.
    between("regexp", 2, 3, |e, c| {
        with_pattern(e, c, 2, |e, r, s| e.text_matches(r, &s[1]))
    }),
    between("regexps", 3, 4, |e, c| {
        with_pattern(e, c, 3, |e, r, s| replace_matches(e, r, s, Replacement::Match))
    }),
    between("replace", 3, 4, |e, c| {
        with_pattern(e, c, 3, |e, r, s| replace_matches(e, r, s, Replacement::First))
    }),
    between("replaceAll", 3, 4, |e, c| {
        with_pattern(e, c, 3, |e, r, s| replace_matches(e, r, s, Replacement::All))
    }),
    between("regexpMember", 2, 3, regexp_member),
    between("stringList_regexpMember", 2, 4, |e, c| {
        with_strings(e, c, |e, s| {
            let separators = s.get(2).map_or(" ,", |separators| separators);
            let options = s.get(3).map_or("", |options| options);
            let Some(pattern) = e.pattern(&s[0], options) else {
                return e.fail(Fault::FunctionCall(
                    "stringList_regexpMember",
                    "no pattern".to_owned(),
                ));
            };
            Value::Bool(split_entries(&s[1], separators).any(|entry| pattern.is_match(entry)))
        })
    }),
    // Lists.
    exactly("member", 2, |e, c| member(e, c, BinaryOp::Equal)),
    exactly("identicalMember", 2, |e, c| member(e, c, BinaryOp::Is)),
    exactly("anyCompare", 3, |e, c| compare_all(e, c, true)),
    exactly("allCompare", 3, |e, c| compare_all(e, c, false)),
    // Lists in strings.
    between("stringListSize", 1, 2, |e, c| {
        with_string_list(e, c, 1, |_, _, list| Value::Int(list.len() as i64))
    }),
    between("stringListSum", 1, 2, |e, c| {
        with_numeric_strings(e, c, |e, n| fold(e, n, BinaryOp::Plus))
    }),
    between("stringListAvg", 1, 2, |e, c| with_numeric_strings(e, c, average)),
    between("stringListMin", 1, 2, |e, c| {
        with_numeric_strings(e, c, |_, n| extreme(n, Ordering::Less))
    }),
    between("stringListMax", 1, 2, |e, c| {
        with_numeric_strings(e, c, |_, n| extreme(n, Ordering::Greater))
    }),
    between("stringListMember", 2, 3, |e, c| {
        with_string_list(e, c, 2, |_, s, list| Value::Bool(list.contains(&&*s[0])))
    }),
    between("stringListIMember", 2, 3, |e, c| {
        with_string_list(e, c, 2, |_, s, list| {
            Value::Bool(list.iter().any(|entry| entry.eq_ignore_ascii_case(&s[0])))
        })
    }),
    between("stringListSubsetMatch", 2, 3, |e, c| subset(e, c, |a, b| a == b)),
    between("stringListISubsetMatch", 2, 3, |e, c| {
        subset(e, c, |a, b| a.eq_ignore_ascii_case(b))
    }),
    between("stringListsIntersect", 2, 3, |e, c| {
        with_string_list(e, c, 2, |_, s, list| {
            let separators = s.get(2).map_or(" ,", |separators| separators);
            Value::Bool(split_entries(&s[0], separators).any(|entry| list.contains(&entry)))
        })
    }),
    // Versions.
    exactly("versioncmp", 2, |e, c| {
        with_strings(e, c, |e, s| ordering_value(e, compare_versions(&s[0], &s[1])))
    }),
    exactly("versionLT", 2, |e, c| test_version(e, c, Ordering::is_lt)),
    exactly("versionLE", 2, |e, c| test_version(e, c, Ordering::is_le)),
    exactly("versionGT", 2, |e, c| test_version(e, c, Ordering::is_gt)),
    exactly("versionGE", 2, |e, c| test_version(e, c, Ordering::is_ge)),
    exactly("versionEQ", 2, |e, c| test_version(e, c, Ordering::is_eq)),
    exactly("version_in_range", 3, |e, c| {
        with_strings(e, c, |_, s| {
            Value::Bool(compare_versions(&s[1], &s[0]).is_le() && compare_versions(&s[0], &s[2]).is_le())
        })
    }),
    // Time, in seconds since 1970.
    time_dependent("time", 0, 0, |e, _| Value::Int(e.now_s())),
    time_dependent("formatTime", 0, 2, format_time),
    exactly("interval", 1, interval),
    exactly("isAbsTime", 1, |_, _| Value::Bool(false)),
    exactly("isRelTime", 1, |_, _| Value::Bool(false)),
];

/// Calls `with` with the values of all arguments, unless one of them is ERROR or UNDEFINED.
fn with_arguments(
    evaluator: &mut Evaluator,
    call: Call<'_>,
    with: impl Fn(&mut Evaluator, &[Value]) -> Value,
) -> Value {
    let values = call.arguments(evaluator);
    if values.iter().any(|value| matches!(value, Value::Error)) {
        return Value::Error;
    }
    if values.iter().any(|value| matches!(value, Value::Undefined)) {
        return Value::Undefined;
    }
    with(evaluator, &values)
}

/// Calls `with` with the values of all arguments, which must be strings.
fn with_strings(
    evaluator: &mut Evaluator,
    call: Call<'_>,
    with: impl Fn(&mut Evaluator, &[Arc<str>]) -> Value,
) -> Value {
    with_arguments(evaluator, call, |evaluator, values| {
        let mut texts = Vec::with_capacity(values.len());
        for value in values {
            match value {
                Value::Str(text) => texts.push(text.clone()),
                other => return evaluator.fail(Fault::Operand(call.name, other.type_name())),
            }
        }
        if !evaluator.charge_steps(texts.iter().map(|text| text.len() / 64).sum()) {
            return evaluator.fail(Fault::StepLimit);
        }
        with(evaluator, &texts)
    })
}

/// The text of a value as `string()` returns it.
fn display_text(value: &Value) -> String {
    match value {
        Value::Str(text) => text.to_string(),
        other => other.to_string(),
    }
}

fn ordering_value(_: &mut Evaluator, order: Ordering) -> Value {
    Value::Int(order as i64)
}

/// The trimmed non-empty entries of a string list.
fn split_entries<'a>(text: &'a str, separators: &'a str) -> impl Iterator<Item = &'a str> {
    text.split(move |next| separators.contains(next))
        .map(str::trim)
        .filter(|entry| !entry.is_empty())
}

fn to_bool(evaluator: &mut Evaluator, call: Call<'_>) -> Value {
    with_arguments(evaluator, call, |evaluator, values| match &values[0] {
        Value::Str(text) if text.eq_ignore_ascii_case("true") => Value::Bool(true),
        Value::Str(text) if text.eq_ignore_ascii_case("false") => Value::Bool(false),
        value => match value.truth() {
            Some(truth) => Value::Bool(truth),
            None => evaluator.fail(Fault::Operand("bool", value.type_name())),
        },
    })
}

/// Converts a value, or the text of a string, to a number.
fn numeric(value: &Value) -> Option<Value> {
    match value {
        Value::Int(_) | Value::Real(_) => Some(value.clone()),
        Value::Bool(truth) => Some(Value::Int(i64::from(*truth))),
        Value::Str(text) => {
            let text = text.trim();
            let whole = text.parse::<i64>().ok().map(Value::Int);
            whole.or_else(|| text.parse::<f64>().ok().map(Value::Real))
        }
        _ => None,
    }
}

fn to_real(evaluator: &mut Evaluator, call: Call<'_>) -> Value {
    with_arguments(evaluator, call, |evaluator, values| {
        match numeric(&values[0]).and_then(|value| value.as_number()) {
            Some(value) => Value::Real(value),
            None => evaluator.fail(Fault::Operand("real", values[0].type_name())),
        }
    })
}

fn rounded(evaluator: &mut Evaluator, call: Call<'_>, round: fn(f64) -> f64) -> Value {
    with_arguments(evaluator, call, |evaluator, values| match numeric(&values[0]) {
        Some(Value::Int(value)) => Value::Int(value),
        Some(Value::Real(value)) => {
            let value = round(value);
            // Values beyond this do not fit into an i64.
            if value.is_finite() && value.abs() < 9.2e18 {
                Value::Int(value as i64)
            } else {
                evaluator.fail(Fault::Overflow(call.name))
            }
        }
        _ => evaluator.fail(Fault::Operand(call.name, values[0].type_name())),
    })
}

fn if_then_else(evaluator: &mut Evaluator, call: Call<'_>) -> Value {
    let condition = call.argument(0, evaluator);
    match (condition.truth(), condition) {
        (Some(true), _) => call.argument(1, evaluator),
        (Some(false), _) => call.argument(2, evaluator),
        (None, Value::Undefined) => Value::Undefined,
        (None, other) => evaluator.fail(Fault::Operand("ifThenElse", other.type_name())),
    }
}

/// Evaluates a string as an expression; returns any other value unchanged.
fn evaluate(evaluator: &mut Evaluator, call: Call<'_>) -> Value {
    match call.argument(0, evaluator) {
        Value::Str(text) => call.evaluate_text(&text, evaluator),
        value => value,
    }
}

fn absolute(evaluator: &mut Evaluator, call: Call<'_>) -> Value {
    with_arguments(evaluator, call, |evaluator, values| match &values[0] {
        Value::Int(value) => value
            .checked_abs()
            .map_or_else(|| evaluator.fail(Fault::Overflow("abs")), Value::Int),
        Value::Real(value) => Value::Real(value.abs()),
        other => evaluator.fail(Fault::Operand("abs", other.type_name())),
    })
}

fn power(evaluator: &mut Evaluator, call: Call<'_>) -> Value {
    with_arguments(evaluator, call, |evaluator, values| match values {
        [Value::Int(base), Value::Int(exponent)] if *exponent >= 0 => {
            let exponent = u32::try_from(*exponent).unwrap_or(u32::MAX);
            match base.checked_pow(exponent) {
                Some(value) => Value::Int(value),
                None => evaluator.fail(Fault::Overflow("pow")),
            }
        }
        [base, exponent] => match (base.as_number(), exponent.as_number()) {
            (Some(base), Some(exponent)) => Value::Real(base.powf(exponent)),
            _ => evaluator.fail(Fault::Operands("pow", base.type_name(), exponent.type_name())),
        },
        _ => Value::Error,
    })
}

/// Rounds the first argument up to a multiple of the second. If the second is a list, returns
/// its first entry that is not less, or else rounds up to a multiple of its last entry.
fn quantize(evaluator: &mut Evaluator, call: Call<'_>) -> Value {
    with_arguments(evaluator, call, |evaluator, values| {
        let Some(wanted) = values[0].as_number() else {
            return evaluator.fail(Fault::Operand("quantize", values[0].type_name()));
        };
        let step = match &values[1] {
            Value::List(steps) => {
                let enough = steps
                    .iter()
                    .find(|step| step.as_number().is_some_and(|step| step >= wanted));
                match (enough, steps.last()) {
                    (Some(step), _) => return step.clone(),
                    (None, Some(last)) => last.clone(),
                    (None, None) => return values[0].clone(),
                }
            }
            step => step.clone(),
        };
        match (&values[0], &step) {
            (_, step) if step.as_number().is_none_or(|step| step <= 0.0) => {
                evaluator.fail(Fault::Operand("quantize", step.type_name()))
            }
            (Value::Int(wanted), Value::Int(step)) => {
                let remainder = wanted.rem_euclid(*step);
                let missing = if remainder == 0 { 0 } else { step - remainder };
                wanted
                    .checked_add(missing)
                    .map_or_else(|| evaluator.fail(Fault::Overflow("quantize")), Value::Int)
            }
            (_, step) => {
                let size = step.as_number().unwrap_or(1.0);
                let value = (wanted / size).ceil() * size;
                if matches!(step, Value::Int(_)) {
                    Value::number(value)
                } else {
                    Value::Real(value)
                }
            }
        }
    })
}

/// Calls `with` with the numbers of a list; UNDEFINED entries are skipped.
fn with_number_list(
    evaluator: &mut Evaluator,
    call: Call<'_>,
    with: impl Fn(&mut Evaluator, Vec<Value>) -> Value,
) -> Value {
    with_arguments(evaluator, call, |evaluator, values| {
        let Value::List(entries) = &values[0] else {
            return evaluator.fail(Fault::Operand(call.name, values[0].type_name()));
        };
        let numbers: Vec<Value> = entries
            .iter()
            .filter(|entry| **entry != Value::Undefined)
            .cloned()
            .collect();
        if let Some(other) = numbers.iter().find(|number| number.as_number().is_none()) {
            return evaluator.fail(Fault::Operand(call.name, other.type_name()));
        }
        with(evaluator, numbers)
    })
}

fn fold(evaluator: &mut Evaluator, numbers: Vec<Value>, operator: BinaryOp) -> Value {
    let sum = numbers
        .into_iter()
        .reduce(|sum, number| evaluator.binary(operator, &sum, &number));
    sum.unwrap_or(Value::Int(0))
}

fn average(evaluator: &mut Evaluator, numbers: Vec<Value>) -> Value {
    let count = numbers.len();
    match fold(evaluator, numbers, BinaryOp::Plus).as_number() {
        Some(sum) if count > 0 => Value::Real(sum / count as f64),
        Some(_) => Value::Real(0.0),
        None => Value::Error,
    }
}

fn extreme(numbers: Vec<Value>, wanted: Ordering) -> Value {
    let found = numbers.into_iter().reduce(|best, next| {
        let order = next.as_number().partial_cmp(&best.as_number());
        if order == Some(wanted) { next } else { best }
    });
    found.unwrap_or(Value::Undefined)
}

fn join(evaluator: &mut Evaluator, call: Call<'_>) -> Value {
    with_arguments(evaluator, call, |evaluator, values| {
        let (separator, rest) = match values {
            [Value::List(entries)] => (String::new(), entries.to_vec()),
            [separator, Value::List(entries)] => (display_text(separator), entries.to_vec()),
            [separator, rest @ ..] => (display_text(separator), rest.to_vec()),
            [] => (String::new(), Vec::new()),
        };
        let texts: Vec<String> = rest.iter().map(display_text).collect();
        evaluator.string_result(texts.join(&separator))
    })
}

/// Positions count characters; negative ones count from the end.
fn substr(evaluator: &mut Evaluator, call: Call<'_>) -> Value {
    with_arguments(evaluator, call, |evaluator, values| {
        let (Value::Str(text), Value::Int(start)) = (&values[0], &values[1]) else {
            return evaluator.fail(Fault::Operands(
                "substr",
                values[0].type_name(),
                values[1].type_name(),
            ));
        };
        let length = match values.get(2) {
            None => None,
            Some(Value::Int(length)) => Some(*length),
            Some(other) => return evaluator.fail(Fault::Operand("substr", other.type_name())),
        };
        Value::from(substring(text, *start, length))
    })
}

/// The substring that `substr` returns. A negative start counts from the end; a negative length
/// is the number of characters to leave out at the end.
pub fn substring(text: &str, start: i64, length: Option<i64>) -> String {
    let count = text.chars().count() as i64;
    let start = if start < 0 {
        count.saturating_add(start)
    } else {
        start
    }
    .clamp(0, count);
    let end = match length {
        None => count,
        Some(length) if length < 0 => count.saturating_add(length),
        Some(length) => start.saturating_add(length),
    }
    .clamp(start, count);
    text.chars()
        .skip(start as usize)
        .take((end - start) as usize)
        .collect()
}

fn size(evaluator: &mut Evaluator, call: Call<'_>) -> Value {
    with_arguments(evaluator, call, |evaluator, values| match &values[0] {
        Value::Str(text) => Value::Int(text.chars().count() as i64),
        Value::List(entries) => Value::Int(entries.len() as i64),
        Value::Record(attributes) => Value::Int(attributes.len() as i64),
        other => evaluator.fail(Fault::Operand("size", other.type_name())),
    })
}

/// Splits a text at the first `@`. Without an `@`, the whole text is the first part of a user
/// name, or the second part of a slot name.
fn split_at_sign(text: &str, user: bool) -> Value {
    let (first, second) = match text.split_once('@') {
        Some(halves) => halves,
        None if user => (text, ""),
        None => ("", text),
    };
    Value::List(Arc::from([Value::from(first), Value::from(second)]))
}

impl Evaluator {
    fn text_matches(&mut self, pattern: &regex::Regex, text: &str) -> Value {
        Value::Bool(pattern.is_match(text))
    }
}

/// Calls `with` with the compiled pattern (the first argument) and all arguments; `options` is
/// the index of the argument that contains the pattern options.
fn with_pattern(
    evaluator: &mut Evaluator,
    call: Call<'_>,
    options: usize,
    with: impl Fn(&mut Evaluator, &regex::Regex, &[Arc<str>]) -> Value,
) -> Value {
    with_strings(evaluator, call, |evaluator, texts| {
        static NO_OPTIONS: LazyLock<Arc<str>> = LazyLock::new(|| Arc::from(""));
        let given = texts.get(options).unwrap_or(&NO_OPTIONS);
        match evaluator.shared_pattern(&texts[0], given) {
            Some(pattern) => with(evaluator, &pattern, texts),
            None => evaluator.fail(Fault::FunctionCall(
                call.name,
                format!("{:?} is no pattern, or one too large", texts[0]),
            )),
        }
    })
}

/// What a replacement returns.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Replacement {
    /// Only the text that replaces the first match.
    Match,
    /// The whole text with the first match replaced.
    First,
    /// The whole text with all matches replaced.
    All,
}

fn replace_matches(
    evaluator: &mut Evaluator,
    pattern: &regex::Regex,
    texts: &[Arc<str>],
    replacement: Replacement,
) -> Value {
    let (text, template) = (&texts[1], &texts[2]);
    let mut out = String::new();
    let mut copied = 0;
    for found in pattern.captures_iter(text) {
        let Some(whole) = found.get(0) else { break };
        if replacement != Replacement::Match {
            out.push_str(&text[copied..whole.start()]);
        }
        substitute(template, &found, &mut out);
        copied = whole.end();
        if replacement != Replacement::All || out.len() > MAX_RESULT_SIZE {
            break;
        }
    }
    if replacement != Replacement::Match {
        out.push_str(&text[copied..]);
    }
    evaluator.string_result(out)
}

/// Expands a template, in which `\0` to `\9` stand for the capture groups.
fn substitute(template: &str, found: &regex::Captures<'_>, out: &mut String) {
    let mut rest = template.chars();
    while let Some(next) = rest.next() {
        let group = (next == '\\')
            .then(|| rest.as_str().chars().next()?.to_digit(10))
            .flatten();
        match group {
            Some(group) => {
                rest.next();
                out.push_str(found.get(group as usize).map_or("", |group| group.as_str()));
            }
            None => out.push(next),
        }
    }
}

fn regexp_member(evaluator: &mut Evaluator, call: Call<'_>) -> Value {
    with_arguments(evaluator, call, |evaluator, values| {
        let options = match values.get(2) {
            None => "",
            Some(Value::Str(options)) => options,
            Some(other) => return evaluator.fail(Fault::Operand("regexpMember", other.type_name())),
        };
        let (Value::Str(pattern), Value::List(list)) = (&values[0], &values[1]) else {
            return evaluator.fail(Fault::Operands(
                "regexpMember",
                values[0].type_name(),
                values[1].type_name(),
            ));
        };
        let Some(pattern) = evaluator.pattern(pattern, options) else {
            return evaluator.fail(Fault::FunctionCall("regexpMember", "no pattern".to_owned()));
        };
        let mut has_undefined = false;
        for entry in list.iter() {
            match entry {
                Value::Str(text) if pattern.is_match(text) => return Value::Bool(true),
                Value::Str(_) => (),
                Value::Undefined => has_undefined = true,
                other => return evaluator.fail(Fault::Operand("regexpMember", other.type_name())),
            }
        }
        if has_undefined {
            Value::Undefined
        } else {
            Value::Bool(false)
        }
    })
}

fn member(evaluator: &mut Evaluator, call: Call<'_>, operator: BinaryOp) -> Value {
    let wanted = call.argument(0, evaluator);
    let list = call.argument(1, evaluator);
    let list = match (&wanted, list) {
        (Value::Error, _) | (_, Value::Error) => return Value::Error,
        (Value::Undefined, _) if operator == BinaryOp::Equal => return Value::Undefined,
        (_, Value::Undefined) => return Value::Undefined,
        (_, Value::List(list)) => list,
        (_, other) => return evaluator.fail(Fault::Operand(call.name, other.type_name())),
    };
    if !evaluator.charge_steps(list.len()) {
        return evaluator.fail(Fault::StepLimit);
    }
    // Entries of another type do not match and are not an error, so their faults are discarded.
    let known = evaluator.fault().cloned();
    let found = list
        .iter()
        .any(|entry| evaluator.binary(operator, &wanted, entry) == Value::Bool(true));
    evaluator.restore_fault(known);
    Value::Bool(found)
}

fn compare_all(evaluator: &mut Evaluator, call: Call<'_>, any: bool) -> Value {
    with_arguments(evaluator, call, |evaluator, values| {
        let (Value::Str(operator), Value::List(list)) = (&values[0], &values[1]) else {
            return evaluator.fail(Fault::Operands(
                call.name,
                values[0].type_name(),
                values[1].type_name(),
            ));
        };
        let operator = match &**operator {
            "<" => BinaryOp::Less,
            "<=" => BinaryOp::LessOrEqual,
            ">" => BinaryOp::Greater,
            ">=" => BinaryOp::GreaterOrEqual,
            "==" => BinaryOp::Equal,
            "!=" => BinaryOp::NotEqual,
            "is" | "=?=" => BinaryOp::Is,
            "isnt" | "=!=" => BinaryOp::Isnt,
            other => {
                let why = format!("{other:?} does not compare");
                return evaluator.fail(Fault::FunctionCall(call.name, why));
            }
        };
        if !evaluator.charge_steps(list.len()) {
            return evaluator.fail(Fault::StepLimit);
        }
        let mut holds = |entry: &Value| evaluator.binary(operator, entry, &values[2]) == Value::Bool(true);
        Value::Bool(if any {
            list.iter().any(&mut holds)
        } else {
            list.iter().all(&mut holds)
        })
    })
}

/// Calls `with` with all arguments and the entries of a string list. `separators` is the index of
/// the optional argument with the separators; the list is the argument before it.
fn with_string_list(
    evaluator: &mut Evaluator,
    call: Call<'_>,
    separators: usize,
    with: impl Fn(&mut Evaluator, &[Arc<str>], Vec<&str>) -> Value,
) -> Value {
    with_strings(evaluator, call, |evaluator, texts| {
        let given = texts.get(separators).map_or(" ,", |separators| separators);
        let list: Vec<&str> = split_entries(&texts[separators - 1], given).collect();
        if !evaluator.charge_steps(list.len()) {
            return evaluator.fail(Fault::StepLimit);
        }
        with(evaluator, texts, list)
    })
}

/// Calls `with` with the entries of a string list, which must all be numbers.
fn with_numeric_strings(
    evaluator: &mut Evaluator,
    call: Call<'_>,
    with: impl Fn(&mut Evaluator, Vec<Value>) -> Value,
) -> Value {
    with_string_list(evaluator, call, 1, |evaluator, _, list| {
        let numbers: Option<Vec<Value>> = list.iter().map(|entry| numeric(&Value::from(*entry))).collect();
        match numbers {
            Some(numbers) => with(evaluator, numbers),
            None => evaluator.fail(Fault::Operand(call.name, "a list of what is not all numbers")),
        }
    })
}

fn subset(evaluator: &mut Evaluator, call: Call<'_>, same: fn(&str, &str) -> bool) -> Value {
    with_string_list(evaluator, call, 2, |_, texts, list| {
        let separators = texts.get(2).map_or(" ,", |separators| separators);
        let all =
            split_entries(&texts[0], separators).all(|entry| list.iter().any(|other| same(entry, other)));
        Value::Bool(all)
    })
}

fn test_version(evaluator: &mut Evaluator, call: Call<'_>, holds: fn(Ordering) -> bool) -> Value {
    with_strings(evaluator, call, |_, texts| {
        Value::Bool(holds(compare_versions(&texts[0], &texts[1])))
    })
}

/// Compares versions: runs of digits by numeric value, everything else character by character.
pub fn compare_versions(left: &str, right: &str) -> Ordering {
    let (mut left, mut right) = (left, right);
    loop {
        let digits = |text: &str| text.bytes().take_while(u8::is_ascii_digit).count();
        let (left_digits, right_digits) = (digits(left), digits(right));
        if left_digits > 0 && right_digits > 0 {
            let number = |text: &'_ str| text.trim_start_matches('0').to_owned();
            let (a, b) = (number(&left[..left_digits]), number(&right[..right_digits]));
            match a.len().cmp(&b.len()).then_with(|| a.cmp(&b)) {
                Ordering::Equal => (left, right) = (&left[left_digits..], &right[right_digits..]),
                order => return order,
            }
            continue;
        }
        match (left.chars().next(), right.chars().next()) {
            (Some(a), Some(b)) if a == b => {
                (left, right) = (&left[a.len_utf8()..], &right[b.len_utf8()..]);
            }
            (a, b) => return a.cmp(&b),
        }
    }
}

/// Formats a time in UTC with a format such as `%Y-%m-%d`.
fn format_time(evaluator: &mut Evaluator, call: Call<'_>) -> Value {
    let timestamp = match call.arguments.first() {
        None => Value::Int(evaluator.now_s()),
        Some(_) => call.argument(0, evaluator),
    };
    let format = match call.arguments.get(1) {
        None => Value::from("%c"),
        Some(_) => call.argument(1, evaluator),
    };
    match (timestamp, format) {
        (Value::Error, _) | (_, Value::Error) => Value::Error,
        (Value::Undefined, _) | (_, Value::Undefined) => Value::Undefined,
        (timestamp, Value::Str(format)) if timestamp.as_number().is_some() => {
            let time = timestamp
                .as_number()
                .and_then(|timestamp| DateTime::from_timestamp(timestamp as i64, 0));
            let mut out = String::new();
            // chrono reports an invalid format only when the result is written.
            match time.map(|time| write!(out, "{}", time.format(&format))) {
                Some(Ok(())) => evaluator.string_result(out),
                _ => evaluator.fail(Fault::FunctionCall(
                    "formatTime",
                    format!("{format:?} is no format"),
                )),
            }
        }
        (timestamp, format) => evaluator.fail(Fault::Operands(
            "formatTime",
            timestamp.type_name(),
            format.type_name(),
        )),
    }
}

/// Formats seconds as days, hours, minutes and seconds.
fn interval(evaluator: &mut Evaluator, call: Call<'_>) -> Value {
    with_arguments(evaluator, call, |evaluator, values| {
        let Some(seconds) = values[0].as_number() else {
            return evaluator.fail(Fault::Operand("interval", values[0].type_name()));
        };
        let total = seconds.abs() as u64;
        let sign = if seconds < 0.0 { "-" } else { "" };
        let (days, hours, minutes) = (total / 86_400, total / 3_600 % 24, total / 60 % 60);
        let clock = match (days, hours, minutes) {
            (0, 0, 0) => format!("{sign}{}", total % 60),
            (0, 0, _) => format!("{sign}{minutes}:{:02}", total % 60),
            (0, _, _) => format!("{sign}{hours}:{minutes:02}:{:02}", total % 60),
            _ => format!("{sign}{days}+{hours:02}:{minutes:02}:{:02}", total % 60),
        };
        Value::from(clock)
    })
}
