//! State machines that are defined in files and interpreted at run time.
//!
//! The files under `charts/` are compiled into the binary and checked by [`check_all`] when the
//! process starts. Their states and events must be exactly those of the enumerations in [`charts`],
//! so that code and files cannot diverge.
//!
//! A task owns a [`Machine`] for each life cycle that it drives, and passes events to it:
//!
//! ```
//! use bramleypier::chart::charts::{self, vm};
//!
//! let mut machine = charts::vm().unwrap().machine();
//! let change = machine.on(vm::Event::Listening).unwrap();
//! assert_eq!((change.from, change.to), (vm::State::Starting, vm::State::Joining));
//! assert!(machine.on(vm::Event::Ended).is_err());
//! ```

pub mod charts;

use std::{fmt, rc::Rc};

use indexmap::{IndexMap, IndexSet};
use quick_error::quick_error;

use crate::util::{
    fields,
    ini::{self, Fault, Section},
    names::Names,
};

const CHART_SECTION: &str = "chart";

quick_error! {
    /// Why a machine did not change its state.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The state has no transition for the event; the machine keeps its state.
        Refused(chart: &'static str, state: &'static str, event: &'static str) {
            display("step=chart peer={chart} state={state} event={event} cause=\"no transition\"")
        }
    }
}

/// A transition that a machine made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change<S> {
    /// The state before.
    pub from: S,
    /// The state after.
    pub to: S,
}

impl<S> fmt::Display for Change<S>
where
    S: Names,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "from={} to={}", self.from.name(), self.to.name())
    }
}

/// A state chart whose states and events are the variants of two enumerations.
#[derive(Clone, Debug)]
pub struct Chart<S, E> {
    name: &'static str,
    initial: S,
    final_states: IndexSet<S>,
    transitions: IndexMap<(S, E), S>,
}

impl<S, E> Chart<S, E>
where
    S: Names,
    E: Names,
{
    /// Parses a chart and checks it.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] for a state or event that is unknown, missing or never used, a state that
    /// can't be reached, a final state with a transition, and any other state without one.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::chart::{Chart, charts::vm};
    ///
    /// let fault = Chart::<vm::State, vm::Event>::parse("vm", "[chart]\ninitial = nowhere");
    /// assert_eq!(
    ///     fault.unwrap_err().to_string(),
    ///     "charts/vm.ini:2: [chart] initial: unknown state `nowhere`"
    /// );
    /// ```
    pub fn parse(name: &'static str, text: &str) -> Result<Self, Fault> {
        let file = format!("charts/{name}.ini");
        let sections = ini::parse(&file, text)?;
        let reader = Reader { file, sections };
        let chart = Self {
            name,
            initial: reader.initial()?,
            final_states: reader.final_states()?,
            transitions: reader.transitions()?,
        };
        reader.check_declared::<E>()?;
        chart.check_events(&reader)?;
        chart.check_final_states(&reader)?;
        chart.check_reachable(&reader)?;
        Ok(chart)
    }

    /// Starts a machine in the initial state.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::chart::charts::{self, duty};
    ///
    /// let machine = charts::duty().unwrap().machine();
    /// assert_eq!(machine.state(), duty::State::Absent);
    /// ```
    pub fn machine(self: Rc<Self>) -> Machine<S, E> {
        Machine {
            state: self.initial,
            chart: self,
        }
    }

    /// Returns the state that follows when an event occurs in a state, or `None` without a transition.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::chart::charts::{self, duty::{Event, State}};
    ///
    /// let chart = charts::duty().unwrap();
    /// assert_eq!(chart.next(State::Held, Event::Lapse), Some(State::Absent));
    /// ```
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.transitions.get(&(state, event)).copied()
    }

    /// Returns whether a state is final.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::chart::charts::{self, vm};
    ///
    /// assert!(charts::vm().unwrap().is_final(vm::State::Stopped));
    /// ```
    pub fn is_final(&self, state: S) -> bool {
        self.final_states.contains(&state)
    }

    /// Checks that each event has a transition in at least one state.
    fn check_events(&self, reader: &Reader) -> Result<(), Fault> {
        let used: IndexSet<E> = self.transitions.keys().map(|(_, event)| *event).collect();
        match E::ALL.iter().find(|event| !used.contains(*event)) {
            None => Ok(()),
            Some(event) => {
                let reason = format!("no state takes the event `{}`", event.name());
                Err(reader.fault(CHART_SECTION, "events", &reason))
            }
        }
    }

    /// Checks that final states have no transition and that all other states have one.
    fn check_final_states(&self, reader: &Reader) -> Result<(), Fault> {
        for state in S::ALL {
            let has_transition = self.transitions.keys().any(|(from, _)| from == state);
            let section = format!("state {}", state.name());
            if self.is_final(*state) && has_transition {
                return Err(reader.fault(&section, "", "is final, but has a transition"));
            }
            if !self.is_final(*state) && !has_transition {
                return Err(reader.fault(&section, "", "is not final, but has no transition"));
            }
        }
        Ok(())
    }

    /// Checks that each state can be reached from the initial state.
    fn check_reachable(&self, reader: &Reader) -> Result<(), Fault> {
        let mut reached = IndexSet::from([self.initial]);
        let mut next = 0;
        while let Some(state) = reached.get_index(next).copied() {
            let outgoing = self
                .transitions
                .iter()
                .filter(|((from, _), _)| *from == state);
            reached.extend(outgoing.map(|(_, to)| *to));
            next += 1;
        }
        match S::ALL.iter().find(|state| !reached.contains(*state)) {
            None => Ok(()),
            Some(state) => {
                let section = format!("state {}", state.name());
                Err(reader.fault(&section, "", "cannot be reached"))
            }
        }
    }
}

