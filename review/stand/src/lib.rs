//! Stand-ins of the platform and its users, the record of a case, and the controllers' processes.

pub mod controllers;
pub mod fleet;
pub mod http;
pub mod stand;
pub mod state;

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// What was sent, answered and run, line by line with the time since the beginning.
pub struct Record {
    file: Mutex<BufWriter<File>>,
    pub begun: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            begun: Instant::now(),
        })
    }

    /// Seconds since the beginning.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no thread panics");
        let _ = writeln!(file, "{:8.3} {text}", self.begun.elapsed().as_secs_f64());
        let _ = file.flush();
    }
}
