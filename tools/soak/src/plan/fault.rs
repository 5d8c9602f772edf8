//! The faults and the planned work of a plan.

use std::time::Duration;

use bramleypier_platform_standin::{server, store};

use crate::proxy::{Cut, Mode, Spoiling};

/// A set of VMs: the VM with the number `n` is in it if the bit `n` is set.
pub type VmSet = u32;

/// A fault or a piece of planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills a VM's process and starts it again.
    Kill(usize),
    /// Stops a VM's process gracefully and starts it again.
    Stop(usize),
    /// Stops all VMs gracefully and starts them again, one after the other.
    StopAll,
    /// Suspends a VM's process.
    Pause(usize),
    /// Sets the mode of the proxy between a VM and the store.
    StorePath(usize, Mode),
    /// Sets the mode of the proxies between the VMs of a set and the store, which still reach the other VMs.
    TurnedAway(VmSet, Mode),
    /// Sets the mode of the proxy in front of a target, for all VMs.
    TargetPath(usize, Mode),
    /// Partitions the VMs of a set from all targets.
    Partition(VmSet, Cut),
    /// Sets a fault of the store, for all VMs.
    Store(store::Fault),
    /// Makes all leases in the store expire.
    Lapse,
    /// Makes the store drop its history.
    Forget,
    /// Makes the store come back from a copy that is this old, after it was away.
    OlderStore(Duration),
    /// Writes this many configurations in quick succession.
    Configs(u32),
    /// Makes the target of a slot refuse all requests, and its replacements too.
    TargetRefuses(usize),
    /// Ends a target whose entry stays in the store, and starts a replacement at the end of the step.
    TargetDown(usize),
    /// Makes the callers of the VMs of a set send nothing.
    Quiet(VmSet),
    /// Sets a fault of a target.
    Target(usize, server::Fault),
    /// Ends a target without an announcement and starts a replacement.
    TargetEnds(usize),
    /// Drains a target and starts a replacement.
    TargetLeaves(usize),
    /// Makes a target say in its responses that it leaves, drains it later, and starts a replacement.
    TargetSaysLeaving(usize),
    /// Makes a target refuse all requests and say when to come back.
    TargetHoldsOff(usize),
    /// Evacuates a failure domain and ends the evacuation again.
    Evacuate,
    /// Makes a target announce that it is cold.
    Cold(usize),
    /// A trouble of deployments.
    OfDeployment(DeploymentFault),
}

impl Fault {
    /// Returns whether it disturbs neither VMs nor the store.
    pub(super) fn spares_vms(&self) -> bool {
        matches!(
            self,
            Self::TargetPath(..)
                | Self::Target(..)
                | Self::TargetEnds(_)
                | Self::TargetLeaves(_)
                | Self::Configs(_)
        )
    }

    /// Returns whether it is planned work, which must not interrupt any request.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::Stop(_)
                | Self::StopAll
                | Self::Configs(_)
                | Self::TargetLeaves(_)
                | Self::TargetSaysLeaving(_)
                | Self::Evacuate
                | Self::Cold(_)
        )
    }
}

/// A fault that plans in the shape of a deployment add.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeploymentFault {
    /// Spoils this percentage of the responses of the targets of a service.
    Spoil(&'static str, Spoiling, u8),
    /// Resets this percentage of the connections to targets and to the store, and all of the callers' to one VM.
    ResetConnections(usize, u8),
    /// Makes a target take longer for each request.
    SlowTarget(usize),
    /// Removes a target's entry from the store, and puts it back.
    Unlisted(usize),
    /// Ends a target; its address goes to a target of another service, and a replacement gets another one.
    AddressReuse(usize),
    /// Asks a VM's process to read its settings again.
    Reload(usize),
    /// Suspends a VM's process for most of the time, in short pieces.
    Slow(usize),
    /// Kills the processes of a set of VMs, and starts them again after some time.
    KillSet(VmSet),
    /// Starts a VM that has not run before.
    Add(usize),
    /// Kills a VM's process, and starts another one at other addresses.
    Move(usize),
    /// Adds callers that come again at once when they are refused.
    Press,
    /// Makes a part of the callers leave early.
    GiveUp,
    /// Makes callers ask for one key most of the time.
    HotKey,
}

impl From<DeploymentFault> for Fault {
    fn from(fault: DeploymentFault) -> Self {
        Self::OfDeployment(fault)
    }
}
