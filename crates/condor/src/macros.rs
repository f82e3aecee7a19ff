//! Macros: what a file defines, and what values come to once they are expanded.

use crate::constants::{MAX_DEFINITIONS, MAX_NESTING_DEPTH, MAX_VALUE_BYTES};
use crate::printf;
use crate::source::{Line, SourceLocation, SubmitEnvironment, SubmitError};
use crate::template::{self, Piece, Template, is_path_function};
use indigopath_classad::{Ad, Evaluator, Expr, Value, part};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A value as the file gives it.
#[derive(Debug, Clone)]
pub struct Definition {
    /// The name as written.
    pub name: Arc<str>,
    pub template: Template,
    line: Arc<Line>,
    /// Byte of the line at which the value begins.
    begins: usize,
    used: Arc<AtomicBool>,
}

impl Definition {
    /// Where its name stands.
    pub fn location(&self) -> SourceLocation {
        self.line.location(0)
    }

    /// Where a byte of its value stands; without macros in it, that of the expanded value.
    pub fn location_in_value(&self, byte: usize) -> SourceLocation {
        match self.template.plain() {
            Some(_) => self.line.location(self.begins + byte),
            None => self.line.location(self.begins),
        }
    }

    /// Whether something else in the file refers to it.
    pub fn is_used(&self) -> bool {
        self.used.load(Ordering::Relaxed)
    }

    fn error(&self, byte: usize, problem: impl Into<String>) -> SubmitError {
        self.line.error(self.begins + byte, problem)
    }
}

/// What a proc has of its own.
#[derive(Debug, Clone, Copy)]
pub struct Live<'a> {
    pub cluster: u64,
    pub process: usize,
    pub step: usize,
    pub row: usize,
    /// The variables of its `queue` statement, by lower-case name.
    pub items: &'a [(Arc<str>, &'a str)],
}

/// Names that differ from proc to proc.
pub const LIVE: [&str; 8] = [
    "cluster",
    "clusterid",
    "process",
    "procid",
    "step",
    "row",
    "itemindex",
    "node",
];

/// Everything that a file has defined so far.
pub struct Macros<'f> {
    table: FxHashMap<Arc<str>, Definition>,
    files: &'f dyn SubmitEnvironment,
    /// Names that are not defined and were used all the same.
    undefined: RefCell<Vec<(Arc<str>, SourceLocation)>>,
}

