//! The platform's service, as far as grantors use it.

use std::time::Duration;

use bramleypier::{
    grantor::{Event, Outcome},
    group::{Record, check},
    id::Version,
    range::Range,
};

use super::{Call, Parcel, Payload, STORE, World};

/// One value.
#[derive(Debug, Default)]
pub struct Store {
    pub value: Option<(Version, Record)>,
    /// Until when it is down: calls vanish.
    pub down: Duration,
    /// How many writes take effect and lose their answers.
    pub mute: u32,
    /// How many writes take effect before it is down, and for how long.
    pub swallow: (u32, Duration),
    pub writes: u64,
    pub reads: u64,
    revision: Version,
}

impl Store {
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes by compare-and-swap.
    fn write(&mut self, base: Version, record: Record) -> Result<Outcome, String> {
        self.writes += 1;
        let stands = self.value.as_ref().map_or(0, |(version, _)| *version);
        if stands != base {
            return Ok(Outcome::Conflict(stands));
        }
        check::check(&record, Range::ALL).map_err(|error| error.to_string())?;
        self.revision += 1;
        self.value = Some((self.revision, record));
        Ok(Outcome::Committed(self.revision))
    }
}

impl World {
    /// The store takes a call and answers.
    pub(super) fn call(&mut self, parcel: Parcel) {
        let Payload::Call(call) = parcel.payload else {
            return;
        };
        if self.time < self.store.down {
            return;
        }
        let answer = match call {
            Call::Write(base, sequence, record) => {
                let result = match self.store.write(base, *record) {
                    Ok(result) => result,
                    Err(fault) => {
                        self.watchdog.fail(format!("{} wrote {fault}", parcel.from));
                        return;
                    }
                };
                if let Outcome::Committed(_) = result {
                    if self.store.swallow.0 > 0 {
                        self.store.swallow.0 -= 1;
                        self.store.down = self.time + self.store.swallow.1;
                        self.note_record();
                        return;
                    }
                    self.announce();
                    if self.store.mute > 0 {
                        self.store.mute -= 1;
                        return;
                    }
                }
                Payload::Event(Event::Written { sequence, result })
            }
            Call::Read(asked) => {
                self.store.reads += 1;
                let Some((version, record)) = self.store.value.clone() else {
                    return;
                };
                Payload::Event(Event::Read {
                    asked,
                    version,
                    record,
                })
            }
        };
        self.send(STORE, &parcel.from, answer);
    }

    fn note_record(&mut self) {
        if let Some((_, record)) = &self.store.value {
            self.watchdog.on_record(record);
        }
    }

    /// The watches tell of the new value.
    fn announce(&mut self) {
        let Some((version, record)) = self.store.value.clone() else {
            return;
        };
        self.note_record();
        for vm in self.vms.keys().cloned().collect::<Vec<_>>() {
            if self.blind.get(&vm).is_some_and(|end| *end > self.time) {
                continue;
            }
            let record = record.clone();
            self.send(
                STORE,
                &vm,
                Payload::Event(Event::Record { version, record }),
            );
        }
    }
}
