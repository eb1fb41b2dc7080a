//! Lists of targets and of streams.

use std::time::Duration;

use celerypond_relay::{
    decode, encode, AttemptFailure, Bounds, Change, Config, Notice, PeerStreams, Placement,
    PlacementSchedule, Placements, TargetUpdate, Watchers,
};
use rstest::rstest;
use tokio::time::Instant;

use crate::fixture::{engine, key, three_data_centres, TOKENS};

/// How long entries may be missing after the store's return.
const BACK: Duration = Duration::from_millis(1_700);

fn origin(notice: Option<Notice>) -> Option<u64> {
    notice.map(|notice| notice.origin)
}

fn list(origin: u64, sequence: u64, targets: &[u64]) -> Placements {
    let stream = |target: &u64| Placement {
        target: *target,
        part: 100 + *target,
        tokens: 1_000,
        is_reading: true,
    };
    Placements {
        origin,
        sequence,
        streams: targets.iter().map(stream).collect(),
        ..Placements::default()
    }
}

/// Datagrams may be lost or overtake each other. The latest list holds, whatever came before.
#[test]
fn an_older_list_changes_nothing() {
    let now = Instant::now();
    let mut board = PeerStreams::default();
    board.merge(list(1, 2, &[7]), now);
    board.merge(list(1, 1, &[8]), now);
    assert_eq!(board.usage(now).keys().collect::<Vec<_>>(), [&7]);
}

/// An instance dies with streams open. Its engines must not look taken for ever.
#[test]
fn the_list_of_an_instance_that_fell_silent_is_dropped() {
    let now = Instant::now();
    let mut board = PeerStreams::default();
    board.merge(list(1, 1, &[7]), now);
    let later = now + Duration::from_secs(4);
    assert!(board.usage(later).is_empty());
    board.sweep(later);
    assert!(board.usage(now).is_empty());
}

#[test]
fn streams_of_several_instances_add_up() {
    let now = Instant::now();
    let mut board = PeerStreams::default();
    board.merge(list(1, 1, &[7, 8]), now);
    board.merge(list(2, 1, &[7]), now);
    let taken = board.usage(now)[&7];
    assert_eq!((taken.streams, taken.reading_tokens), (2, 2_000));
}

#[test]
fn the_engine_of_a_part_is_forgotten_after_a_while() {
    let now = Instant::now();
    let mut board = PeerStreams::default();
    board.merge(list(1, 1, &[7]), now);
    assert_eq!(board.holder(107, now), Some(7));
    assert_eq!(board.holder(107, now + Duration::from_secs(30)), None);
}

#[test]
fn a_whole_list_names_what_changed() {
    let mut targets = three_data_centres(1);
    let list = vec![
        engine("east", 0, 1),
        engine("mid", 0, 1),
        engine("mid", 1, 1),
    ];
    let changes = targets.replace(list, Instant::now());
    let expected = [
        Change::Gone(engine("west", 0, 1).name),
        Change::Is(engine("mid", 1, 1)),
    ];
    assert_eq!(changes, expected);
}

#[test]
fn a_stream_is_counted_until_it_is_removed() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    let at = key(&targets, "east-0-1");
    let stream = targets.add_stream(at, 5, TOKENS, now).unwrap();
    assert_eq!(targets.reading(at, now), TOKENS);
    targets.record_prompt_read(at, stream);
    assert_eq!(targets.reading(at, now), 0);
    assert_eq!(targets.get(at).unwrap().stream_tokens, TOKENS);
    targets.remove_stream(at, stream);
    targets.remove_stream(at, stream);
    assert_eq!(targets.get(at).unwrap().stream_tokens, 0);
    assert!(targets.placements(1, 1, None, now).streams.is_empty());
}

/// Another instance knows the targets up to a revision. It gets what changed since, or all when that
/// is not known any more.
#[test]
fn news_are_what_changed_since() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    assert!(targets.update_since(0, 3).is_whole);
    targets.record_full_list(3);
    let gone = engine("west", 0, 1).name;
    targets.record_change(4, &gone);
    targets.apply(&Change::Gone(gone.clone()), now);
    let new = engine("mid", 7, 1);
    targets.record_change(6, &new.name);
    targets.apply(&Change::Is(new.clone()), now);
    let news = targets.update_since(3, 6);
    assert!(!news.is_whole);
    assert_eq!((news.targets, news.gone), (vec![new], vec![gone]));
    let later = targets.update_since(4, 6);
    assert!(later.gone.is_empty());
    assert!(targets.update_since(2, 6).is_whole);
}

