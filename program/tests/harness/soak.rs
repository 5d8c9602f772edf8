//! Runs a plan of the soak with this build of the program, and keeps the logs of a run with violations.

use std::{
    env, fs,
    path::PathBuf,
    process,
    sync::atomic::{AtomicU32, Ordering},
};

use bramleypier_soak::{check::Observations, plan::Plan, run};
use compio::runtime::Runtime;

/// One run of a plan.
pub struct SoakRun {
    /// What was observed.
    pub observations: Observations,
    folder: PathBuf,
}

impl SoakRun {
    /// Executes a plan; the folder of its logs is its own, and bears `name`.
    pub fn execute(plan: &Plan, seed: u64, name: &str) -> Self {
        let binaries = [env!("CARGO_BIN_EXE_bramleypier").into()];
        let folder = Self::new_folder(name);
        let execution = run::execute(&binaries, plan, seed, Some(&folder));
        let observations = Runtime::new().unwrap().block_on(execution).unwrap();
        Self {
            observations,
            folder,
        }
    }

    /// Returns a path that no other run of this process has.
    fn new_folder(name: &str) -> PathBuf {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let number = RUNS.fetch_add(1, Ordering::Relaxed);
        let process = process::id();
        env::temp_dir().join(format!("bramleypier-soak-{process}-{number}-{name}"))
    }

    /// Removes the logs, unless the run has violated a guarantee.
    pub fn finish(self, is_clean: bool) {
        if is_clean {
            fs::remove_dir_all(&self.folder).unwrap();
        } else {
            println!("logs are kept in {}", self.folder.display());
        }
    }
}
