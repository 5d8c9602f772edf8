//! The record of a run: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::{BufWriter, Write as _},
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = BufWriter::new(File::create(path).expect("the record can be written"));
        Self { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().expect("record"), "{at:9.4} {text}");
    }

    /// Writes a line to the record and to the output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().expect("record").flush();
    }
}
