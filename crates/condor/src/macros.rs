//! Macros: the definitions of a submit file, and the expansion of values.

use crate::constants::{MAX_DEFINITIONS, MAX_NESTING_DEPTH, MAX_VALUE_BYTES};
use crate::printf;
use crate::source::{Line, SourceLocation, SubmitEnvironment, SubmitError};
use crate::template::{self, Piece, Template, is_path_function};
use indigopath_classad::{Ad, Evaluator, Expr, Value, substring};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A name's definition in a submit file.
#[derive(Debug, Clone)]
pub struct Definition {
    /// The name as written in the file.
    pub name: Arc<str>,
    pub template: Template,
    line: Arc<Line>,
    /// Byte offset in the line at which the value begins.
    value_offset: usize,
    used: Arc<AtomicBool>,
}

impl Definition {
    /// Returns the location of the name.
    pub fn location(&self) -> SourceLocation {
        self.line.location(0)
    }

    /// Returns the location of a byte of the expanded value, or of the value's beginning if the
    /// value contains macros.
    pub fn location_in_value(&self, byte: usize) -> SourceLocation {
        match self.template.as_literal() {
            Some(_) => self.line.location(self.value_offset + byte),
            None => self.line.location(self.value_offset),
        }
    }

    /// Whether anything else in the file refers to the definition.
    pub fn is_used(&self) -> bool {
        self.used.load(Ordering::Relaxed)
    }

    fn error(&self, byte: usize, problem: impl Into<String>) -> SubmitError {
        self.line.error(self.value_offset + byte, problem)
    }
}

/// The proc for which a value is expanded.
#[derive(Debug, Clone, Copy)]
pub struct ProcContext<'a> {
    pub cluster: u64,
    pub process: usize,
    pub step: usize,
    pub row: usize,
    /// Variables of the `queue` statement with their values, by lower-case name.
    pub items: &'a [(Arc<str>, &'a str)],
}

/// Built-in macros that differ between procs.
pub const PER_PROC_MACROS: [&str; 8] = [
    "cluster",
    "clusterid",
    "process",
    "procid",
    "step",
    "row",
    "itemindex",
    "node",
];

/// All definitions of a file so far.
pub struct Macros<'f> {
    table: FxHashMap<Arc<str>, Definition>,
    files: &'f dyn SubmitEnvironment,
    /// Undefined names that were referred to, with the location of the first reference.
    undefined: RefCell<Vec<(Arc<str>, SourceLocation)>>,
}

