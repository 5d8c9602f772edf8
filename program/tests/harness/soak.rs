//! Runs a plan of the soak with this build of the program, and keeps the logs of a run with violations.

use std::{env, fs, path::PathBuf, process};

use bramleypier_soak::{check::Observations, plan::Plan, run};
use compio::runtime::Runtime;

/// One run of a plan.
pub struct SoakRun {
    /// What was observed.
    pub observations: Observations,
    folder: PathBuf,
}

impl SoakRun {
    /// Executes a plan; `name` tells its logs from those of other runs.
    pub fn execute(plan: &Plan, seed: u64, name: &str) -> Self {
        let binaries = [env!("CARGO_BIN_EXE_bramleypier").into()];
        let folder = env::temp_dir().join(format!("bramleypier-soak-{}-{name}", process::id()));
        let execution = run::execute(&binaries, plan, seed, Some(&folder));
        let observations = Runtime::new().unwrap().block_on(execution).unwrap();
        Self {
            observations,
            folder,
        }
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
