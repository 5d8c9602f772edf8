//! What breaks during a run.

use std::{str::FromStr, time::Duration};

use bramleypier_standins::platform;

use crate::scene::{Error, Scene};

/// How long a lost process stays on the platform's list.
const LIST_LAG: Duration = Duration::from_secs(1);

/// What breaks during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// A target is killed.
    Target,
    /// A VM is killed.
    Vm,
    /// The platform's service hangs up on all calls, from then on.
    Platform,
}

impl Fault {
    /// Returns the name.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "steady",
            Self::Target => "target lost",
            Self::Vm => "VM lost",
            Self::Platform => "platform down",
        }
    }

    /// Breaks what is to be broken, `after` from now.
    ///
    /// # Errors
    ///
    /// Fails when there is nothing of the kind.
    pub async fn strike(self, scene: &mut Scene, after: Duration) -> Result<(), Error> {
        if self == Self::None {
            return Ok(());
        }
        compio::time::sleep(after).await;
        if self == Self::Platform {
            let down = platform::Faults {
                down: true,
                ..platform::Faults::default()
            };
            return Ok(scene.fleet.platform_faults(&down).await?);
        }
        let Some(name) = self.victim(scene) else {
            return Ok(());
        };
        scene.fleet.kill(&name)?;
        compio::time::sleep(LIST_LAG).await;
        Ok(scene.fleet.unlist(&name).await?)
    }

    /// Returns the process that is killed.
    fn victim(self, scene: &Scene) -> Option<String> {
        match self {
            Self::Target => {
                let document = scene.documents.first()?;
                document.targets.keys().next().cloned()
            }
            Self::Vm => scene.vms.last().cloned(),
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
