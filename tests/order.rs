//! The order state machines in single fault cases, step by step.

use std::time::Duration;

use bramleypier::order::{
    Answer, Attempt, AttemptState, Effect, Ledger, Message, Order, Reply, Starter, View, Views,
    ledger,
    memory::Limits,
    starter::{self, Decision, UnknownReason},
};

const HOME: &str = "home#1";
const STANDBY: &str = "standby#1";
const WALL: Duration = Duration::from_secs(1_000_000);

fn now(ms: u64) -> Duration {
    Duration::from_secs(1_000) + Duration::from_millis(ms)
}

fn view(number: u64, home: &str, standby: &str) -> View {
    View {
        number,
        home: home.into(),
        standby: Some(standby.into()),
        complete_since: 1,
        horizon: None,
    }
}

fn order(id: &str, fingerprint: u128) -> Order {
    Order {
        id: id.into(),
        created_at: Some(WALL),
        fingerprint,
    }
}

fn attempt(vm: &str, seq: u64) -> Attempt {
    Attempt { vm: vm.into(), seq }
}

/// Returns a home whose view has a standby.
fn home(limits: Limits, horizon: Option<Duration>) -> Ledger {
    let mut home = Ledger::new(HOME, limits);
    let first = View {
        horizon,
        ..view(1, HOME, STANDBY)
    };
    let views = Views {
        shards: vec![first],
    };
    home.on(now(0), ledger::Event::Views { version: 1, views });
    home
}

fn deliver(ledger: &mut Ledger, from: &str, message: Message) -> Vec<Effect> {
    let from = from.into();
    ledger.on(now(1), ledger::Event::Message { from, message })
}

fn start(ledger: &mut Ledger, order: &Order, attempt: &Attempt, view: u64) -> Reply {
    let message = Message::Start {
        order: order.clone(),
        attempt: attempt.clone(),
        view,
        wall: WALL,
    };
    let effects = deliver(ledger, &attempt.vm, message);
    let reply = effects.into_iter().find_map(|effect| match effect {
        Effect::Send {
            message: Message::Reply { reply, .. },
            ..
        } => Some(reply),
        _ => None,
    });
    reply.expect("every start gets a reply")
}

fn finish(
    ledger: &mut Ledger,
    order: &Order,
    attempt: &Attempt,
    state: AttemptState,
) -> Vec<Effect> {
    let message = Message::Finish {
        order: order.clone(),
        attempt: attempt.clone(),
        state,
    };
    deliver(ledger, &attempt.vm, message)
}

fn ran() -> AttemptState {
    AttemptState::Ran(Answer::new(201, "text/plain", b"printed", 64))
}

#[test]
fn a_resent_order_gets_the_state_of_the_first_attempt() {
    let AttemptState::Ran(answer) = ran() else {
        unreachable!()
    };
    let cases = [
        (AttemptState::Open, 1, Reply::Running),
        (ran(), 1, Reply::Ran(answer)),
        (AttemptState::Unknown, 1, Reply::Unknown),
        (AttemptState::NotRun, 1, Reply::Admitted),
        (AttemptState::Open, 2, Reply::Mismatch),
        (ran(), 2, Reply::Mismatch),
        (AttemptState::NotRun, 2, Reply::Admitted),
    ];
    for (state, fingerprint, expected) in cases {
        let mut home = home(Limits::default(), None);
        let first = attempt("a#1", 1);
        assert_eq!(
            start(&mut home, &order("s/1", 1), &first, 1),
            Reply::Admitted
        );
        finish(&mut home, &order("s/1", 1), &first, state.clone());
        let found = start(&mut home, &order("s/1", fingerprint), &attempt("b#1", 1), 1);
        assert_eq!(found, expected, "{state:?} {fingerprint}");
    }
}

#[test]
fn late_and_duplicate_messages_change_nothing() {
    let mut home = home(Limits::default(), None);
    let (one, two) = (attempt("a#1", 1), attempt("a#1", 2));
    let order = order("s/1", 1);
    // The end of the first attempt arrives before its start.
    finish(&mut home, &order, &one, AttemptState::NotRun);
    assert_eq!(start(&mut home, &order, &two, 1), Reply::Admitted);
    assert_eq!(start(&mut home, &order, &one, 1), Reply::Ended);
    assert_eq!(start(&mut home, &order, &two, 1), Reply::Admitted);
    finish(&mut home, &order, &two, ran());
    finish(&mut home, &order, &two, AttemptState::Unknown);
    finish(&mut home, &order, &one, AttemptState::NotRun);
    assert!(matches!(
        start(&mut home, &order, &attempt("b#1", 9), 1),
        Reply::Ran(_)
    ));
}

