//! The checker bites: each rule that is left out is found by a run that passes with it.

mod model;

use bramleypier::grantor::flaw::Flaw;
use model::{Fault, Plan, Setup};

/// Runs the plans with the rule left out, and then in force.
fn bites(flaw: Flaw, plans: &[Plan]) {
    let run = |plan: &Plan, flaw: Flaw| {
        plan.run(Setup {
            flaw,
            ..Setup::default()
        })
    };
    let found = plans.iter().find(|plan| run(plan, flaw).is_err());
    let Some(plan) = found else {
        panic!("{flaw:?} was not found");
    };
    if let Err(fault) = run(plan, Flaw::None) {
        panic!("{plan:?} fails with every rule in force: {fault}");
    }
}

fn plan(seed: u64, faults: &[(u64, Fault)]) -> Plan {
    Plan {
        seed,
        unchecked: false,
        noise: (0, 0, 0),
        faults: faults.to_vec(),
    }
}

/// The same plan for several targets and grantors.
fn plans<F>(faults: F) -> Vec<Plan>
where
    F: Fn(usize) -> Vec<(u64, Fault)>,
{
    (0..18).map(|who| plan(1, &faults(who))).collect()
}

macro_rules! flaws {
    ($($name:ident: $flaw:ident, $plans:expr;)*) => {
        $(
            #[test]
            fn $name() {
                bites(Flaw::$flaw, &$plans);
            }
        )*
    };
}

flaws! {
    granting_without_a_word: WordIgnored,
        plans(|who| vec![(4000, Fault::Strand(who, 8000, 15))]);
    counting_reads_from_their_receipt: ReadLate,
        (0..120)
            .map(|who| Plan {
                noise: (0, 300, 0),
                ..plan(who as u64, &[
                    (4000, Fault::Strand(who % 6, 8000, 35)),
                    (4700 + 20 * (who / 6) as u64, Fault::Strand(who % 6, 8000, 47)),
                ])
            })
            .collect::<Vec<_>>();
    counting_words_from_their_receipt: WordLate,
        (0..54)
            .map(|who| Plan {
                noise: (0, 250, 0),
                ..plan(who as u64, &[(4000, Fault::Strand(who, 8000, 13))])
            })
            .collect::<Vec<_>>();
    releasing_before_the_strike_is_adopted: StrikeUnadopted,
        plans(|who| vec![
            (4000, Fault::Strand(who, 8000, 31)),
            (5000, Fault::Island(who, 7000)),
        ]);
    striking_twice_at_once: StrikeTwice,
        plans(|who| vec![
            (4000, Fault::Strand(who, 8000, 31)),
            (4000, Fault::Island(who, 7000)),
        ]);
    releasing_before_the_grant_lapses: NoWait,
        (0..60).map(|seed| plan(seed, &[(4000, Fault::MuteTarget(0, 5000))])).collect::<Vec<_>>();
    releasing_by_the_own_stop_alone: LoneStop,
        plans(|who| vec![(4000, Fault::CutDomain(who, 1000 + 30 * who as u64))]);
    withdrawing_without_asking: LoneWithdraw,
        plans(|who| vec![
            (4000, Fault::FreezeTarget(who, 1000)),
            (4100, Fault::Strand(who, 8000, 0)),
        ]);
    withdrawing_what_a_struck_one_was_told: StruckForgotten,
        [plan(1, &[
            (4000, Fault::FreezeTarget(1, 1000)),
            (4950, Fault::PauseVm(0, 5000)),
        ])];
    stopping_while_a_write_is_in_doubt: StopInDoubt,
        [plan(1, &[
            (4000, Fault::Swallow(1, 1500)),
            (4000, Fault::Leave(0)),
            (4050, Fault::KillTarget(1)),
            (4000, Fault::Dumb(0, 4000)),
        ])];
    keeping_the_epoch: EpochKept,
        [plan(1, &[(4000, Fault::KillTarget(0))])];
    taking_heirs_from_an_old_record: OldHeirs,
        (0..45)
            .map(|who| plan(1, &[
                (3750, Fault::KillTarget(0)),
                (4000, Fault::Dumb(who % 9, 9000)),
                (4020, Fault::Leave(1 + who / 9)),
            ]))
            .collect::<Vec<_>>();
    starting_a_new_grantor_unstopped: NewUnstopped,
        plans(|who| vec![(4000, Fault::Strand(who, 8000, 15))]);
    moving_without_confirmation: UnconfirmedMove,
        plans(|who| vec![(4000, Fault::Leave(who))]);
    granting_to_a_new_start_under_the_old_term: BootIgnored,
        [plan(3_211_353_840_496_823, &[(3000, Fault::RestartTarget(20))])];
    taking_a_target_back_while_a_chain_names_it: TermKept,
        [plan(3_415_207_295_432_737, &[(3000, Fault::RestartTarget(20))])];
}
