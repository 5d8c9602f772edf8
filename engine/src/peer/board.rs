//! What all VMs have under way, as they told the manager.

use std::{collections::HashMap, time::Duration};

use super::TargetHash;

/// How long a VM's word counts. A VM that is lost has no requests; one that is slow still tells
/// several times a second.
const LIFE: Duration = Duration::from_millis(600);

/// The requests of each VM at each target.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::peer::Board;
///
/// let mut board = Board::default();
/// board.set(Duration::ZERO, "vm-1", vec![(7, 2)]);
/// board.set(Duration::ZERO, "vm-2", vec![(7, 1)]);
/// assert_eq!(board.others(Duration::ZERO, "vm-1"), [(7, 1)]);
/// assert!(board.others(Duration::from_secs(1), "vm-1").is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Board {
    flights: HashMap<String, (Vec<(TargetHash, u32)>, Duration)>,
}

impl Board {
    /// Takes in what a VM has under way.
    ///
    /// # Example
    ///
    /// See [`Board`].
    pub fn set(&mut self, now: Duration, start: &str, flights: Vec<(TargetHash, u32)>) {
        self.flights.retain(|_, (_, at)| now < *at + LIFE);
        self.flights.insert(start.to_owned(), (flights, now));
    }

    /// Returns what all others have under way.
    ///
    /// # Example
    ///
    /// See [`Board`].
    pub fn others(&self, now: Duration, start: &str) -> Vec<(TargetHash, u32)> {
        let mut sums: HashMap<TargetHash, u32> = HashMap::new();
        let others = self.flights.iter().filter(|(other, _)| *other != start);
        for (_, (flights, _)) in others.filter(|(_, (_, at))| now < *at + LIFE) {
            for (target, count) in flights {
                *sums.entry(*target).or_default() += count;
            }
        }
        sums.into_iter().collect()
    }
}
