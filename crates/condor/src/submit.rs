//! A submit file, read from its first line to its last, as condor users expect: what stands
//! above a `queue` statement holds for it.

use crate::commands::{self, Command};
use crate::constants::{
    MAX_EXPANDED_BYTES, MAX_FILE_BYTES, MAX_FILE_PROCS, MAX_NESTING_DEPTH, MAX_QUEUE_VARIABLES,
};
use crate::macros::{Definition, Macros, ProcContext, evaluate_constant};
use crate::queue::{self, Source};
use crate::source::{Line, Lines, SourceLocation, SubmitEnvironment, SubmitError};
use indigopath_classad::{nearest, versions};
use std::sync::Arc;

/// The version that `if version >= …` asks about: that of the language read here.
pub const LANGUAGE_VERSION: &str = "23.0.0";

/// Something that the submitter should know, and that stops nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    pub location: SourceLocation,
    pub text: String,
}

/// A file as read: its procs, batch by batch.
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
    /// Commands and attributes that all its procs share.
    pub fixed: Vec<(SubmitEntry, Arc<str>)>,
    /// Those that differ from proc to proc.
    pub varying: Vec<SubmitEntry>,
    pub procs: Vec<Proc>,
}

/// A command or an attribute of the job, and where it was given.
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

/// One proc.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proc {
    pub process: u32,
    pub step: u32,
    pub row: u32,
    /// Values of what varies, in the batch's order.
    pub values: Box<[Box<str>]>,
}

impl Batch {
    /// Everything that a proc has, with its value.
    pub fn entries<'b>(&'b self, proc: &'b Proc) -> impl Iterator<Item = (&'b SubmitEntry, &'b str)> {
        let fixed = self.fixed.iter().map(|(entry, value)| (entry, &**value));
        fixed.chain(self.varying.iter().zip(proc.values.iter().map(|value| &**value)))
    }
}

/// Reads a submit file.
///
/// # Errors
/// The first place at which it cannot be read as submit language, or grows out of bounds.
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
        bytes: 0,
        expanded: 0,
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
    reader.note_what_was_not_used();
    Ok(reader.submission)
}

struct Reader<'f> {
    macros: Macros<'f>,
    files: &'f dyn SubmitEnvironment,
    cluster: u64,
    submission: Submission,
    bytes: usize,
    expanded: usize,
}

/// An `if` that is open.
struct Branch {
    line: Arc<Line>,
    /// The lines that follow count.
    active: bool,
    /// One of its branches has been taken.
    taken: bool,
    /// What is around it counts.
    outer: bool,
    ended: bool,
}

/// The first word of a line, in lower case, if it stands by itself, and what follows it.
fn word(text: &str) -> Option<(String, usize)> {
    let end = text
        .find(|next: char| !next.is_ascii_alphabetic())
        .unwrap_or(text.len());
    let after = &text[end..];
    let alone = after.is_empty() || after.starts_with([' ', '\t', ':', '!', '(']);
    (end > 0 && alone && !after.trim_start().starts_with('='))
        .then(|| (text[..end].to_ascii_lowercase(), end))
}

/// Whether a text may name a macro, a command or an attribute.
fn is_name(text: &str) -> bool {
    let mut bytes = text.bytes();
    bytes
        .next()
        .is_some_and(|first| first.is_ascii_alphabetic() || first == b'_')
        && bytes.all(|byte| byte.is_ascii_alphanumeric() || b"_.".contains(&byte))
}