/// A running instance of a [`Chart`], with its current state.
#[derive(Clone, Debug)]
pub struct Machine<S, E> {
    chart: Rc<Chart<S, E>>,
    state: S,
}

impl<S, E> Machine<S, E>
where
    S: Names,
    E: Names,
{
    /// Handles an event: moves to the next state of the chart and returns the transition.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] and keeps the state if it has no transition for the event.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::chart::charts::{self, target};
    ///
    /// let mut machine = charts::target().unwrap().machine();
    /// machine.on(target::Event::Ready).unwrap();
    /// assert_eq!(machine.state(), target::State::Ready);
    /// ```
    pub fn on(&mut self, event: E) -> Result<Change<S>, Error> {
        let from = self.state;
        let refused = Error::Refused(self.chart.name, from.name(), event.name());
        let to = self.chart.next(from, event).ok_or(refused)?;
        self.state = to;
        Ok(Change { from, to })
    }

    /// Returns the current state.
    ///
    /// # Example
    ///
    /// See [`Machine::on`].
    pub fn state(&self) -> S {
        self.state
    }

    /// Returns whether the current state is final.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::chart::charts;
    ///
    /// assert!(!charts::vm().unwrap().machine().is_final());
    /// ```
    pub fn is_final(&self) -> bool {
        self.chart.is_final(self.state)
    }
}

/// Checks every chart; called when the process starts.
///
/// # Errors
///
/// Returns the first [`Fault`] found.
///
/// # Example
///
/// ```
/// use bramleypier::chart;
///
/// assert!(chart::check_all().is_ok());
/// ```
pub fn check_all() -> Result<(), Fault> {
    charts::vm()?;
    charts::target()?;
    charts::duty()?;
    Ok(())
}

/// Reads a chart from the sections of its file.
struct Reader {
    file: String,
    sections: Vec<Section>,
}

impl Reader {
    /// Creates a fault that points at the line of a key, or of the section if the key is missing.
    fn fault(&self, section: &str, key: &str, reason: &str) -> Fault {
        let found = self.section(section);
        let entry = found.and_then(|found| found.keys.iter().find(|other| other.name == key));
        let header = found.map_or(0, |found| found.line);
        Fault {
            file: self.file.clone(),
            line: entry.map_or(header, |entry| entry.line),
            section: section.to_owned(),
            key: key.to_owned(),
            reason: reason.to_owned(),
        }
    }

    fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.name == name)
    }

    /// Returns the value of a required key in the section `[chart]`.
    fn chart_value(&self, key: &str) -> Result<&str, Fault> {
        let found = self.section(CHART_SECTION);
        let found = found.and_then(|section| section.keys.iter().find(|other| other.name == key));
        let missing = || self.fault(CHART_SECTION, key, "missing key");
        found.map(|found| found.value.as_str()).ok_or_else(missing)
    }

    fn state<S>(&self, section: &str, key: &str, name: &str) -> Result<S, Fault>
    where
        S: Names,
    {
        let unknown = || self.fault(section, key, &format!("unknown state `{name}`"));
        S::find(name).ok_or_else(unknown)
    }

    fn event<E>(&self, section: &str, key: &str, name: &str) -> Result<E, Fault>
    where
        E: Names,
    {
        let unknown = || self.fault(section, key, &format!("unknown event `{name}`"));
        E::find(name).ok_or_else(unknown)
    }

    fn initial<S>(&self) -> Result<S, Fault>
    where
        S: Names,
    {
        self.state(CHART_SECTION, "initial", self.chart_value("initial")?)
    }

    fn final_states<S>(&self) -> Result<IndexSet<S>, Fault>
    where
        S: Names,
    {
        let names = fields::parts(self.chart_value("final")?);
        names
            .map(|name| self.state(CHART_SECTION, "final", name))
            .collect()
    }

    /// Checks that the file declares exactly the events of the enumeration, each once.
    fn check_declared<E>(&self) -> Result<(), Fault>
    where
        E: Names,
    {
        let names = fields::parts(self.chart_value("events")?);
        let mut declared = IndexSet::new();
        for name in names {
            let event: E = self.event(CHART_SECTION, "events", name)?;
            if !declared.insert(event) {
                let reason = format!("the event `{name}` stands twice");
                return Err(self.fault(CHART_SECTION, "events", &reason));
            }
        }
        match E::ALL.iter().find(|event| !declared.contains(*event)) {
            None => Ok(()),
            Some(event) => {
                let reason = format!("the event `{}` is missing", event.name());
                Err(self.fault(CHART_SECTION, "events", &reason))
            }
        }
    }

    fn transitions<S, E>(&self) -> Result<IndexMap<(S, E), S>, Fault>
    where
        S: Names,
        E: Names,
    {
        let mut transitions = IndexMap::new();
        for section in self
            .sections
            .iter()
            .filter(|section| section.name != CHART_SECTION)
        {
            let Some(name) = section.name.strip_prefix("state ") else {
                return Err(self.fault(&section.name, "", "unknown section"));
            };
            let from = self.state(&section.name, "", name)?;
            for key in &section.keys {
                let event = self.event(&section.name, &key.name, &key.name)?;
                let to = self.state(&section.name, &key.name, &key.value)?;
                transitions.insert((from, event), to);
            }
        }
        Ok(transitions)
    }
}