#[test]
fn a_waiting_attempt_gets_a_reply_when_the_other_ends() {
    let mut home = home(Limits::default(), None);
    let (order, one, two) = (order("s/1", 1), attempt("a#1", 1), attempt("b#1", 1));
    start(&mut home, &order, &one, 1);
    assert_eq!(start(&mut home, &order, &two, 1), Reply::Running);
    let effects = finish(&mut home, &order, &one, AttemptState::NotRun);
    let expected_reply = Effect::Send {
        to: "b#1".into(),
        message: Message::Reply {
            attempt: two,
            view: 1,
            reply: Reply::Admitted,
        },
    };
    assert!(effects.contains(&expected_reply), "{effects:?}");
}

#[test]
fn a_standby_records_nothing_before_its_memory_is_complete() {
    let mut standby = Ledger::new(STANDBY, Limits::default());
    let views = Views {
        shards: vec![view(1, HOME, STANDBY)],
    };
    standby.on(now(0), ledger::Event::Views { version: 1, views });
    let (order, one) = (order("s/1", 1), attempt("a#1", 1));
    assert_eq!(start(&mut standby, &order, &one, 1), Reply::NotReady);
    let part = |view, part, last| Message::Transfer {
        shard: 0,
        view,
        part,
        last,
        floor: Duration::ZERO,
        entries: Vec::new(),
    };
    deliver(&mut standby, HOME, part(2, 0, true)); // of another view
    deliver(&mut standby, "x#1", part(1, 0, true)); // not from the home
    deliver(&mut standby, HOME, part(1, 1, true)); // before the first part
    deliver(&mut standby, HOME, part(1, 0, false));
    assert_eq!(start(&mut standby, &order, &one, 1), Reply::NotReady);
    deliver(&mut standby, HOME, part(1, 0, false)); // duplicate
    deliver(&mut standby, HOME, part(1, 1, true));
    assert_eq!(start(&mut standby, &order, &one, 1), Reply::Recorded);
}

#[test]
fn a_start_under_another_view_is_not_admitted() {
    let mut home = home(Limits::default(), None);
    let views = Views {
        shards: vec![view(2, HOME, "other#1")],
    };
    home.on(now(2), ledger::Event::Views { version: 2, views });
    let (order, one) = (order("s/1", 1), attempt("a#1", 1));
    assert!(matches!(start(&mut home, &order, &one, 1), Reply::Moved(view) if view.number == 2));
    assert_eq!(start(&mut home, &order, &one, 3), Reply::NotReady);
    assert_eq!(start(&mut home, &order, &one, 2), Reply::Admitted);
}

#[test]
fn after_the_loss_of_both_memories_only_younger_ids_run() {
    let horizon = Some(WALL);
    let hour = Duration::from_hours(1);
    let cases = [
        (Some(WALL), WALL, Reply::Unknown),
        (Some(WALL + Duration::from_millis(1)), WALL, Reply::Admitted),
        (Some(Duration::ZERO), WALL + 9 * hour, Reply::Unknown),
        (None, WALL + hour, Reply::Unknown),
        (None, WALL + hour + Duration::from_secs(1), Reply::Admitted),
    ];
    for (created_at, wall, expected) in cases {
        let mut home = home(Limits::default(), horizon);
        let message = Message::Start {
            order: Order {
                created_at,
                ..order("s/1", 1)
            },
            attempt: attempt("a#1", 1),
            view: 1,
            wall,
        };
        let effects = deliver(&mut home, "a#1", message);
        let replied = effects.iter().any(|effect| {
            matches!(effect, Effect::Send { message: Message::Reply { reply, .. }, .. }
                if *reply == expected)
        });
        assert!(replied, "{created_at:?} {wall:?}: {effects:?}");
    }
}

#[test]
fn an_evicted_order_never_runs_again() {
    let limits = Limits {
        bytes: 6_000,
        ..Limits::default()
    };
    let mut home = home(limits, None);
    let dated = |n: u64| Order {
        created_at: Some(WALL + Duration::from_secs(n)),
        ..order(&format!("s/{n}"), 1)
    };
    for n in 1..40 {
        assert_eq!(
            start(&mut home, &dated(n), &attempt("a#1", n), 1),
            Reply::Admitted
        );
        finish(&mut home, &dated(n), &attempt("a#1", n), ran());
    }
    assert!(home.size().1 <= 7_000, "{:?}", home.size());
    for n in 1..40 {
        let found = start(&mut home, &dated(n), &attempt("b#1", n), 1);
        assert!(
            matches!(found, Reply::Ran(_) | Reply::Unknown),
            "{n}: {found:?}"
        );
    }
    // Undated ids are not evicted before their retention ends, so the memory fills up.
    let undated = |n: u64| Order {
        created_at: None,
        ..order(&format!("s/u{n}"), 1)
    };
    let mut replies = Vec::new();
    for n in 0..20 {
        replies.push(start(&mut home, &undated(n), &attempt("a#1", 100 + n), 1));
        finish(&mut home, &undated(n), &attempt("a#1", 100 + n), ran());
    }
    assert!(replies.contains(&Reply::Full) && replies.contains(&Reply::Admitted));
}

