//! Where requests run.

use std::{collections::HashMap, time::Duration};

use celerypond_relay::{
    Change, Load, PlacementKey, SilenceLimits, TargetEntry, TargetQuery, Targets, VersionChoice,
};
use celerypond_types::{TargetKey, TargetName};
use tokio::time::Instant;

use crate::fixture::{engine, key, three_data_centres, Wanted, TOKENS};

/// Replays streams that arrive at several instances, and returns the most prompts that were read at
/// one engine at a time. A prompt takes `reading` to be read.
fn most_readings(instances: usize, gap: Duration, reading: Duration, tells: bool) -> usize {
    let begin = Instant::now();
    let mut all: Vec<Targets> = (0..instances).map(|_| three_data_centres(4)).collect();
    let wanted = Wanted::new();
    let mut open: Vec<(Instant, usize, TargetKey, PlacementKey)> = Vec::new();
    let mut most = 0;
    for n in 0..200_u32 {
        let now = begin + gap * n;
        let at = n as usize % instances;
        open.retain(|(until, instance, key, stream)| {
            let is_over = *until <= now;
            if is_over {
                all[*instance].remove_stream(*key, *stream);
            }
            !is_over
        });
        if tells {
            tell(&mut all, u64::from(n) + 1, now);
        }
        let part = u64::from(n) * 7_919;
        let key = all[at].select(&wanted.stream(part), now).unwrap().key;
        let stream = all[at].add_stream(key, part, TOKENS, now).unwrap();
        open.push((now + reading, at, key, stream));
        let mut counts: HashMap<TargetKey, usize> = HashMap::new();
        for (_, _, key, _) in &open {
            *counts.entry(*key).or_default() += 1;
        }
        most = most.max(counts.values().copied().max().unwrap());
    }
    most
}

fn tell(all: &mut [Targets], sequence: u64, now: Instant) {
    let lists: Vec<_> = all
        .iter()
        .enumerate()
        .map(|(origin, targets)| targets.placements(origin as u64, sequence, None, now))
        .collect();
    for (origin, targets) in all.iter_mut().enumerate() {
        let others = lists.iter().filter(|list| list.origin != origin as u64);
        others.for_each(|list| targets.merge_placements(list.clone(), now));
    }
}

/// Seven instances place streams at twelve engines, six prompts being read at any time. Each by its
/// own counts alone lets prompts meet at one engine while others are idle; by the lists of all, no
/// engine reads two.
#[test]
fn instances_that_tell_each_other_read_one_prompt_an_engine() {
    let (gap, reading) = (Duration::from_millis(200), Duration::from_millis(1_200));
    assert!(most_readings(7, gap, reading, false) >= 3);
    assert_eq!(most_readings(7, gap, reading, true), 1);
}

/// The same at twice the load that the engines can read: all are used alike, none is left idle.
#[test]
fn beyond_what_engines_can_read_the_load_is_even() {
    let (gap, reading) = (Duration::from_millis(100), Duration::from_millis(2_400));
    assert_eq!(most_readings(7, gap, reading, true), 2);
}

/// An instance dies, and its caller comes to another one with the same prompt. The engine that has
/// read it is asked, though others are idle.
#[test]
fn a_retry_goes_to_the_engine_that_has_read_its_prompt() {
    let now = Instant::now();
    let mut first = three_data_centres(4);
    let mut second = three_data_centres(4);
    let wanted = Wanted::new();
    for part in 0..40 {
        let read_at = key(&first, &format!("mid-{}-1", part % 4));
        first.add_stream(read_at, part, 100, now).unwrap();
    }
    second.merge_placements(first.placements(1, 1, None, now), now);
    let later = now + Duration::from_secs(5);
    for part in 0..40 {
        let at = second.select(&wanted.stream(part), later).unwrap().key;
        assert_eq!(at, key(&second, &format!("mid-{}-1", part % 4)));
    }
}

/// All instances lose their power and know nothing of before. The order by which prompts go to
/// engines is the same for all, so most callers meet the engine that has read theirs.
#[test]
fn instances_that_know_nothing_prefer_the_same_engines() {
    let now = Instant::now();
    let (first, second) = (three_data_centres(4), three_data_centres(4));
    let wanted = Wanted::new();
    for part in 0..40 {
        let one = first.select(&wanted.stream(part), now).unwrap().key;
        let two = second.select(&wanted.stream(part), now).unwrap().key;
        assert_eq!(one, two);
    }
}

/// All engines were lost, and one is back before the others. It gets as many prompts as it can read
/// while their callers wait; the rest waits for the other engines.
#[test]
fn the_first_engine_that_returns_does_not_get_all() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    for name in ["mid-0-1", "west-0-1"] {
        targets.apply(&Change::Gone(TargetName::new(name)), now);
    }
    let wanted = Wanted::new();
    let want = |part| TargetQuery {
        max_backlog: Some(SilenceLimits::max_backlog(Duration::from_millis(4_500))),
        ..wanted.stream(part)
    };
    let mut placed = 0;
    for part in 0..50 {
        if let Some(pick) = targets.select(&want(part), now) {
            targets.add_stream(pick.key, part, TOKENS, now).unwrap();
            placed += 1;
        }
    }
    assert_eq!(placed, 6);
}