impl Reader<'_> {
    fn file(&mut self, text: &str, file: Arc<str>, depth: usize) -> Result<(), SubmitError> {
        let mut branches: Vec<Branch> = Vec::new();
        let mut lines = Lines::new(text, file);
        self.bytes += text.len();
        while let Some(line) = lines.next() {
            let line = Arc::new(line);
            if self.bytes > MAX_FILE_BYTES {
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

    /// `if`, `elif`, `else`, `endif`; whether the line is one of them.
    fn branch(&self, line: &Arc<Line>, branches: &mut Vec<Branch>) -> Result<bool, SubmitError> {
        let Some((word, end)) = word(&line.text) else {
            return Ok(false);
        };
        match word.as_str() {
            "if" => {
                if branches.len() >= MAX_NESTING_DEPTH {
                    return Err(line.error(0, format!("more than {MAX_NESTING_DEPTH} ifs are open")));
                }
                let outer = branches.last().is_none_or(|branch| branch.active);
                let active = outer && self.condition(line, end)?;
                branches.push(Branch {
                    line: line.clone(),
                    active,
                    taken: active,
                    outer,
                    ended: false,
                });
            }
            "elif" | "else" => {
                let Some(branch) = branches.last_mut().filter(|branch| !branch.ended) else {
                    return Err(line.error(0, format!("there is no if for this {word}")));
                };
                let open = branch.outer && !branch.taken;
                branch.active = open && (word == "else" || self.condition(line, end)?);
                branch.taken |= branch.active;
                branch.ended = word == "else";
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

    fn condition(&self, line: &Arc<Line>, begins: usize) -> Result<bool, SubmitError> {
        let text = &line.text[begins..];
        let inner = text.trim_start();
        let begins = line.text.len() - inner.len();
        let text = self.macros.expand_text(line, begins, inner)?;
        let (negated, text) = match text.trim().strip_prefix('!') {
            Some(rest) if !rest.starts_with('=') => (true, rest.trim()),
            _ => (false, text.trim()),
        };
        let holds = match word(text) {
            Some((first, end)) if first == "defined" => {
                let name = text[end..].trim();
                // A macro that was expanded to nothing, or to something, tells.
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
                    .ok_or_else(|| line.error(begins, "a comparison is missing after \"version\""))?;
                let order = versions(LANGUAGE_VERSION, rest[operator.len()..].trim());
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
                "" => return Err(line.error(begins, "a condition is missing")),
                "yes" | "t" => true,
                "no" | "f" => false,
                _ => evaluate_constant(text)
                    .and_then(|value| {
                        let problem = || format!("it is {}, neither true nor false", value.type_name());
                        value.truth().ok_or_else(problem)
                    })
                    .map_err(|problem| line.error(begins, format!("this is no condition: {problem}")))?,
            },
        };
        Ok(holds != negated)
    }

    fn statement(
        &mut self,
        line: &Arc<Line>,
        lines: &mut Lines<'_>,
        active: bool,
        depth: usize,
    ) -> Result<(), SubmitError> {
        if let Some(after) = queue::statement(&line.text) {
            let begins = line.text.len() - after.len();
            return self.queue(line, begins, lines, active);
        }
        if let Some((word, end)) = word(&line.text) {
            let rest = line.text[end..].trim();
            match word.as_str() {
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
        let mut begins = line.text.len() - line.text[equals + 1..].trim_start().len();
        let joined;
        let mut value = value;
        if multiline.is_some() {
            // Up to a line that says the same tag.
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
            begins = 0;
        }
        if !active {
            return Ok(());
        }
        let attribute = name.strip_prefix('+').map(str::trim).or_else(|| {
            let (scope, rest) = name.split_once('.')?;
            scope.eq_ignore_ascii_case("my").then_some(rest)
        });
        let plain = attribute.unwrap_or(name);
        if !is_name(plain) || (attribute.is_some() && plain.contains('.')) {
            return Err(line.error(0, format!("{name:?} is no name")));
        }
        match attribute {
            Some(attribute) => self
                .macros
                .define(&format!("MY.{attribute}"), line, begins, value),
            None => {
                let name = commands::find(name).map_or(name, |command| command.name);
                self.macros.define(name, line, begins, value)
            }
        }
    }

    fn include(&mut self, line: &Arc<Line>, rest: &str, depth: usize) -> Result<(), SubmitError> {
        let Some((how, path)) = rest.split_once(':') else {
            return Err(line.error(0, "\":\" and a file are missing after \"include\""));
        };
        let how = how.trim().to_ascii_lowercase();
        let begins = line.text.len() - path.trim_start().len();
        let path = self.macros.expand_text(line, begins, path.trim())?;
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
            Err(problem) => Err(line.error(begins, format!("{path}: {problem}"))),
        }
    }

    /// The items of a list in brackets that may go on over lines.
    fn bracketed(
        &self,
        line: &Arc<Line>,
        first: &str,
        lines: &mut Lines<'_>,
    ) -> Result<Vec<String>, SubmitError> {
        let mut found = Vec::new();
        let mut next = Some(first);
        while let Some(text) = next {
            let trimmed = text.trim();
            // Brackets of macros close in their own line.
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
        begins: usize,
        lines: &mut Lines<'_>,
        active: bool,
    ) -> Result<(), SubmitError> {
        let raw = &line.text[begins..];
        // A list's brackets are looked for before macros are expanded: the lines that follow
        // belong to it even where the statement does not count.
        let listed = list_begins(raw);
        let inline = match listed {
            Some(at) => Some(self.bracketed(line, &raw[at + 1..], lines)?),
            None => None,
        };
        if !active {
            return Ok(());
        }
        let head = listed.map_or(raw, |at| &raw[..at]);
        let mut text = self.macros.expand_text(line, begins, head)?;
        if inline.is_some() {
            text.push_str("()");
        }
        let parsed =
            queue::parse(&text).map_err(|(at, problem)| line.error(begins + at.min(raw.len()), problem))?;
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
                Ok(value) => return Err(line.error(begins, format!("{value} is no number of procs"))),
                Err(problem) => {
                    return Err(line.error(begins, format!("{count:?} is no number of procs: {problem}")));
                }
            },
        };
        if parsed.variables.len() > MAX_QUEUE_VARIABLES {
            return Err(line.error(begins, format!("more than {MAX_QUEUE_VARIABLES} variables")));
        }
        let items = self.items(line, begins, &parsed.source, inline)?;
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
        begins: usize,
        source: &Source<'_>,
        inline: Option<Vec<String>>,
    ) -> Result<Option<Vec<String>>, SubmitError> {
        let fail = |problem: String| line.error(begins, problem);
        let expand = |items: Vec<String>| -> Result<Vec<String>, SubmitError> {
            items
                .into_iter()
                .map(|item| self.macros.expand_text(line, begins, &item))
                .collect()
        };
        let (slice, items) = match source {
            Source::None => return Ok(None),
            Source::In(slice, list) => {
                let text = match inline {
                    Some(lines) => expand(lines)?.join(","),
                    None => (*list).to_owned(),
                };
                let entries = text
                    .split([',', ' ', '\t', '\n'])
                    .filter(|entry| !entry.is_empty());
                (slice, entries.map(str::to_owned).collect())
            }
            Source::From(slice, list) => {
                let items: Vec<String> = match inline {
                    Some(lines) => expand(lines)?,
                    None if list.ends_with('|') => {
                        return Err(fail(
                            "items that a command prints are not read: no command is run to submit".into(),
                        ));
                    }
                    None if *list == "-" => {
                        return Err(fail("items are not read from standard input".into()));
                    }
                    None => {
                        let path = list.trim_matches('"');
                        let text = self
                            .files
                            .read_file(path)
                            .map_err(|problem| fail(format!("{path}: {problem}")))?;
                        if text.len() > MAX_FILE_BYTES {
                            return Err(fail(format!("{path} is longer than {MAX_FILE_BYTES} bytes")));
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
            Source::Matching(slice, what, list) => {
                let text = match inline {
                    Some(lines) => expand(lines)?.join(" "),
                    None => (*list).to_owned(),
                };
                let mut found: Vec<String> = Vec::new();
                for pattern in text.split([',', ' ', '\t']).filter(|pattern| !pattern.is_empty()) {
                    let paths = self
                        .files
                        .matching_paths(pattern, *what)
                        .map_err(|problem| fail(format!("{pattern}: {problem}")))?;
                    found.extend(paths);
                }
                let mut seen = std::collections::HashSet::new();
                found.retain(|path| seen.insert(path.clone()));
                (slice, found)
            }
        };
        let items = slice
            .select(items)
            .ok_or_else(|| fail("a slice steps by 0".into()))?;
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
            fixed: Vec::new(),
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
                batch.fixed.push((entry, Arc::from(value)));
            }
        }
        let none = [String::new()];
        for (row, item) in items.as_deref().unwrap_or(&none).iter().enumerate() {
            let values = queue::split_item(item, variables.len().max(1));
            let values: Vec<(Arc<str>, &str)> = variables.iter().cloned().zip(values).collect();
            for step in 0..count {
                let process = first + batch.procs.len();
                let live = ProcContext {
                    cluster: self.cluster,
                    process,
                    step,
                    row,
                    items: &values,
                };
                let mut own: Vec<Box<str>> = Vec::with_capacity(batch.varying.len());
                for entry in &batch.varying {
                    let value = self.macros.expand_definition(&entry.definition, Some(&live))?;
                    self.expanded += value.len();
                    own.push(Box::from(value));
                }
                if self.expanded > MAX_EXPANDED_BYTES {
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

    /// A name that is no command and that nothing refers to is a slip more often than not.
    fn note_what_was_not_used(&mut self) {
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

/// Where the brackets of a list open in what follows `queue`, if it has one: after the word
/// that says so, a slice, and nothing else.
fn list_begins(text: &str) -> Option<usize> {
    let lower = text.to_ascii_lowercase();
    let at = lower.match_indices('(').map(|(at, _)| at).find(|at| {
        let before = lower[..*at].trim_end();
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
    Some(at)
}