impl<'f> Macros<'f> {
    /// `now_s` in s since 1970 is the time of submission.
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
                begins: 0,
                used: Arc::new(AtomicBool::new(true)),
            };
            macros
                .table
                .insert(Arc::from(name.to_ascii_lowercase()), definition);
        }
        macros
    }

    /// Defines a name by a value that begins at a byte of a line.
    ///
    /// # Errors
    /// The value holds a macro that does not end, or too much is defined.
    pub fn define(
        &mut self,
        name: &str,
        line: &Arc<Line>,
        begins: usize,
        value: &str,
    ) -> Result<(), SubmitError> {
        let key: Arc<str> = Arc::from(name.to_ascii_lowercase());
        if value.len() > MAX_VALUE_BYTES {
            return Err(line.error(
                begins,
                format!("the value is longer than {MAX_VALUE_BYTES} bytes"),
            ));
        }
        let read = |text: &str| {
            template::parse(text).map_err(|at| {
                line.error(
                    begins + at.min(value.len()),
                    "this macro does not end, or is too deep",
                )
            })
        };
        let mut template = read(value)?;
        // What refers to itself means what it was before.
        let own = |piece: &Piece| matches!(piece, Piece::Macro { name, .. } if *name == key);
        if template.pieces.iter().any(own) {
            let mut pieces = Vec::new();
            for piece in template.pieces.iter() {
                match piece {
                    Piece::Macro { default, .. } if own(piece) => match (self.table.get(&key), default) {
                        (Some(before), _) => {
                            before.used.store(true, Ordering::Relaxed);
                            pieces.extend(before.template.pieces.iter().cloned());
                        }
                        (None, Some(default)) => pieces.extend(default.pieces.iter().cloned()),
                        (None, None) => (),
                    },
                    other => pieces.push(other.clone()),
                }
            }
            if pieces.len() > MAX_VALUE_BYTES / 8 {
                return Err(line.error(begins, "the value has grown too long"));
            }
            template = Template {
                pieces: Arc::from(pieces),
            };
        }
        let definition = Definition {
            name: Arc::from(name),
            template,
            line: line.clone(),
            begins,
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

    /// Lower-case names and what they are defined as, those of the file alone, in their order
    /// there.
    pub fn iter(&self) -> Vec<(&Arc<str>, &Definition)> {
        let own = self
            .table
            .iter()
            .filter(|(_, definition)| !definition.line.is_built_in());
        let mut all: Vec<_> = own.collect();
        all.sort_by_cached_key(|(key, definition)| (definition.location(), (*key).clone()));
        all
    }

    /// Names that were used and stood for nothing, each once.
    pub fn take_undefined(&self) -> Vec<(Arc<str>, SourceLocation)> {
        std::mem::take(&mut *self.undefined.borrow_mut())
    }

    /// Whether a value differs from proc to proc.
    pub fn varies(&self, template: &Template, variables: &[Arc<str>]) -> bool {
        self.varies_within(template, variables, 0)
    }

    fn varies_within(&self, template: &Template, variables: &[Arc<str>], depth: usize) -> bool {
        // Too deep is an error once it is expanded.
        if depth > MAX_NESTING_DEPTH {
            return true;
        }
        template.pieces.iter().any(|piece| match piece {
            Piece::Text(_) | Piece::OfMachine { .. } => false,
            Piece::Macro { name, default, .. } => {
                LIVE.contains(&&**name)
                    || variables.contains(name)
                    || self
                        .table
                        .get(name)
                        .is_some_and(|known| self.varies_within(&known.template, variables, depth + 1))
                    || default
                        .as_ref()
                        .is_some_and(|default| self.varies_within(default, variables, depth + 1))
            }
            // What a function names is seen only once it is expanded.
            Piece::Computed { .. } | Piece::Function { .. } => true,
        })
    }

    /// A definition's value for a proc, or for none.
    ///
    /// # Errors
    /// A macro that needs itself, a function that makes no sense, or too long a value.
    pub fn value(&self, definition: &Definition, live: Option<&Live<'_>>) -> Result<String, SubmitError> {
        if let Some(text) = definition.template.plain() {
            return Ok(text.to_owned());
        }
        let mut out = String::new();
        self.expand(&definition.template, definition, live, 0, &mut out)?;
        Ok(out)
    }

    /// The value of a text in a line, such as a condition or a list of items.
    ///
    /// # Errors
    /// As for a definition's value.
    pub fn text(&self, line: &Arc<Line>, begins: usize, text: &str) -> Result<String, SubmitError> {
        if !text.contains('$') {
            return Ok(text.to_owned());
        }
        let template = template::parse(text)
            .map_err(|at| line.error(begins + at, "this macro does not end, or is too deep"))?;
        let definition = Definition {
            name: Arc::from(""),
            template,
            line: line.clone(),
            begins,
            used: Arc::new(AtomicBool::new(true)),
        };
        self.value(&definition, None)
    }

    fn expand(
        &self,
        template: &Template,
        of: &Definition,
        live: Option<&Live<'_>>,
        depth: usize,
        out: &mut String,
    ) -> Result<(), SubmitError> {
        if depth > MAX_NESTING_DEPTH {
            return Err(of.error(0, "its macros need each other, or are too deep"));
        }
        for piece in template.pieces.iter() {
            match piece {
                Piece::Text(text) => out.push_str(text),
                Piece::Macro { name, default, at } => {
                    if !self.named(name, live, depth, out)? {
                        match default {
                            Some(default) => self.expand(default, of, live, depth + 1, out)?,
                            None => self.not_defined(name, of, *at),
                        }
                    }
                }
                Piece::Computed { name, at } => {
                    let mut computed = String::new();
                    self.expand(name, of, live, depth + 1, &mut computed)?;
                    let name = computed.trim().to_ascii_lowercase();
                    if !self.named(&name, live, depth, out)? {
                        self.not_defined(&name, of, *at);
                    }
                }
                Piece::Function { name, argument, at } => {
                    let mut given = String::new();
                    self.expand(argument, of, live, depth + 1, &mut given)?;
                    let value = self
                        .function(name, &given, live, depth)?
                        .map_err(|problem| of.error(*at, format!("${name}({given}): {problem}")))?;
                    out.push_str(&value);
                }
                Piece::OfMachine { at } => {
                    let problem =
                        "$$() would be filled in from the machine that is matched, which is not done here";
                    return Err(of.error(*at, problem));
                }
            }
            if out.len() > MAX_VALUE_BYTES {
                return Err(of.error(0, format!("the value is longer than {MAX_VALUE_BYTES} bytes")));
            }
        }
        Ok(())
    }

    /// Appends what a lower-case name stands for; `false` if it is not defined.
    fn named(
        &self,
        name: &str,
        live: Option<&Live<'_>>,
        depth: usize,
        out: &mut String,
    ) -> Result<bool, SubmitError> {
        if let Some(live) = live {
            if let Some((_, value)) = live.items.iter().find(|(known, _)| **known == *name) {
                out.push_str(value);
                return Ok(true);
            }
            let number = match name {
                "cluster" | "clusterid" => Some(live.cluster),
                "process" | "procid" => Some(live.process as u64),
                "step" => Some(live.step as u64),
                "row" | "itemindex" => Some(live.row as u64),
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
        self.expand(&definition.template, definition, live, depth + 1, out)?;
        Ok(true)
    }

    fn not_defined(&self, name: &str, of: &Definition, at: usize) {
        // The number of a parallel job's node is known only where it runs.
        let mut undefined = self.undefined.borrow_mut();
        if name != "node" && undefined.iter().all(|(known, _)| **known != *name) {
            undefined.push((Arc::from(name), of.line.location(of.begins + at)));
        }
    }

    /// What a word stands for: a macro's value if it is the name of one, else itself.
    fn word(&self, word: &str, live: Option<&Live<'_>>, depth: usize) -> Result<String, SubmitError> {
        let mut out = String::new();
        if self.named(&word.to_ascii_lowercase(), live, depth, &mut out)? {
            return Ok(out);
        }
        Ok(word.to_owned())
    }

    fn function(
        &self,
        name: &str,
        given: &str,
        live: Option<&Live<'_>>,
        depth: usize,
    ) -> Result<Result<String, String>, SubmitError> {
        let first = given.split(',').next().unwrap_or_default().trim();
        Ok(match name {
            "INT" | "REAL" | "STRING" => {
                // The format is what follows the last comma, if it is one.
                let (item, format) = match given.rsplit_once(',') {
                    Some((item, format)) if format.trim_start().starts_with('%') => {
                        (item.trim(), Some(format.trim()))
                    }
                    _ => (given.trim(), None),
                };
                let text = self.word(item, live, depth)?;
                converted(name, &text, format)
            }
            "EVAL" => {
                let text = self.word(given.trim(), live, depth)?;
                evaluated(&text).map(|value| match value {
                    Value::Str(text) => text.to_string(),
                    other => other.to_string(),
                })
            }
            "CHOICE" => {
                let rest: Vec<&str> = given.split(',').skip(1).map(str::trim).collect();
                let index = self.word(first, live, depth)?;
                let items: Vec<String> = match &rest[..] {
                    [list] => {
                        let list = self.word(list, live, depth)?;
                        let entries = list.split([',', ' ', '\t']).filter(|entry| !entry.is_empty());
                        entries.map(str::to_owned).collect()
                    }
                    items => items.iter().map(|item| (*item).to_owned()).collect(),
                };
                match evaluated(&index) {
                    Ok(Value::Int(index)) => usize::try_from(index)
                        .ok()
                        .and_then(|index| items.get(index).cloned())
                        .ok_or_else(|| format!("there is no item {index} among {}", items.len())),
                    Ok(other) => Err(format!("the index is {}, not an integer", other.type_name())),
                    Err(problem) => Err(problem),
                }
            }
            "SUBSTR" => {
                let numbers: Vec<Result<i64, _>> =
                    given.split(',').skip(1).map(|text| text.trim().parse()).collect();
                let text = self.word(first, live, depth)?;
                match &numbers[..] {
                    [Ok(start)] => Ok(part(&text, *start, None)),
                    [Ok(start), Ok(length)] => Ok(part(&text, *start, Some(*length))),
                    _ => Err("it takes a name, a start and perhaps a length".to_owned()),
                }
            }
            "ENV" => {
                let (variable, default) = match given.split_once(':') {
                    Some((variable, default)) => (variable, Some(default)),
                    None => (given, None),
                };
                self.files
                    .env_var(variable.trim())
                    .or_else(|| default.map(str::to_owned))
                    .ok_or_else(|| "the environment has no such variable".to_owned())
            }
            "BASENAME" => Ok(path_parts(&self.word(given.trim(), live, depth)?, "nx")),
            "DIRNAME" => Ok(path_parts(&self.word(given.trim(), live, depth)?, "p")),
            "RANDOM_CHOICE" | "RANDOM_INTEGER" => Err(
                "a submission that is repeated would draw anew, so that it is refused; use $CHOICE or $INT"
                    .to_owned(),
            ),
            name if is_path_function(name) => {
                let path = self.word(given.trim(), live, depth)?;
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

/// A text's value as an expression by itself.
pub fn evaluated(text: &str) -> Result<Value, String> {
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

fn converted(name: &str, text: &str, format: Option<&str>) -> Result<String, String> {
    if name == "STRING" {
        let text = match evaluated(text) {
            Ok(Value::Str(text)) => text.to_string(),
            _ => text.to_owned(),
        };
        let format = format.unwrap_or("%s");
        return printf::string(format, &text).ok_or_else(|| format!("{format:?} is no format for a string"));
    }
    let value = evaluated(text)?;
    let number = value
        .as_number()
        .ok_or_else(|| format!("{text:?} is {}, not a number", value.type_name()))?;
    let written = match (name, &value) {
        ("INT", Value::Int(value)) => printf::int(format.unwrap_or("%d"), *value),
        ("INT", _) => printf::int(format.unwrap_or("%d"), number as i64),
        _ => match format {
            Some(format) => printf::real(format, number),
            None => Some(Value::Real(number).to_string()),
        },
    };
    written.ok_or_else(|| format!("{:?} is no format for it", format.unwrap_or_default()))
}

/// The parts of a path that letters name: p for its folder, d for its last folder, n for its
/// name, x for its extension; b takes their separators off, q puts all in quotes.
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
        Some(at) => path.split_at(at + 1),
        None => ("", path.as_str()),
    };
    let (name, extension) = match file.rfind('.') {
        Some(at) if at > 0 => file.split_at(at),
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
        let last = folder.rfind(separators).map_or(folder, |at| &folder[at + 1..]);
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
