//! One thread that sends its share of the plan on time, whether or not answers come.

use std::{cell::Cell, io, path::PathBuf, rc::Rc, sync::mpsc::Sender, time::Duration};

use bramleypier_standins::{audit::Told, clock};
use compio::runtime::{self, Runtime};
use futures_channel::mpsc;
use futures_util::{StreamExt, future::Either};
use uuid::Uuid;

use crate::{
    balancer::Balancer,
    call::{self, Answer, Ask},
    config::{Class, Config},
    journal::{Journal, Line},
    plan::{Plan, Shot},
    pool::Pool,
    tally::Tally,
};

/// How often a worker reports.
pub const PERIOD: Duration = Duration::from_secs(1);
/// How many requests are sent in a row before answers are looked at.
const BURST: u64 = 32;
/// How long to wait before an order is sent again, when the answer doesn't say.
const RESEND_WAIT: Duration = Duration::from_millis(50);
/// How often the end of the last requests is looked for.
const END_POLL: Duration = Duration::from_millis(5);

/// What a worker counted in one second.
#[derive(Debug)]
pub struct Report {
    /// The second, counted from the end of the warm-up; requests of the warm-up are in none.
    pub second: u64,
    /// The counts.
    pub tally: Tally,
}

/// What happened to one request.
#[derive(Debug)]
enum Event {
    /// It was due.
    Sent(Duration, Class),
    /// One sending was answered, or never will be.
    Line(Box<Line>),
    /// Its last sending ended.
    Ended {
        due: Duration,
        class: Class,
        answer: Answer,
        latency: Duration,
        sends: usize,
    },
}

/// What the requests of a worker share.
#[derive(Clone)]
struct Shared {
    config: Rc<Config>,
    pool: Pool,
    balancer: Balancer,
    events: mpsc::UnboundedSender<Event>,
    open: Rc<Cell<usize>>,
    prefix: Rc<str>,
}

/// Runs a worker's share of a run that begins at `start`, on the machine's clock.
///
/// # Errors
///
/// Fails when the runtime does not start, or the log can't be written.
pub fn run(
    config: &Config,
    worker: usize,
    start: Duration,
    reports: Sender<Report>,
) -> io::Result<()> {
    let journal = match log_path(config, worker) {
        Some(path) => Some(Journal::create(&path)?),
        None => None,
    };
    Runtime::new()?.block_on(async {
        let (events, heard) = mpsc::unbounded();
        let collector = Collector {
            start: start + config.warm_up,
            warm_up: config.warm_up,
            journal,
            reports,
            tally: Tally::default(),
            second: 0,
        };
        let collecting = runtime::spawn(collector.run(heard));
        send(config, worker, start, events).await;
        collecting
            .await
            .unwrap_or_else(|_| Err(io::Error::other("the collector ended early")))
    })
}

/// Returns the file of a worker's lines.
///
/// # Example
///
/// ```
/// use bramleypier_load::{config::Config, worker};
///
/// let config = Config {
///     log: Some("run.jsonl".into()),
///     ..Config::default()
/// };
/// let path = worker::log_path(&config, 1).unwrap();
/// assert_eq!(path.to_str(), Some("run.jsonl.1"));
/// ```
pub fn log_path(config: &Config, worker: usize) -> Option<PathBuf> {
    let path = config.log.as_ref()?;
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{worker}"));
    Some(name.into())
}

async fn send(
    config: &Config,
    worker: usize,
    start: Duration,
    events: mpsc::UnboundedSender<Event>,
) {
    let seed = config.seed.wrapping_add(worker as u64);
    let shared = Shared {
        config: Rc::new(config.clone()),
        pool: Pool::new(config.connections),
        balancer: Balancer::new(&config.addresses, config.spread, seed),
        events,
        open: Rc::default(),
        prefix: Uuid::now_v7().simple().to_string().into(),
    };
    if let Some(period) = config.health {
        shared.balancer.watch(period);
    }
    for shot in Plan::new(config, worker) {
        let due = start + shot.due;
        let now = clock::now();
        if due > now {
            compio::time::sleep(due.saturating_sub(now)).await;
        } else if shot.number % BURST == 0 {
            compio::time::sleep(Duration::ZERO).await;
        }
        shared.fire(shot, due);
    }
    while shared.open.get() > 0 {
        compio::time::sleep(END_POLL).await;
    }
}

impl Shared {
    /// Sends a request in a task of its own.
    fn fire(&self, shot: Shot, due: Duration) {
        self.tell(Event::Sent(shot.due, shot.class));
        self.open.set(self.open.get() + 1);
        let shared = self.clone();
        runtime::spawn(async move {
            let ask = shared.ask(&shot);
            let (answer, sends) = shared.serve(&ask, due).await;
            shared.tell(Event::Ended {
                due: shot.due,
                class: shot.class,
                answer,
                latency: clock::now().saturating_sub(due),
                sends,
            });
            shared.open.set(shared.open.get() - 1);
        })
        .detach();
    }