/// The engines of a data centre die and start again within two seconds, and all 71 instances follow a
/// watcher with a link of 10 Mbit/s. Told of each change, they would ask for megabytes and fill the link;
/// gathered, the notices, questions and answers take less than two thirds of it.
#[test]
fn a_watcher_gathers_changes_before_it_tells_of_them() {
    /// Notice, question and answer of one instance with their packets, and what each change adds.
    const BYTES: (usize, usize) = (700, 90);
    let (instances, changes, time) = (71, 120, Duration::from_millis(2_400));
    let gap = Watchers::notice_gap(instances);
    let notices = time.as_micros().div_ceil(gap.as_micros()) as usize;
    let bytes = instances * (notices.min(changes) * BYTES.0 + changes * BYTES.1);
    let link = time.as_millis() as usize * 1_250;
    assert!(bytes < link / 3 * 2, "{bytes} of {link}");
    assert!(Watchers::notice_gap(7) < Duration::from_millis(20));
    assert!(Watchers::notice_gap(100_000) < Duration::from_millis(300));
}

#[test]
fn news_are_read_as_they_were_written() {
    let targets = three_data_centres(1);
    let news = targets.update_since(0, 9);
    assert_eq!(decode::<TargetUpdate>(&encode(&news)).unwrap(), news);
    assert!(decode::<TargetUpdate>(b"{").is_err());
    let config = Config::default();
    assert_eq!(decode::<Config>(&encode(&config)).unwrap(), config);
}

/// A target's engine dies, and lists follow each other quickly. Each dead engine is told once at once,
/// and again with all else in the next whole list, by which a lost one is made good.
#[test]
fn what_was_told_is_not_told_again_at_once() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    let at = key(&targets, "east-0-1");
    targets
        .get_mut(at)
        .unwrap()
        .record_failure(AttemptFailure::Dead, now);
    targets.record_result(at, true, Duration::from_millis(50), now);
    let later = now + Duration::from_millis(1);
    assert_eq!(targets.placements(1, 1, Some(now), later).dead.len(), 1);
    let next = targets.placements(1, 2, Some(later), later);
    assert!(next.dead.is_empty() && next.tallies.is_empty());
    let whole = targets.placements(1, 3, None, later);
    assert_eq!((whole.dead.len(), whole.tallies.len()), (1, 1));
}

/// The engines of a data centre die, and the streams of an instance change each two milliseconds for a
/// second. Among 71 instances each list goes to 70, so they are gathered; among 7 they are hardly
/// late. A change after a quiet while is told at once.
#[rstest]
#[case::small(7, 100, 150, 8)]
#[case::grown(71, 12, 15, 1)]
#[case::large(900, 3, 5, 1)]
fn lists_are_gathered_where_many_get_them(
    #[case] instances: usize,
    #[case] least: usize,
    #[case] most: usize,
    #[case] whole: usize,
) {
    let start = Instant::now();
    let mut lists = PlacementSchedule::new(start);
    let (mut sent, mut wholes) = (0, 0);
    for step in 0..500 {
        let now = start + Duration::from_millis(2) * step;
        lists.has_changes = true;
        if lists.due(instances) <= now {
            sent += 1;
            wholes += usize::from(lists.record_sent(instances, now).is_none());
        }
    }
    assert!((least..=most).contains(&sent), "{sent}");
    assert!(
        (whole.saturating_sub(1)..=whole + 1).contains(&wholes),
        "{wholes}"
    );
    let quiet = start + Duration::from_secs(2);
    lists.has_changes = true;
    assert!(lists.due(instances) <= quiet);
}

/// Streams are placed anew when engines die. They wait for a part of the time in which a caller is still
/// served on time, and long enough to hear where others were placed.
#[test]
fn streams_are_placed_anew_over_a_time_in_which_lists_arrive() {
    let spread = PlacementSchedule::retry_spread;
    assert!((15..30).contains(&spread(7).as_millis()));
    assert!((140..250).contains(&spread(71).as_millis()));
    assert!(spread(900) <= Duration::from_millis(250));
}

/// A watcher of the store falls silent, or has no answer of the store any more. The others must find
/// out, and watch for themselves, before two seconds are over.
#[test]
fn a_watcher_that_hears_nothing_is_not_relied_on() {
    let now = Instant::now();
    let mut watchers = Watchers::new(Duration::from_millis(800));
    let notice = |age_ms| Notice {
        origin: 1,
        revision: 5,
        config: 2,
        config_revision: 5,
        config_age_ms: Some(10),
        targets_age_ms: Some(10),
        is_superseded: false,
        age_ms,
    };
    watchers.record(notice(850), now);
    assert!(!watchers.must_watch(false, now));
    assert!(watchers.must_watch(true, now));
    assert!(watchers.must_watch(false, now + Duration::from_millis(300)));
    watchers.record(notice(1_200), now);
    assert!(watchers.must_watch(false, now));
    assert_eq!(watchers.newer(0, now), None);
}