impl<'f> Macros<'f> {
    /// Creates the built-in definitions. `now_s` is the time of submission as Unix time in s.
    pub fn new(file: &str, now_s: i64, files: &'f dyn SubmitEnvironment) -> Macros<'f> {
        let mut macros = Macros {
            table: FxHashMap::default(),
            files,
            undefined: RefCell::new(Vec::new()),
        };
        let date = chrono::DateTime::from_timestamp(now_s, 0).unwrap_or_default();
        for (name, value) in [
            ("SUBMIT_FILE", file.to_owned()),
            ("SUBMIT_TIME", now_s.to_string()),
            ("YEAR", date.format("%Y").to_string()),
            ("MONTH", date.format("%m").to_string()),
            ("DAY", date.format("%d").to_string()),
            ("IsLinux", "true".to_owned()),
            ("IsWindows", "false".to_owned()),
            ("DOLLAR", "$".to_owned()),
        ] {
            let definition = Definition {
                name: Arc::from(name),
                template: Template {
                    pieces: Arc::from([Piece::Text(Arc::from(value))]),
                },
                line: Arc::new(Line::built_in()),
                value_offset: 0,
                used: Arc::new(AtomicBool::new(true)),
            };
            macros
                .table
                .insert(Arc::from(name.to_ascii_lowercase()), definition);
        }
        macros
    }

    /// Defines a name by the value at a byte offset of a line.
    ///
    /// # Errors
    /// The value contains an unterminated macro, is too long, or too many names are defined.
    pub fn define(
        &mut self,
        name: &str,
        line: &Arc<Line>,
        value_offset: usize,
        value: &str,
    ) -> Result<(), SubmitError> {
        let key: Arc<str> = Arc::from(name.to_ascii_lowercase());
        if value.len() > MAX_VALUE_BYTES {
            return Err(line.error(
                value_offset,
                format!("the value is longer than {MAX_VALUE_BYTES} bytes"),
            ));
        }
        let parse = |text: &str| {
            template::parse(text).map_err(|offset| {
                line.error(
                    value_offset + offset.min(value.len()),
                    "this macro does not end, or is too deep",
                )
            })
        };
        let mut template = parse(value)?;
        // A reference to the name itself stands for the previous definition.
        let refers_to_itself = |piece: &Piece| matches!(piece, Piece::Macro { name, .. } if *name == key);
        if template.pieces.iter().any(refers_to_itself) {
            let mut pieces = Vec::new();
            for piece in template.pieces.iter() {
                match piece {
                    Piece::Macro { default, .. } if refers_to_itself(piece) => {
                        match (self.table.get(&key), default) {
                            (Some(previous), _) => {
                                previous.used.store(true, Ordering::Relaxed);
                                pieces.extend(previous.template.pieces.iter().cloned());
                            }
                            (None, Some(default)) => pieces.extend(default.pieces.iter().cloned()),
                            (None, None) => (),
                        }
                    }
                    other => pieces.push(other.clone()),
                }
            }
            if pieces.len() > MAX_VALUE_BYTES / 8 {
                return Err(line.error(value_offset, "the value has grown too long"));
            }
            template = Template {
                pieces: Arc::from(pieces),
            };
        }
        let definition = Definition {
            name: Arc::from(name),
            template,
            line: line.clone(),
            value_offset,
            used: Arc::new(AtomicBool::new(false)),
        };
        self.table.insert(key, definition);
        if self.table.len() > MAX_DEFINITIONS {
            return Err(line.error(0, format!("more than {MAX_DEFINITIONS} names are defined")));
        }
        Ok(())
    }

    pub fn get(&self, name: &str) -> Option<&Definition> {
        self.table.get(name.to_ascii_lowercase().as_str())
    }

    /// Returns the file's own definitions with their lower-case names, in file order.
    pub fn iter(&self) -> Vec<(&Arc<str>, &Definition)> {
        let from_file = self
            .table
            .iter()
            .filter(|(_, definition)| !definition.line.is_built_in());
        let mut all: Vec<_> = from_file.collect();
        all.sort_by_cached_key(|(key, definition)| (definition.location(), (*key).clone()));
        all
    }

    /// Takes the undefined names that were referred to, each once.
    pub fn take_undefined(&self) -> Vec<(Arc<str>, SourceLocation)> {
        std::mem::take(&mut *self.undefined.borrow_mut())
    }

    /// Whether a value can differ between procs.
    pub fn varies_by_proc(&self, template: &Template, variables: &[Arc<str>]) -> bool {
        self.varies_within(template, variables, 0)
    }

    fn varies_within(&self, template: &Template, variables: &[Arc<str>], depth: usize) -> bool {
        // Nesting that is too deep is reported when the value is expanded.
        if depth > MAX_NESTING_DEPTH {
            return true;
        }
        template.pieces.iter().any(|piece| match piece {
            Piece::Text(_) | Piece::MachineMacro { .. } => false,
            Piece::Macro { name, default, .. } => {
                PER_PROC_MACROS.contains(&&**name)
                    || variables.contains(name)
                    || self
                        .table
                        .get(name)
                        .is_some_and(|known| self.varies_within(&known.template, variables, depth + 1))
                    || default
                        .as_ref()
                        .is_some_and(|default| self.varies_within(default, variables, depth + 1))
            }
            // The names that a function refers to are known only after expansion.
            Piece::ComputedName { .. } | Piece::Function { .. } => true,
        })
    }

    /// Expands a definition, for a proc if one is given.
    ///
    /// # Errors
    /// A macro refers to itself, a function call is invalid, or the value is too long.
    pub fn expand_definition(
        &self,
        definition: &Definition,
        proc: Option<&ProcContext<'_>>,
    ) -> Result<String, SubmitError> {
        if let Some(text) = definition.template.as_literal() {
            return Ok(text.to_owned());
        }
        let mut out = String::new();
        self.expand(&definition.template, definition, proc, 0, &mut out)?;
        Ok(out)
    }

    /// Expands a text in a line, such as a condition or a list of items.
    ///
    /// # Errors
    /// As for [`Macros::expand_definition`].
    pub fn expand_text(
        &self,
        line: &Arc<Line>,
        value_offset: usize,
        text: &str,
    ) -> Result<String, SubmitError> {
        if !text.contains('$') {
            return Ok(text.to_owned());
        }
        let template = template::parse(text)
            .map_err(|offset| line.error(value_offset + offset, "this macro does not end, or is too deep"))?;
        let definition = Definition {
            name: Arc::from(""),
            template,
            line: line.clone(),
            value_offset,
            used: Arc::new(AtomicBool::new(true)),
        };
        self.expand_definition(&definition, None)
    }

    fn expand(
        &self,
        template: &Template,
        definition: &Definition,
        proc: Option<&ProcContext<'_>>,
        depth: usize,
        out: &mut String,
    ) -> Result<(), SubmitError> {
        if depth > MAX_NESTING_DEPTH {
            return Err(definition.error(0, "its macros need each other, or are too deep"));
        }
        for piece in template.pieces.iter() {
            match piece {
                Piece::Text(text) => out.push_str(text),
                Piece::Macro {
                    name,
                    default,
                    offset,
                } => {
                    if !self.expand_name(name, proc, depth, out)? {
                        match default {
                            Some(default) => self.expand(default, definition, proc, depth + 1, out)?,
                            None => self.record_undefined(name, definition, *offset),
                        }
                    }
                }
                Piece::ComputedName { name, offset } => {
                    let mut computed = String::new();
                    self.expand(name, definition, proc, depth + 1, &mut computed)?;
                    let name = computed.trim().to_ascii_lowercase();
                    if !self.expand_name(&name, proc, depth, out)? {
                        self.record_undefined(&name, definition, *offset);
                    }
                }
                Piece::Function {
                    name,
                    argument,
                    offset,
                } => {
                    let mut expanded = String::new();
                    self.expand(argument, definition, proc, depth + 1, &mut expanded)?;
                    let value = self.function(name, &expanded, proc, depth)?.map_err(|problem| {
                        definition.error(*offset, format!("${name}({expanded}): {problem}"))
                    })?;
                    out.push_str(&value);
                }
                Piece::MachineMacro { offset } => {
                    let problem =
                        "$$() would be filled in from the machine that is matched, which is not done here";
                    return Err(definition.error(*offset, problem));
                }
            }
            if out.len() > MAX_VALUE_BYTES {
                return Err(definition.error(0, format!("the value is longer than {MAX_VALUE_BYTES} bytes")));
            }
        }
        Ok(())
    }

    /// Appends the value of a lower-case name; returns `false` if the name is not defined.
    fn expand_name(
        &self,
        name: &str,
        proc: Option<&ProcContext<'_>>,
        depth: usize,
        out: &mut String,
    ) -> Result<bool, SubmitError> {
        if let Some(proc) = proc {
            if let Some((_, value)) = proc.items.iter().find(|(known, _)| **known == *name) {
                out.push_str(value);
                return Ok(true);
            }
            let number = match name {
                "cluster" | "clusterid" => Some(proc.cluster),
                "process" | "procid" => Some(proc.process as u64),
                "step" => Some(proc.step as u64),
                "row" | "itemindex" => Some(proc.row as u64),
                _ => None,
            };
            if let Some(number) = number {
                out.push_str(&number.to_string());
                return Ok(true);
            }
        }
        let Some(definition) = self.table.get(name) else {
            return Ok(false);
        };
        definition.used.store(true, Ordering::Relaxed);
        self.expand(&definition.template, definition, proc, depth + 1, out)?;
        Ok(true)
    }

    fn record_undefined(&self, name: &str, definition: &Definition, offset: usize) {
        // `$(Node)` of a parallel job is known only where the job runs.
        let mut undefined = self.undefined.borrow_mut();
        if name != "node" && undefined.iter().all(|(known, _)| **known != *name) {
            undefined.push((
                Arc::from(name),
                definition.line.location(definition.value_offset + offset),
            ));
        }
    }

    /// Returns the value of the macro with this name, or the word itself if there is none.
    fn resolve_word(
        &self,
        word: &str,
        proc: Option<&ProcContext<'_>>,
        depth: usize,
    ) -> Result<String, SubmitError> {
        let mut out = String::new();
        if self.expand_name(&word.to_ascii_lowercase(), proc, depth, &mut out)? {
            return Ok(out);
        }
        Ok(word.to_owned())
    }

    fn function(
        &self,
        name: &str,
        expanded: &str,
        proc: Option<&ProcContext<'_>>,
        depth: usize,
    ) -> Result<Result<String, String>, SubmitError> {
        let first = expanded.split(',').next().unwrap_or_default().trim();
        Ok(match name {
            "INT" | "REAL" | "STRING" => {
                // What follows the last comma is the format, if it begins with a percent sign.
                let (item, format) = match expanded.rsplit_once(',') {
                    Some((item, format)) if format.trim_start().starts_with('%') => {
                        (item.trim(), Some(format.trim()))
                    }
                    _ => (expanded.trim(), None),
                };
                let text = self.resolve_word(item, proc, depth)?;
                convert(name, &text, format)
            }
            "EVAL" => {
                let text = self.resolve_word(expanded.trim(), proc, depth)?;
                evaluate_constant(&text).map(|value| match value {
                    Value::Str(text) => text.to_string(),
                    other => other.to_string(),
                })
            }
            "CHOICE" => {
                let rest: Vec<&str> = expanded.split(',').skip(1).map(str::trim).collect();
                let index = self.resolve_word(first, proc, depth)?;
                let items: Vec<String> = match &rest[..] {
                    [list] => {
                        let list = self.resolve_word(list, proc, depth)?;
                        let entries = list.split([',', ' ', '\t']).filter(|entry| !entry.is_empty());
                        entries.map(str::to_owned).collect()
                    }
                    items => items.iter().map(|item| (*item).to_owned()).collect(),
                };
                match evaluate_constant(&index) {
                    Ok(Value::Int(index)) => usize::try_from(index)
                        .ok()
                        .and_then(|index| items.get(index).cloned())
                        .ok_or_else(|| format!("there is no item {index} among {}", items.len())),
                    Ok(other) => Err(format!("the index is {}, not an integer", other.type_name())),
                    Err(problem) => Err(problem),
                }
            }
            "SUBSTR" => {
                let numbers: Vec<Result<i64, _>> = expanded
                    .split(',')
                    .skip(1)
                    .map(|text| text.trim().parse())
                    .collect();
                let text = self.resolve_word(first, proc, depth)?;
                match &numbers[..] {
                    [Ok(start)] => Ok(substring(&text, *start, None)),
                    [Ok(start), Ok(length)] => Ok(substring(&text, *start, Some(*length))),
                    _ => Err("it takes a name, a start and perhaps a length".to_owned()),
                }
            }
            "ENV" => {
                let (variable, default) = match expanded.split_once(':') {
                    Some((variable, default)) => (variable, Some(default)),
                    None => (expanded, None),
                };
                self.files
                    .env_var(variable.trim())
                    .or_else(|| default.map(str::to_owned))
                    .ok_or_else(|| "the environment has no such variable".to_owned())
            }
            "BASENAME" => Ok(path_parts(
                &self.resolve_word(expanded.trim(), proc, depth)?,
                "nx",
            )),
            "DIRNAME" => Ok(path_parts(&self.resolve_word(expanded.trim(), proc, depth)?, "p")),
            "RANDOM_CHOICE" | "RANDOM_INTEGER" => Err(
                "a submission that is repeated would draw anew, so that it is refused; use $CHOICE or $INT"
                    .to_owned(),
            ),
            name if is_path_function(name) => {
                let path = self.resolve_word(expanded.trim(), proc, depth)?;
                let parts = &name[1..];
                if parts.contains('f') && !path.starts_with('/') {
                    let folder = self.files.env_var("PWD").unwrap_or_default();
                    Ok(path_parts(
                        &format!("{}/{path}", folder.trim_end_matches('/')),
                        parts,
                    ))
                } else {
                    Ok(path_parts(&path, parts))
                }
            }
            _ => Err("there is no such function".to_owned()),
        })
    }
}

/// Evaluates an expression that refers to no attributes.
pub fn evaluate_constant(text: &str) -> Result<Value, String> {
    let expr = Expr::parse(text).map_err(|error| error.problem)?;
    let mut evaluator = Evaluator::new(0);
    match evaluator.evaluate(&expr, &Ad::default(), None) {
        Value::Undefined => Err("it is UNDEFINED".to_owned()),
        Value::Error => Err(evaluator
            .fault()
            .map_or_else(|| "it is ERROR".to_owned(), ToString::to_string)),
        value => Ok(value),
    }
}

fn convert(name: &str, text: &str, format: Option<&str>) -> Result<String, String> {
    if name == "STRING" {
        let text = match evaluate_constant(text) {
            Ok(Value::Str(text)) => text.to_string(),
            _ => text.to_owned(),
        };
        let format = format.unwrap_or("%s");
        return printf::format_string(format, &text)
            .ok_or_else(|| format!("{format:?} is no format for a string"));
    }
    let value = evaluate_constant(text)?;
    let number = value
        .as_number()
        .ok_or_else(|| format!("{text:?} is {}, not a number", value.type_name()))?;
    let formatted = match (name, &value) {
        ("INT", Value::Int(value)) => printf::format_int(format.unwrap_or("%d"), *value),
        ("INT", _) => printf::format_int(format.unwrap_or("%d"), number as i64),
        _ => match format {
            Some(format) => printf::format_real(format, number),
            None => Some(Value::Real(number).to_string()),
        },
    };
    formatted.ok_or_else(|| format!("{:?} is no format for it", format.unwrap_or_default()))
}

/// Returns the parts of a path that the letters select: `p` for the directory, `d` for its last
/// component, `n` for the file name, `x` for the extension. `b` removes separators, `q` quotes the
/// result, and `u` and `w` convert the separators.
fn path_parts(path: &str, parts: &str) -> String {
    let path = path.trim().trim_matches('"');
    let path = if parts.contains('u') {
        path.replace('\\', "/")
    } else if parts.contains('w') {
        path.replace('/', "\\")
    } else {
        path.to_owned()
    };
    let separators = ['/', '\\'];
    let (folder, file) = match path.rfind(separators) {
        Some(offset) => path.split_at(offset + 1),
        None => ("", path.as_str()),
    };
    let (name, extension) = match file.rfind('.') {
        Some(offset) if offset > 0 => file.split_at(offset),
        _ => (file, ""),
    };
    let bare = parts.contains('b');
    let mut out = String::new();
    let whole = !parts.contains(['p', 'd', 'n', 'x']);
    if whole {
        out.push_str(&path);
    }
    if parts.contains('p') {
        out.push_str(folder);
    } else if parts.contains('d') {
        let folder = folder.trim_end_matches(separators);
        let last = folder
            .rfind(separators)
            .map_or(folder, |offset| &folder[offset + 1..]);
        out.push_str(last);
        if !last.is_empty() {
            out.push('/');
        }
    }
    if bare && out.len() > 1 && !whole && !parts.contains('n') && !parts.contains('x') {
        out.truncate(out.trim_end_matches(separators).len());
    }
    if parts.contains('n') {
        out.push_str(name);
    }
    if parts.contains('x') {
        let alone = bare && !parts.contains('n');
        out.push_str(if alone {
            extension.trim_start_matches('.')
        } else {
            extension
        });
    }
    if parts.contains('q') {
        out = format!("\"{out}\"");
    }
    out
}

#[cfg(test)]
mod tests;