    fn ask(&self, shot: &Shot) -> Ask {
        let config = &self.config;
        let id = match shot.class {
            Class::Orders => Uuid::now_v7().to_string(),
            Class::Lookups | Class::Files => format!("{}-{}", self.prefix, shot.number),
        };
        Ask {
            id,
            class: shot.class,
            key: format!("key-{}", shot.key),
            work: shot.work,
            bytes: config.file_bytes,
            deadline: config.deadline,
            service: (!config.direct).then(|| config.service.clone()),
        }
    }

    /// Sends a request, an order again as often as is allowed; returns how often that was.
    async fn serve(&self, ask: &Ask, due: Duration) -> (Answer, usize) {
        let limit = match ask.class {
            Class::Orders => self.config.sends.max(1),
            Class::Lookups | Class::Files => 1,
        };
        let mut last = None;
        let mut sends = 0;
        loop {
            let Some(address) = self.balancer.choose(last) else {
                return (Answer::none(false), sends);
            };
            let sent = clock::now();
            let answer = call::exchange(&self.pool, address, ask).await;
            self.balancer.ended(address);
            sends += 1;
            if self.config.log.is_some() {
                self.note(ask, &answer, address.to_string(), sent, due);
            }
            let is_settled = answer.told != Told::Unknown && !answer.failed;
            if is_settled || sends >= limit {
                return (answer, sends);
            }
            last = Some(address);
            compio::time::sleep(answer.retry.unwrap_or(RESEND_WAIT)).await;
        }
    }

    fn note(&self, ask: &Ask, answer: &Answer, address: String, sent: Duration, due: Duration) {
        let latency = clock::now().saturating_sub(due);
        self.tell(Event::Line(Box::new(Line {
            id: ask.id.clone(),
            key: ask.key.clone(),
            class: ask.class,
            address,
            sent_ms: clock::millis(sent),
            told: answer.told,
            sound: answer.sound,
            status: answer.status,
            bytes: answer.bytes,
            peer: answer.peer.clone(),
            latency_us: u64::try_from(latency.as_micros()).unwrap_or(u64::MAX),
        })));
    }

    fn tell(&self, event: Event) {
        // The collector lives as long as the last request.
        drop(self.events.unbounded_send(event));
    }
}

/// Adds up events, and reports once a second.
struct Collector {
    start: Duration,
    warm_up: Duration,
    journal: Option<Journal>,
    reports: Sender<Report>,
    tally: Tally,
    second: u64,
}

impl Collector {
    async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) -> io::Result<()> {
        loop {
            let due = self.start + PERIOD * u32::try_from(self.second + 1).unwrap_or(u32::MAX);
            let left = due.saturating_sub(clock::now());
            let pause = Box::pin(compio::time::sleep(left));
            match self.gather(&mut events, pause).await? {
                Next::Second => self.report(),
                Next::End => break,
            }
        }
        self.report();
        match self.journal {
            Some(journal) => journal.close(),
            None => Ok(()),
        }
    }

    /// Takes events until the second is over, or none can come any more.
    async fn gather<F>(
        &mut self,
        events: &mut mpsc::UnboundedReceiver<Event>,
        mut pause: F,
    ) -> io::Result<Next>
    where
        F: Future<Output = ()> + Unpin,
    {
        loop {
            match futures_util::future::select(pause, events.next()).await {
                Either::Left(_) => return Ok(Next::Second),
                Either::Right((None, _)) => return Ok(Next::End),
                Either::Right((Some(event), rest)) => {
                    self.on(event)?;
                    pause = rest;
                }
            }
        }
    }

    fn on(&mut self, event: Event) -> io::Result<()> {
        match event {
            Event::Sent(due, class) if due >= self.warm_up => self.tally.sent(class),
            Event::Ended {
                due,
                class,
                answer,
                latency,
                sends,
            } if due >= self.warm_up => self.tally.ended(class, &answer, latency, sends),
            Event::Line(line) => {
                if let Some(journal) = &mut self.journal {
                    journal.write(&line)?;
                }
            }
            Event::Sent(..) | Event::Ended { .. } => {}
        }
        Ok(())
    }

    fn report(&mut self) {
        let tally = std::mem::take(&mut self.tally);
        let second = self.second;
        self.second += 1;
        // Whoever gathers reports waits for the last one.
        drop(self.reports.send(Report { second, tally }));
    }
}

/// Why a collector stopped taking events.
enum Next {
    Second,
    End,
}
