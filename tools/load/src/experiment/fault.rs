//! Fault that is injected during a run.

use std::{str::FromStr, time::Duration};

use bramleypier_standins::platform;

use crate::testbed::{Error, Testbed};

/// Time for which a lost process stays in the platform's list.
const LISTING_DELAY: Duration = Duration::from_secs(1);

/// Fault that is injected during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// A target is killed.
    Target,
    /// A VM is killed.
    Vm,
    /// The platform's service closes the connection on every call from then on.
    Platform,
}

impl Fault {
    /// Returns the name as it stands in tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "steady",
            Self::Target => "target lost",
            Self::Vm => "VM lost",
            Self::Platform => "platform down",
        }
    }

    /// Injects the fault, `after` from now.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be killed, or the platform doesn't accept the change.
    pub async fn inject(self, testbed: &mut Testbed, after: Duration) -> Result<(), Error> {
        if self == Self::None {
            return Ok(());
        }
        compio::time::sleep(after).await;
        if self == Self::Platform {
            let down = platform::Faults {
                down: true,
                ..platform::Faults::default()
            };
            return Ok(testbed.fleet.platform_faults(&down).await?);
        }
        let Some(name) = self.process_to_kill(testbed) else {
            return Ok(());
        };
        testbed.fleet.kill(&name)?;
        compio::time::sleep(LISTING_DELAY).await;
        Ok(testbed.fleet.deregister(&name).await?)
    }

    /// Returns the name of the process to kill, if the fault kills one.
    fn process_to_kill(self, testbed: &Testbed) -> Option<String> {
        match self {
            Self::Target => {
                let document = testbed.documents.first()?;
                document.targets.keys().next().cloned()
            }
            Self::Vm => testbed.vms.last().cloned(),
            Self::None | Self::Platform => None,
        }
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "steady" => Ok(Self::None),
            "target" => Ok(Self::Target),
            "vm" => Ok(Self::Vm),
            "platform" => Ok(Self::Platform),
            _ => Err(format!("{text:?} is none of steady, target, vm, platform")),
        }
    }
}
