//! The checker bites: each rule that is left out is found by a run that passes with it.

mod model;

use bramleypier::grantor::flaw::Flaw;
use model::{Fault, Plan, Setup};

/// Runs the plans with the rule left out, and then in force.
fn bites(flaw: Flaw, plans: &[Plan]) {
    let run = |plan: &Plan, flaw: Flaw| {
        plan.run(Setup {
            flaw,
            stagger: true,
            ..Setup::default()
        })
    };
    let found = plans.iter().find(|plan| run(plan, flaw).is_err());
    let Some(plan) = found else {
        panic!("{flaw:?} was not found");
    };
    println!("{flaw:?} is found by {plan:?}");
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

/// The same under messages that are late, a number of them in thousands.
fn late(noise: u32, plan: Plan) -> Plan {
    Plan {
        noise: (0, noise, 0),
        ..plan
    }
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
    granting_without_a_word: NoPermission,
        [plan(1, &[(4000, Fault::Strand(17, 8000, 15))])];
    counting_words_from_their_receipt: PermissionFromReceipt,
        [late(250, plan(20, &[(4000, Fault::Strand(20, 8000, 13))]))];
    releasing_before_the_strike_is_adopted: ReplacementUnconfirmed,
        [plan(1, &[
            (4000, Fault::Strand(17, 8000, 31)),
            (5000, Fault::Island(17, 7000)),
        ])];
    striking_twice_at_once: ConcurrentReplacements,
        [plan(1, &[
            (4000, Fault::Strand(0, 8000, 31)),
            (4000, Fault::Island(0, 7000)),
        ])];
    releasing_before_the_grant_lapses: ReleaseNoWait,
        [plan(0, &[(4000, Fault::MuteTarget(0, 5000))])];
    releasing_by_the_own_stop_alone: ReleaseOnOwnStop,
        [plan(1, &[(4000, Fault::CutDomain(8, 1240))])];
    withdrawing_without_asking: WithdrawUnconfirmed,
        [plan(1, &[
            (4000, Fault::FreezeTarget(0, 1000)),
            (4100, Fault::Strand(0, 8000, 0)),
        ])];
    stopping_while_a_write_is_in_doubt: StopDuringWrite,
        [plan(1, &[
            (4000, Fault::Swallow(1, 1500)),
            (4000, Fault::Leave(0)),
            (4050, Fault::KillTarget(1)),
            (4000, Fault::Dumb(0, 4000)),
        ])];
    keeping_the_epoch: EpochUnchanged,
        [plan(1, &[(4000, Fault::KillTarget(0))])];
    taking_heirs_from_an_old_record: OutdatedSuccessors,
        [plan(1, &[
            (3750, Fault::KillTarget(0)),
            (4000, Fault::Dumb(2, 9000)),
            (4020, Fault::Leave(1)),
        ])];
    starting_a_new_grantor_unstopped: NewGrantorUnstopped,
        [plan(1, &[(4000, Fault::Strand(0, 8000, 15))])];
    moving_without_confirmation: UnconfirmedMove,
        [plan(1, &[(4000, Fault::Leave(0))])];
    granting_to_a_new_start_under_the_old_term: BootIgnored,
        [plan(3_211_353_840_496_823, &[(3000, Fault::RestartTarget(20))])];
    taking_a_target_back_while_a_chain_names_it: TermUnchanged,
        [plan(3_415_207_295_432_737, &[(3000, Fault::RestartTarget(20))])];
}