/// An engine's memory is nearly taken. A further stream would have a running one preempted.
#[test]
fn a_stream_goes_where_there_is_memory() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    for name in ["east-0-1", "mid-0-1"] {
        let at = key(&targets, name);
        for part in 0..6 {
            let stream = targets.add_stream(at, part, TOKENS, now).unwrap();
            targets.record_prompt_read(at, stream);
        }
    }
    let wanted = Wanted::new();
    for part in 100..140 {
        let at = targets.select(&wanted.stream(part), now).unwrap().key;
        assert_eq!(at, key(&targets, "west-0-1"));
    }
}

#[test]
fn a_request_goes_to_the_least_loaded_target_and_then_to_the_nearest() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    let wanted = Wanted::new();
    let east = key(&targets, "east-0-1");
    let pick = |targets: &Targets| targets.select(&wanted.request(&[]), now).unwrap().key;
    assert_eq!(pick(&targets), east);
    let busy = Load {
        running: 40,
        waiting: 0,
        slots: 64,
    };
    targets
        .get_mut(east)
        .unwrap()
        .record_response(Some(busy), now);
    assert_ne!(pick(&targets), east);
}

/// Targets in other data centres are equally idle. Requests that come one by one must not all go to
/// the first of them.
#[test]
fn equal_targets_share_requests() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    targets.apply(&Change::Gone(TargetName::new("east-0-1")), Instant::now());
    let wanted = Wanted::new();
    let mut counts: HashMap<TargetKey, usize> = HashMap::new();
    for lot in 0..100 {
        let want = TargetQuery {
            tie_breaker: lot,
            ..wanted.request(&[])
        };
        let key = targets.select(&want, now).unwrap().key;
        *counts.entry(key).or_default() += 1;
    }
    assert_eq!(counts.len(), 2);
    assert!(counts.values().all(|count| *count > 30), "{counts:?}");
}

#[test]
fn a_target_that_was_tried_is_not_chosen_again() {
    let now = Instant::now();
    let targets = three_data_centres(1);
    let all: Vec<TargetKey> = targets.iter().map(|(key, _)| key).collect();
    let wanted = Wanted::new();
    assert!(targets.select(&wanted.request(&all[..2]), now).is_some());
    assert!(targets.select(&wanted.request(&all), now).is_none());
}

/// Operators start targets of another version, and order it a moment later. Until the order is known it
/// gets nothing; where nobody orders it, it serves like the others after a while. A service that begins
/// with it waits for nothing.
#[test]
fn a_version_that_comes_beside_others_waits_for_its_order() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    let new = TargetEntry {
        version: "v2".into(),
        ..engine("east", 9, 2)
    };
    targets.apply(&Change::Is(new), now);
    let new = key(&targets, "east-9-2");
    let wanted = Wanted::new();
    let gets = |targets: &Targets, at| {
        let mut picks = (0..60).map(|part| targets.select(&wanted.stream(part), at).unwrap().key);
        picks.any(|key| key == new)
    };
    assert!(!gets(&targets, now));
    assert!(gets(&targets, now + Duration::from_secs(4)));
    let choice = VersionChoice::Only("v2".into());
    let ordered = TargetQuery {
        choice: &choice,
        ..wanted.stream(1)
    };
    assert_eq!(targets.select(&ordered, now).unwrap().key, new);
}

/// All targets failed a moment ago. Refusing everything would be worse than asking the one whose
/// time is over first.
#[test]
fn when_all_targets_are_avoided_one_is_asked_all_the_same() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    let keys: Vec<TargetKey> = targets.iter().map(|(key, _)| key).collect();
    for key in &keys {
        let target = targets.get_mut(*key).unwrap();
        target.record_failure(celerypond_relay::AttemptFailure::Dead, now);
    }
    let pick = targets.select(&Wanted::new().request(&[]), now).unwrap();
    assert!(pick.is_doubtful);
}

/// A data centre's engines die, and 32 instances place a stream anew each before they hear of each other. One
/// engine runs nothing, the others one or two streams. If all chose the least loaded of all engines, all
/// prompts would meet there, and the last one would be read after half a minute.
#[test]
fn streams_that_are_placed_at_once_do_not_all_meet_at_the_idle_engine() {
    let now = Instant::now();
    let wanted = Wanted::new();
    let mut met: HashMap<TargetKey, usize> = HashMap::new();
    for instance in 0..32_u64 {
        let mut targets = three_data_centres(40);
        let all: Vec<TargetKey> = targets.iter().map(|(key, _)| key).collect();
        for (n, key) in all.iter().enumerate().skip(1) {
            for part in 0..=(n as u64 % 2) {
                let stream = targets.add_stream(*key, part, TOKENS, now).unwrap();
                targets.record_prompt_read(*key, stream);
                targets.get_mut(*key).unwrap().open_requests += 1;
            }
        }
        let part = 1_000_003 * (instance + 1);
        let pick = targets.select(&wanted.stream(part), now).unwrap();
        *met.entry(pick.key).or_default() += 1;
    }
    let most = met.values().max().unwrap();
    assert!(*most <= 6, "{most} prompts meet");
}
