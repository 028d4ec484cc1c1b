//! Which hosts become schedulers, and which scheduler a gateway chooses.

use std::{net::SocketAddr, sync::Arc};

use tokio::time::{Duration, sleep};

use crate::{
    entry::RouteLimits,
    gateway::{
        SchedulerDirectory, SchedulerEntry,
        role_policy::{candidate_delay, has_owners, is_region_short, should_schedule},
    },
};

fn scheduler(number: u16, region: &str) -> SchedulerEntry {
    SchedulerEntry {
        host: format!("host-{number}").into(),
        address: address(number),
        region: region.into(),
        is_draining: false,
        lost_services: Arc::default(),
        processor_millis: 1_000,
    }
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn schedulers(count: u16, region: &str) -> Vec<SchedulerEntry> {
    (1..=count).map(|number| scheduler(number, region)).collect()
}

#[test]
fn candidate_delay_lets_larger_hosts_go_first() {
    let delays = [0.5, 0.25, 0.12].map(|share| candidate_delay(share, 0.0));
    assert!(delays.is_sorted() && delays[0] < delays[2], "{delays:?}");
    let earliest = candidate_delay(0.12, 0.0);
    let latest = candidate_delay(0.12, 1.0);
    assert!(latest >= earliest + Duration::from_millis(300), "hosts start within 0.3 s");
}

#[test]
fn should_schedule_fills_each_region() {
    let full = schedulers(6, "north");
    assert!(should_schedule("host-9", "north", &full[..5]));
    assert!(!should_schedule("host-9", "north", &full));
    assert!(should_schedule("host-9", "south", &full), "the other region has none");
    assert!(should_schedule("host-3", "north", &full), "a restarted scheduler stays one");

    let mut draining = full;
    draining[0].is_draining = true;
    assert!(should_schedule("host-9", "north", &draining));
}

#[test]
fn is_region_short_without_enough_schedulers() {
    let few = schedulers(2, "north");
    assert!(!is_region_short("north", &few));
    assert!(is_region_short("north", &few[..1]));
    assert!(is_region_short("south", &few));
    assert!(!has_owners(3) && has_owners(6));
}

#[test]
fn candidates_of_a_program_are_the_same_on_all_hosts() {
    let mut listed = schedulers(6, "north");
    listed.extend((7..=12).map(|number| scheduler(number, "south")));
    let directory = SchedulerDirectory::new("north".into());
    directory.set_schedulers(listed.clone());
    listed.reverse();
    let other = SchedulerDirectory::new("north".into());
    other.set_schedulers(listed);

    for program in ["a", "b", "c", "d"] {
        let candidates = directory.candidates(program, None);
        assert_eq!(candidates, other.candidates(program, None));
        assert!(candidates[..6].iter().all(|it| &*it.region == "north"), "{candidates:?}");
    }
}

#[test]
fn candidates_keep_owner_of_programs_when_another_scheduler_is_lost() {
    let directory = SchedulerDirectory::new("north".into());
    directory.set_schedulers(schedulers(6, "north"));
    let owner_of = |program: &str| directory.candidates(program, None)[0].clone();
    let programs: Vec<String> = (0..200).map(|it| it.to_string()).collect();
    let before: Vec<SchedulerEntry> = programs.iter().map(|it| owner_of(it)).collect();
    directory.mark_suspect(address(1));

    for (program, old_owner) in programs.iter().zip(&before) {
        let owner = owner_of(program);
        if old_owner.address == address(1) {
            assert_ne!(owner.address, address(1));
        } else {
            assert_eq!(owner, *old_owner);
        }
    }

    directory.mark_responsive(address(1));
    let after: Vec<SchedulerEntry> = programs.iter().map(|it| owner_of(it)).collect();
    assert_eq!(after, before);
    let owned = before.iter().filter(|it| it.address == address(1)).count();
    assert!((10..70).contains(&owned), "one of six owns {owned} of 200 programs");
}

#[tokio::test(start_paused = true)]
async fn directory_never_goes_back_to_an_older_configuration() {
    let directory = SchedulerDirectory::new("north".into());
    assert!(!directory.is_in_contact());
    let limits = RouteLimits { max_body_bytes: 7, ..RouteLimits::default() };
    directory.record_contact(5, limits);
    directory.record_contact(4, RouteLimits::default());
    assert_eq!((directory.config_version(), directory.limits()), (5, limits));
    directory.record_config_version(6);
    assert_eq!(directory.config_version(), 6);
    assert!(directory.is_in_contact());
    sleep(Duration::from_secs(3)).await;
    assert!(!directory.is_in_contact());
}

/// Part of 2,000 programs whose first candidate the condition holds for.
fn first_part(
    directory: &SchedulerDirectory,
    service: Option<&str>,
    holds: impl Fn(&SchedulerEntry) -> bool,
) -> f64 {
    let first = |program: u32| directory.candidates(&program.to_string(), service)[0].clone();
    let count = (0..2_000).filter(|program| holds(&first(*program))).count();
    count as f64 / 2_000.0
}

#[test]
fn candidates_are_shared_out_by_processor_time() {
    let directory = SchedulerDirectory::new("north".into());
    let mut listed = schedulers(4, "north");
    listed[0].processor_millis = 500;
    listed[1..].iter_mut().for_each(|it| it.processor_millis = 125);
    let large = listed[0].address;
    directory.set_schedulers(listed);
    // 500 of 875 parts.
    let part = first_part(&directory, None, |it| it.address == large);
    assert!((0.52..0.62).contains(&part), "{part} of the programs");
}

/// Six schedulers of each of two regions, of which the first `lost_count` of the north have lost a service.
fn directory_with_losses(lost_count: usize) -> SchedulerDirectory {
    let directory = SchedulerDirectory::new("north".into());
    let mut listed = schedulers(6, "north");
    for scheduler in &mut listed[..lost_count] {
        scheduler.lost_services = Arc::new([Arc::from("model")].into());
    }
    listed.extend((11..17).map(|number| scheduler(number, "south")));
    directory.set_schedulers(listed);
    directory
}

#[test]
fn candidates_pass_over_schedulers_that_have_lost_the_service() {
    let directory = directory_with_losses(2);
    let has_lost = |it: &SchedulerEntry| !it.lost_services.is_empty();

    for service in [None, Some("model")] {
        let lost_part = first_part(&directory, service, has_lost);
        assert!(lost_part <= 0.0, "{lost_part} of the programs, for {service:?}");
        let local_part = first_part(&directory, service, |it| &*it.region == "north");
        assert!(local_part >= 1.0, "{local_part} of the programs, for {service:?}");
    }
    let part = first_part(&directory, Some("tool"), has_lost);
    assert!(part > 0.2, "they serve what they reach: {part}");

    let owner = directory.candidates("program", Some("model"))[0].clone();
    directory.mark_out_of_reach(owner.address);
    assert_ne!(directory.candidates("program", Some("model"))[0], owner, "it has declined");
}

#[test]
fn candidates_of_a_region_that_has_mostly_lost_the_service_include_other_regions() {
    let directory = directory_with_losses(4);
    let part = first_part(&directory, Some("model"), |it| &*it.region == "south");
    assert!((0.65..0.85).contains(&part), "six of eight: {part}");
    let candidates = directory.candidates_in_reach("program", "model", "host-5");
    assert_eq!(candidates.len(), 7, "all that reach it, but this one");
}