/// Returns a starter that has asked whether one order may run, as its first attempt.
fn asking_starter() -> Starter {
    let mut starter = Starter::new("a#1");
    let views = Views {
        shards: vec![view(1, HOME, STANDBY)],
    };
    starter.on(now(0), starter::Event::Views { version: 1, views });
    let begin = starter::Event::Begin {
        token: 7,
        order: order("s/1", 1),
        deadline: now(1_000),
        wall: WALL,
    };
    assert_eq!(starter.on(now(0), begin).len(), 2);
    starter
}

fn deliver_reply(starter: &mut Starter, view: u64, reply: Reply) -> Option<Decision> {
    let message = Message::Reply {
        attempt: attempt("a#1", 1),
        view,
        reply,
    };
    let from = HOME.into();
    let effects = starter.on(now(10), starter::Event::Message { from, message });
    decision(effects)
}

fn decision(effects: Vec<Effect>) -> Option<Decision> {
    effects.into_iter().find_map(|effect| match effect {
        Effect::Decide { token: 7, decision } => Some(decision),
        _ => None,
    })
}

#[test]
fn an_order_runs_only_with_the_replies_of_both_members() {
    let cases = [
        (vec![(1, Reply::Admitted)], None),
        (vec![(1, Reply::Recorded)], None),
        (vec![(1, Reply::Admitted), (1, Reply::Admitted)], None),
        (vec![(1, Reply::Admitted), (2, Reply::Recorded)], None),
        (vec![(1, Reply::Running), (1, Reply::Recorded)], None),
        (
            vec![(1, Reply::Admitted), (1, Reply::Recorded)],
            Some(Decision::Run),
        ),
        (
            vec![(1, Reply::Recorded), (1, Reply::Admitted)],
            Some(Decision::Run),
        ),
        (vec![(1, Reply::AdmittedAlone)], Some(Decision::Run)),
        (
            vec![(1, Reply::Unknown)],
            Some(Decision::Unknown(UnknownReason::Lost)),
        ),
        (
            vec![(1, Reply::Full)],
            Some(Decision::Unknown(UnknownReason::MemoryFull)),
        ),
        (vec![(1, Reply::Mismatch)], Some(Decision::Mismatch)),
    ];
    for (replies, expected) in cases {
        let mut starter = asking_starter();
        let decisions = replies
            .iter()
            .map(|(view, reply)| deliver_reply(&mut starter, *view, reply.clone()));
        assert_eq!(decisions.flatten().next(), expected, "{replies:?}");
    }
}

#[test]
fn an_undecided_order_is_unknown_at_its_deadline() {
    let cases = [
        (None, UnknownReason::NoReply),
        (Some(Reply::Admitted), UnknownReason::NoReply),
        (Some(Reply::NotReady), UnknownReason::NoReply),
        (Some(Reply::Running), UnknownReason::Running),
    ];
    for (reply, why) in cases {
        let mut starter = asking_starter();
        if let Some(reply) = reply {
            assert_eq!(deliver_reply(&mut starter, 1, reply), None);
        }
        let timed_out = decision(starter.on(now(1_000), starter::Event::Tick));
        assert_eq!(timed_out, Some(Decision::Unknown(why)));
        // A reply after the deadline doesn't start the order.
        assert_eq!(deliver_reply(&mut starter, 1, Reply::AdmittedAlone), None);
    }
}

#[test]
fn an_id_dated_in_the_future_does_not_run() {
    let mut starter = asking_starter();
    let begin = starter::Event::Begin {
        token: 7,
        order: Order {
            created_at: Some(WALL + Duration::from_secs(16)),
            ..order("s/2", 1)
        },
        deadline: now(1_000),
        wall: WALL,
    };
    let decided = decision(starter.on(now(0), begin));
    assert_eq!(decided, Some(Decision::Unknown(UnknownReason::DatedAhead)));
}
