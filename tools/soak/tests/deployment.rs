//! Plans in the shape of a deployment: the same seeds give the same steps.

use std::time::Duration;

use bramleypier_soak::{
    deployment,
    plan::{DeploymentFault, Fault, Plan, Shape, Size},
    proxy::Spoiling,
};

const SIZE: Size = Size {
    vms: deployment::VMS,
    seconds: 32,
};

/// Guards against a change of the plans that hides what a seed has shown.
#[test]
fn the_seed_with_cut_misdirections_keeps_them() {
    let plan = Plan::generate_like_deployment(7, SIZE);
    let fault = Fault::from(DeploymentFault::Spoil(
        "plain",
        Spoiling::CutMisdirection,
        6,
    ));
    let step = plan.steps.iter().find(|it| it.fault == fault).unwrap();
    assert_eq!(step.at, Duration::from_millis(18_592));
    assert_eq!(plan.shape, Shape::Deployment);
}

#[test]
fn every_trouble_comes_in_some_plan() {
    let faults: Vec<Fault> = (1..100)
        .flat_map(|seed| Plan::generate_like_deployment(seed, SIZE).steps)
        .map(|step| step.fault)
        .collect();
    for spoiling in Spoiling::ALL {
        let is_it = |fault: &Fault| matches!(fault, Fault::OfDeployment(DeploymentFault::Spoil(_, it, _)) if *it == spoiling);
        assert!(faults.iter().any(is_it), "{spoiling:?}");
    }
    let added = |it: &&Fault| matches!(it, Fault::OfDeployment(DeploymentFault::Add(_)));
    assert!(faults.iter().filter(added).count() >= deployment::SPARE_VMS);
}
