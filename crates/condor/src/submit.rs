//! Parses submit files from the first line to the last. As in HTCondor, a `queue` statement uses
//! the definitions that precede it.

use crate::commands::{self, Command};
use crate::constants::{
    MAX_EXPANDED_BYTES, MAX_FILE_BYTES, MAX_FILE_PROCS, MAX_NESTING_DEPTH, MAX_QUEUE_VARIABLES,
};
use crate::macros::{Definition, Macros, ProcContext, evaluate_constant};
use crate::queue::{self, Source};
use crate::source::{Line, Lines, SourceLocation, SubmitEnvironment, SubmitError};
use indigopath_classad::{compare_versions, nearest};
use std::sync::Arc;

/// The version with which `if version` conditions compare: that of the submit language supported
/// here.
pub const LANGUAGE_VERSION: &str = "23.0.0";

/// Information for the submitter that does not prevent the submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    pub location: SourceLocation,
    pub text: String,
}

/// A parsed submit file.
#[derive(Debug, Default)]
pub struct Submission {
    pub batches: Vec<Batch>,
    pub notes: Vec<Note>,
}

impl Submission {
    pub fn procs(&self) -> usize {
        self.batches.iter().map(|batch| batch.procs.len()).sum()
    }
}

/// The procs of one `queue` statement.
#[derive(Debug)]
pub struct Batch {
    /// Commands and attributes with the same value for all procs.
    pub shared: Vec<(SubmitEntry, Arc<str>)>,
    /// Commands and attributes whose value differs between procs.
    pub varying: Vec<SubmitEntry>,
    pub procs: Vec<Proc>,
}

/// A command or job attribute, with its definition.
#[derive(Debug, Clone)]
pub struct SubmitEntry {
    pub kind: EntryKind,
    pub definition: Definition,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryKind {
    Command(&'static Command),
    /// `+Name` or `MY.Name`.
    Attribute,
}

/// One proc of a cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proc {
    pub process: u32,
    pub step: u32,
    pub row: u32,
    /// Values of the batch's varying entries, in their order.
    pub values: Box<[Box<str>]>,
}

impl Batch {
    /// Returns all entries of a proc with their values.
    pub fn entries<'b>(&'b self, proc: &'b Proc) -> impl Iterator<Item = (&'b SubmitEntry, &'b str)> {
        let shared = self.shared.iter().map(|(entry, value)| (entry, &**value));
        shared.chain(self.varying.iter().zip(proc.values.iter().map(|value| &**value)))
    }
}

/// Parses a submit file.
///
/// # Errors
/// Returns the first error, or the location at which the file exceeds a limit.
pub fn read(
    text: &str,
    file: &str,
    cluster: u64,
    now_s: i64,
    files: &dyn SubmitEnvironment,
) -> Result<Submission, SubmitError> {
    let mut reader = Reader {
        macros: Macros::new(file, now_s, files),
        files,
        cluster,
        submission: Submission::default(),
        source_bytes: 0,
        expanded_bytes: 0,
    };
    let file: Arc<str> = Arc::from(file);
    reader.file(text, file.clone(), 0)?;
    if reader.submission.batches.is_empty() {
        let location = SourceLocation {
            file,
            line: text.lines().count().max(1) as u32,
            column: 1,
        };
        return Err(SubmitError {
            location,
            problem: "there is no queue statement".to_owned(),
        });
    }
    reader.note_unused_names();
    Ok(reader.submission)
}

struct Reader<'f> {
    macros: Macros<'f>,
    files: &'f dyn SubmitEnvironment,
    cluster: u64,
    submission: Submission,
    source_bytes: usize,
    expanded_bytes: usize,
}

/// An `if` without its `endif` so far.
struct Conditional {
    line: Arc<Line>,
    /// Whether the lines that follow are in effect.
    active: bool,
    /// Whether one of its branches has been taken.
    taken: bool,
    /// Whether the lines around the `if` are in effect.
    outer_active: bool,
    has_else: bool,
}