/// A watcher says that targets have changed, and is cut off before it is asked. The other watcher is
/// asked next, and where there is none, the store.
#[test]
fn a_watcher_that_does_not_answer_is_not_waited_for() {
    let now = Instant::now();
    let mut watchers = Watchers::new(Duration::from_millis(800));
    for (origin, revision) in [(1, 9), (2, 8)] {
        let notice = Notice {
            origin,
            revision,
            config: 5,
            config_revision: 4,
            config_age_ms: Some(10),
            targets_age_ms: Some(10),
            is_superseded: false,
            age_ms: 10,
        };
        watchers.record(notice, now);
    }
    assert_eq!(origin(watchers.newer(7, now)), Some(1));
    watchers.forget(1);
    assert_eq!(origin(watchers.newer(7, now)), Some(2));
    watchers.forget(2);
    assert_eq!(watchers.newer(7, now), None);
    assert!(watchers.must_watch(false, now));
}

#[test]
fn only_whoever_knows_more_is_asked() {
    let now = Instant::now();
    let mut watchers = Watchers::new(Duration::from_millis(800));
    for (origin, revision) in [(1, 5), (2, 7), (3, 4)] {
        let notice = Notice {
            origin,
            revision,
            config: 2,
            config_revision: 4,
            config_age_ms: Some(10),
            targets_age_ms: Some(10),
            is_superseded: false,
            age_ms: 10,
        };
        watchers.record(notice, now);
    }
    assert_eq!(origin(watchers.newer(4, now)), Some(2));
    assert_eq!(origin(watchers.newer(6, now)), Some(2));
    assert_eq!(watchers.newer(7, now), None);
}

/// The store was away for long and comes back with an empty list, as all entries have lapsed. The
/// targets live and write their entries again within two seconds; until then requests go on. The
/// one that does not come back is gone.
#[test]
fn entries_that_lapsed_with_the_store_have_time_to_come_back() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    targets.await_entries(BACK, now);
    assert!(targets.replace(Vec::new(), now).is_empty());
    assert_eq!(targets.len(), 3);
    let soon = now + Duration::from_secs(1);
    targets.apply(&Change::Is(engine("east", 0, 1)), soon);
    targets.apply(&Change::Gone(engine("mid", 0, 1).name), soon);
    assert!(targets.drop_missing(soon).is_empty());
    let later = now + Duration::from_secs(2);
    let mut gone = targets.drop_missing(later);
    gone.sort();
    assert_eq!(gone, [engine("mid", 0, 1).name, engine("west", 0, 1).name]);
    assert_eq!(targets.len(), 1);
    // From then on a removal holds at once.
    targets.apply(&Change::Gone(engine("east", 0, 1).name), later);
    assert!(targets.is_empty());
}

/// The store was away for this instance alone. A second and a half after its return a target leaves
/// by removing its entry. It must not be used two seconds later, as it would be if the time to come
/// back began with the removal.
#[test]
fn an_entry_that_is_removed_after_the_return_is_not_kept_for_longer() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    targets.await_entries(BACK, now);
    let removed = now + Duration::from_millis(1_500);
    let east = engine("east", 0, 1).name;
    targets.apply(&Change::Gone(east.clone()), removed);
    let later = now + Duration::from_secs(2);
    assert_eq!(targets.drop_missing(later), [east]);
}

/// A deployment obeys leaving targets within half a second. A silent watch must be found out sooner
/// there, and missing entries have less time.
#[test]
fn waits_follow_the_bounds_of_the_deployment() {
    let strict = Bounds {
        drain: Duration::from_millis(500),
        ..Bounds::default()
    };
    assert_eq!(strict.watch_wait(), Duration::from_millis(200));
    assert!(strict.missing_entry_grace() < strict.drain);
    assert_eq!(Bounds::default().missing_entry_grace(), BACK);
    let loose = Bounds {
        drain: Duration::from_secs(60),
        config_apply: Duration::from_secs(17),
        ..Bounds::default()
    };
    assert_eq!(loose.watch_wait(), Duration::from_secs(2));
    assert_eq!(loose.missing_entry_grace(), Duration::from_secs(2));
}