/// Returns the first word of a line in lower case, if it is a keyword rather than an assigned name,
/// and the offset behind it.
fn leading_keyword(text: &str) -> Option<(String, usize)> {
    let end = text
        .find(|next: char| !next.is_ascii_alphabetic())
        .unwrap_or(text.len());
    let after = &text[end..];
    let alone = after.is_empty() || after.starts_with([' ', '\t', ':', '!', '(']);
    (end > 0 && alone && !after.trim_start().starts_with('='))
        .then(|| (text[..end].to_ascii_lowercase(), end))
}

/// Whether a text is a valid name of a macro, command or attribute.
fn is_name(text: &str) -> bool {
    let mut bytes = text.bytes();
    bytes
        .next()
        .is_some_and(|first| first.is_ascii_alphabetic() || first == b'_')
        && bytes.all(|byte| byte.is_ascii_alphanumeric() || b"_.".contains(&byte))
}

impl Reader<'_> {
    fn file(&mut self, text: &str, file: Arc<str>, depth: usize) -> Result<(), SubmitError> {
        let mut branches: Vec<Conditional> = Vec::new();
        let mut lines = Lines::new(text, file);
        self.source_bytes += text.len();
        while let Some(line) = lines.next() {
            let line = Arc::new(line);
            if self.source_bytes > MAX_FILE_BYTES {
                return Err(line.error(
                    0,
                    format!("the file and what it includes are longer than {MAX_FILE_BYTES} bytes"),
                ));
            }
            if line.text.is_empty() || line.text.starts_with('#') {
                continue;
            }
            if self.branch(&line, &mut branches)? {
                continue;
            }
            let active = branches.last().is_none_or(|branch| branch.active);
            self.statement(&line, &mut lines, active, depth)?;
        }
        match branches.last() {
            Some(open) => Err(open.line.error(0, "this if has no endif")),
            None => Ok(()),
        }
    }

    /// Handles `if`, `elif`, `else` and `endif`; returns whether the line is one of them.
    fn branch(&self, line: &Arc<Line>, branches: &mut Vec<Conditional>) -> Result<bool, SubmitError> {
        let Some((keyword, end)) = leading_keyword(&line.text) else {
            return Ok(false);
        };
        match keyword.as_str() {
            "if" => {
                if branches.len() >= MAX_NESTING_DEPTH {
                    return Err(line.error(0, format!("more than {MAX_NESTING_DEPTH} ifs are open")));
                }
                let outer_active = branches.last().is_none_or(|branch| branch.active);
                let active = outer_active && self.condition(line, end)?;
                branches.push(Conditional {
                    line: line.clone(),
                    active,
                    taken: active,
                    outer_active,
                    has_else: false,
                });
            }
            "elif" | "else" => {
                let Some(branch) = branches.last_mut().filter(|branch| !branch.has_else) else {
                    return Err(line.error(0, format!("there is no if for this {keyword}")));
                };
                let open = branch.outer_active && !branch.taken;
                branch.active = open && (keyword == "else" || self.condition(line, end)?);
                branch.taken |= branch.active;
                branch.has_else = keyword == "else";
            }
            "endif" => {
                if branches.pop().is_none() {
                    return Err(line.error(0, "there is no if for this endif"));
                }
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    fn condition(&self, line: &Arc<Line>, offset: usize) -> Result<bool, SubmitError> {
        let text = &line.text[offset..];
        let inner = text.trim_start();
        let offset = line.text.len() - inner.len();
        let text = self.macros.expand_text(line, offset, inner)?;
        let (negated, text) = match text.trim().strip_prefix('!') {
            Some(rest) if !rest.starts_with('=') => (true, rest.trim()),
            _ => (false, text.trim()),
        };
        let is_true = match leading_keyword(text) {
            Some((first, end)) if first == "defined" => {
                let name = text[end..].trim();
                // For a macro reference, whether it expanded to anything.
                match inner.contains("$(") {
                    true => !name.is_empty(),
                    false => {
                        let key = name.strip_prefix('+').map(|name| format!("my.{name}"));
                        self.macros.get(key.as_deref().unwrap_or(name)).is_some()
                    }
                }
            }
            Some((first, end)) if first == "version" => {
                let rest = text[end..].trim();
                let operator = ["==", ">=", "<=", "!=", ">", "<"]
                    .into_iter()
                    .find(|operator| rest.starts_with(operator))
                    .ok_or_else(|| line.error(offset, "a comparison is missing after \"version\""))?;
                let order = compare_versions(LANGUAGE_VERSION, rest[operator.len()..].trim());
                match operator {
                    "==" => order.is_eq(),
                    "!=" => order.is_ne(),
                    ">=" => order.is_ge(),
                    "<=" => order.is_le(),
                    ">" => order.is_gt(),
                    _ => order.is_lt(),
                }
            }
            _ => match text.to_ascii_lowercase().as_str() {
                "" => return Err(line.error(offset, "a condition is missing")),
                "yes" | "t" => true,
                "no" | "f" => false,
                _ => evaluate_constant(text)
                    .and_then(|value| {
                        let problem = || format!("it is {}, neither true nor false", value.type_name());
                        value.truth().ok_or_else(problem)
                    })
                    .map_err(|problem| line.error(offset, format!("this is no condition: {problem}")))?,
            },
        };
        Ok(is_true != negated)
    }

    fn statement(
        &mut self,
        line: &Arc<Line>,
        lines: &mut Lines<'_>,
        active: bool,
        depth: usize,
    ) -> Result<(), SubmitError> {
        if let Some(after) = queue::statement(&line.text) {
            let offset = line.text.len() - after.len();
            return self.queue(line, offset, lines, active);
        }
        if let Some((keyword, end)) = leading_keyword(&line.text) {
            let rest = line.text[end..].trim();
            match keyword.as_str() {
                "include" if active => return self.include(line, rest, depth),
                "use" if active => {
                    return Err(line.error(0, "templates of a pool's configuration (use) are not known here"));
                }
                "error" if active && rest.starts_with(':') => {
                    return Err(line.error(0, format!("the file says: {}", rest[1..].trim())));
                }
                "warning" if active && rest.starts_with(':') => {
                    self.note(line.location(0), rest[1..].trim().to_owned());
                    return Ok(());
                }
                "include" | "use" | "error" | "warning" if !active => return Ok(()),
                _ => (),
            }
        }
        self.assignment(line, lines, active)
    }

    fn assignment(
        &mut self,
        line: &Arc<Line>,
        lines: &mut Lines<'_>,
        active: bool,
    ) -> Result<(), SubmitError> {
        let Some(equals) = line.text.find('=') else {
            if !active {
                return Ok(());
            }
            return Err(line.error(0, "this is neither \"name = value\" nor a statement"));
        };
        let multiline = line.text[..equals].trim_end().strip_suffix('@');
        let name = multiline.unwrap_or(&line.text[..equals]).trim();
        let value = line.text[equals + 1..].trim();
        let mut offset = line.text.len() - line.text[equals + 1..].trim_start().len();
        let joined;
        let mut value = value;
        if multiline.is_some() {
            // The value ends at a line with the same tag.
            let end = format!("@{value}");
            let mut parts: Vec<&str> = Vec::new();
            loop {
                match lines.raw() {
                    Some(next) if next.trim() == end => break,
                    Some(next) => parts.push(next),
                    None => return Err(line.error(equals, format!("no line {end:?} ends this value"))),
                }
            }
            joined = parts.join("\n");
            value = &joined;
            offset = 0;
        }
        if !active {
            return Ok(());
        }
        let attribute = name.strip_prefix('+').map(str::trim).or_else(|| {
            let (scope, rest) = name.split_once('.')?;
            scope.eq_ignore_ascii_case("my").then_some(rest)
        });
        let attribute_name = attribute.unwrap_or(name);
        if !is_name(attribute_name) || (attribute.is_some() && attribute_name.contains('.')) {
            return Err(line.error(0, format!("{name:?} is no name")));
        }
        match attribute {
            Some(attribute) => self
                .macros
                .define(&format!("MY.{attribute}"), line, offset, value),
            None => {
                let name = commands::find(name).map_or(name, |command| command.name);
                self.macros.define(name, line, offset, value)
            }
        }
    }

    fn include(&mut self, line: &Arc<Line>, rest: &str, depth: usize) -> Result<(), SubmitError> {
        let Some((how, path)) = rest.split_once(':') else {
            return Err(line.error(0, "\":\" and a file are missing after \"include\""));
        };
        let how = how.trim().to_ascii_lowercase();
        let offset = line.text.len() - path.trim_start().len();
        let path = self.macros.expand_text(line, offset, path.trim())?;
        if how.starts_with("command") || path.ends_with('|') {
            return Err(line.error(
                0,
                "what a command prints is not included here: no command is run to submit",
            ));
        }
        if !how.is_empty() && how != "ifexist" {
            return Err(line.error(0, format!("\"include {how}\" means nothing")));
        }
        if depth >= MAX_NESTING_DEPTH {
            return Err(line.error(
                0,
                format!("files include each other more than {MAX_NESTING_DEPTH} deep"),
            ));
        }
        match self.files.read_file(&path) {
            Ok(text) => self.file(&text, Arc::from(path.as_str()), depth + 1),
            Err(_) if how == "ifexist" => Ok(()),
            Err(problem) => Err(line.error(offset, format!("{path}: {problem}"))),
        }
    }

    /// Returns the items of a parenthesized list, which may span lines.
    fn parenthesized_items(
        &self,
        line: &Arc<Line>,
        first: &str,
        lines: &mut Lines<'_>,
    ) -> Result<Vec<String>, SubmitError> {
        let mut found = Vec::new();
        let mut next = Some(first);
        while let Some(text) = next {
            let trimmed = text.trim();
            // Macros close their parentheses on the same line.
            let closes = trimmed.matches(')').count() > trimmed.matches('(').count();
            if let Some(last) = trimmed.strip_suffix(')').filter(|_| closes) {
                if !last.trim().is_empty() {
                    found.push(last.to_owned());
                }
                return Ok(found);
            }
            if !trimmed.is_empty() && !trimmed.starts_with('#') {
                found.push(trimmed.to_owned());
            }
            next = lines.raw();
        }
        Err(line.error(0, "no \")\" ends this list"))
    }

    fn queue(
        &mut self,
        line: &Arc<Line>,
        offset: usize,
        lines: &mut Lines<'_>,
        active: bool,
    ) -> Result<(), SubmitError> {
        let raw = &line.text[offset..];
        // The list is read before macros are expanded: its lines belong to the statement even if
        // the statement is not in effect.
        let list_start = find_list_start(raw);
        let inline_items = match list_start {
            Some(index) => Some(self.parenthesized_items(line, &raw[index + 1..], lines)?),
            None => None,
        };
        if !active {
            return Ok(());
        }
        let before_list = list_start.map_or(raw, |index| &raw[..index]);
        let mut text = self.macros.expand_text(line, offset, before_list)?;
        if inline_items.is_some() {
            text.push_str("()");
        }
        let parsed = queue::parse(&text)
            .map_err(|(index, problem)| line.error(offset + index.min(raw.len()), problem))?;
        let count = match parsed.count {
            None => 1,
            Some(count) => match evaluate_constant(count) {
                Ok(value)
                    if value
                        .as_number()
                        .is_some_and(|number| (0.0..1e9).contains(&number)) =>
                {
                    value.as_number().unwrap_or(0.0) as usize
                }
                Ok(value) => return Err(line.error(offset, format!("{value} is no number of procs"))),
                Err(problem) => {
                    return Err(line.error(offset, format!("{count:?} is no number of procs: {problem}")));
                }
            },
        };
        if parsed.variables.len() > MAX_QUEUE_VARIABLES {
            return Err(line.error(offset, format!("more than {MAX_QUEUE_VARIABLES} variables")));
        }
        let items = self.items(line, offset, &parsed.source, inline_items)?;
        let variables: Vec<Arc<str>> = parsed
            .variables
            .iter()
            .map(|name| Arc::from(name.to_ascii_lowercase()))
            .collect();
        self.batch(line, count, &variables, items)
    }

    fn items(
        &self,
        line: &Arc<Line>,
        offset: usize,
        source: &Source<'_>,
        inline_items: Option<Vec<String>>,
    ) -> Result<Option<Vec<String>>, SubmitError> {
        let item_error = |problem: String| line.error(offset, problem);
        let expand = |items: Vec<String>| -> Result<Vec<String>, SubmitError> {
            items
                .into_iter()
                .map(|item| self.macros.expand_text(line, offset, &item))
                .collect()
        };
        let (slice, items) = match source {
            Source::None => return Ok(None),
            Source::In(slice, list) => {
                let text = match inline_items {
                    Some(lines) => expand(lines)?.join(","),
                    None => (*list).to_owned(),
                };
                let entries = text
                    .split([',', ' ', '\t', '\n'])
                    .filter(|entry| !entry.is_empty());
                (slice, entries.map(str::to_owned).collect())
            }
            Source::From(slice, list) => {
                let items: Vec<String> = match inline_items {
                    Some(lines) => expand(lines)?,
                    None if list.ends_with('|') => {
                        return Err(item_error(
                            "items that a command prints are not read: no command is run to submit".into(),
                        ));
                    }
                    None if *list == "-" => {
                        return Err(item_error("items are not read from standard input".into()));
                    }
                    None => {
                        let path = list.trim_matches('"');
                        let text = self
                            .files
                            .read_file(path)
                            .map_err(|problem| item_error(format!("{path}: {problem}")))?;
                        if text.len() > MAX_FILE_BYTES {
                            return Err(item_error(format!(
                                "{path} is longer than {MAX_FILE_BYTES} bytes"
                            )));
                        }
                        let lines = text.lines().map(str::trim);
                        lines
                            .filter(|item| !item.is_empty() && !item.starts_with('#'))
                            .map(str::to_owned)
                            .collect()
                    }
                };
                (slice, items)
            }
            Source::Matching(slice, path_kind, list) => {
                let text = match inline_items {
                    Some(lines) => expand(lines)?.join(" "),
                    None => (*list).to_owned(),
                };
                let mut found: Vec<String> = Vec::new();
                for pattern in text.split([',', ' ', '\t']).filter(|pattern| !pattern.is_empty()) {
                    let paths = self
                        .files
                        .matching_paths(pattern, *path_kind)
                        .map_err(|problem| item_error(format!("{pattern}: {problem}")))?;
                    found.extend(paths);
                }
                let mut seen = std::collections::HashSet::new();
                found.retain(|path| seen.insert(path.clone()));
                (slice, found)
            }
        };
        let items = slice
            .select(items)
            .ok_or_else(|| item_error("a slice steps by 0".into()))?;
        Ok(Some(items))
    }

    fn batch(
        &mut self,
        line: &Arc<Line>,
        count: usize,
        variables: &[Arc<str>],
        items: Option<Vec<String>>,
    ) -> Result<(), SubmitError> {
        let rows = items.as_ref().map_or(1, Vec::len);
        let first = self.submission.procs();
        if rows.saturating_mul(count).saturating_add(first) > MAX_FILE_PROCS {
            return Err(line.error(0, format!("the file has more than {MAX_FILE_PROCS} procs")));
        }
        if rows == 0 {
            self.note(
                line.location(0),
                "this queue statement has no items: it adds no procs".to_owned(),
            );
        }
        let mut batch = Batch {
            shared: Vec::new(),
            varying: Vec::new(),
            procs: Vec::with_capacity(rows * count),
        };
        for (key, definition) in self.macros.iter() {
            let kind = match commands::find(key) {
                Some(command) => EntryKind::Command(command),
                None if key.starts_with("my.") => EntryKind::Attribute,
                None => continue,
            };
            let entry = SubmitEntry {
                kind,
                definition: definition.clone(),
            };
            if self.macros.varies_by_proc(&definition.template, variables) {
                batch.varying.push(entry);
            } else {
                let value = self.macros.expand_definition(definition, None)?;
                batch.shared.push((entry, Arc::from(value)));
            }
        }
        let none = [String::new()];
        for (row, item) in items.as_deref().unwrap_or(&none).iter().enumerate() {
            let values = queue::split_item(item, variables.len().max(1));
            let values: Vec<(Arc<str>, &str)> = variables.iter().cloned().zip(values).collect();
            for step in 0..count {
                let process = first + batch.procs.len();
                let proc_context = ProcContext {
                    cluster: self.cluster,
                    process,
                    step,
                    row,
                    items: &values,
                };
                let mut own: Vec<Box<str>> = Vec::with_capacity(batch.varying.len());
                for entry in &batch.varying {
                    let value = self
                        .macros
                        .expand_definition(&entry.definition, Some(&proc_context))?;
                    self.expanded_bytes += value.len();
                    own.push(Box::from(value));
                }
                if self.expanded_bytes > MAX_EXPANDED_BYTES {
                    return Err(line.error(
                        0,
                        format!("its procs' values take more than {MAX_EXPANDED_BYTES} bytes"),
                    ));
                }
                batch.procs.push(Proc {
                    process: process as u32,
                    step: step as u32,
                    row: row as u32,
                    values: own.into_boxed_slice(),
                });
            }
        }
        self.submission.batches.push(batch);
        Ok(())
    }

    fn note(&mut self, location: SourceLocation, text: String) {
        self.submission.notes.push(Note { location, text });
    }

    /// Adds notes on names that are neither commands nor referred to, which are often misspelt, and
    /// on undefined macros.
    fn note_unused_names(&mut self) {
        let mut notes = Vec::new();
        for (key, definition) in self.macros.iter() {
            if commands::find(key).is_none() && !key.starts_with("my.") && !definition.is_used() {
                let near = nearest(key, commands::names());
                let mut text = format!("{} is no command, and nothing refers to it", definition.name);
                if !near.is_empty() {
                    text = format!("{text}; the nearest commands are {}", near.join(", "));
                }
                notes.push((definition.location(), text));
            }
        }
        for (name, location) in self.macros.take_undefined() {
            notes.push((
                location,
                format!("$({name}) is not defined: it stands for nothing"),
            ));
        }
        for (location, text) in notes {
            self.note(location, text);
        }
    }
}

/// Returns the offset of the list's opening parenthesis in what follows `queue`, if there is one:
/// it follows `in`, `from` or `matching` and perhaps a slice, with nothing in between.
fn find_list_start(text: &str) -> Option<usize> {
    let lower = text.to_ascii_lowercase();
    let index = lower.match_indices('(').map(|(index, _)| index).find(|index| {
        let before = lower[..*index].trim_end();
        let before = match before.strip_suffix(']') {
            Some(sliced) => sliced.rfind('[').map_or(before, |open| sliced[..open].trim_end()),
            None => before,
        };
        ["in", "from", "matching", "files", "dirs", "any"]
            .iter()
            .any(|word| {
                before
                    .strip_suffix(word)
                    .is_some_and(|rest| rest.is_empty() || rest.ends_with([' ', '\t']))
            })
    })?;
    Some(index)
}
