//! Lists of targets and of streams.

use std::time::Duration;

use celerypond_relay::{Board, Change, Config, Placement, Placements, Snapshot};
use tokio::time::Instant;

use crate::fixture::{engine, key, three_data_centres, TOKENS};

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
    let mut board = Board::default();
    board.hear(list(1, 2, &[7]), now);
    board.hear(list(1, 1, &[8]), now);
    assert_eq!(board.taken(now).keys().collect::<Vec<_>>(), [&7]);
}

/// An instance dies with streams open. Its engines must not look taken for ever.
#[test]
fn the_list_of_an_instance_that_fell_silent_is_dropped() {
    let now = Instant::now();
    let mut board = Board::default();
    board.hear(list(1, 1, &[7]), now);
    let later = now + Duration::from_secs(4);
    assert!(board.taken(later).is_empty());
    board.sweep(later);
    assert!(board.taken(now).is_empty());
}

#[test]
fn streams_of_several_instances_add_up() {
    let now = Instant::now();
    let mut board = Board::default();
    board.hear(list(1, 1, &[7, 8]), now);
    board.hear(list(2, 1, &[7]), now);
    let taken = board.taken(now)[&7];
    assert_eq!((taken.streams, taken.reading), (2, 2_000));
}

#[test]
fn the_engine_of_a_part_is_forgotten_after_a_while() {
    let now = Instant::now();
    let mut board = Board::default();
    board.hear(list(1, 1, &[7]), now);
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
    targets.stream_read(at, stream);
    assert_eq!(targets.reading(at, now), 0);
    assert_eq!(targets.get(at).unwrap().tokens, TOKENS);
    targets.remove_stream(at, stream);
    targets.remove_stream(at, stream);
    assert_eq!(targets.get(at).unwrap().tokens, 0);
    assert!(targets.placements(1, 1, now).streams.is_empty());
}

#[test]
fn a_snapshot_is_read_as_it_was_written() {
    let snapshot = Snapshot {
        config: Config {
            version: 4,
            ..Config::default()
        },
        targets: vec![engine("east", 0, 1)],
        revision: 9,
        versions: Vec::new(),
    };
    let read = Snapshot::decode(&snapshot.encode()).unwrap();
    assert_eq!(read.config, snapshot.config);
    assert_eq!(read.targets, snapshot.targets);
    assert!(Snapshot::decode(b"{").is_err());
}

/// The store was away for long and comes back with an empty list, as all entries have lapsed. The
/// targets live and write their entries again within two seconds; until then requests go on. The
/// one that does not come back is gone.
#[test]
fn entries_that_lapsed_with_the_store_have_time_to_come_back() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    targets.await_entries(now);
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
    targets.await_entries(now);
    let removed = now + Duration::from_millis(1_500);
    let east = engine("east", 0, 1).name;
    targets.apply(&Change::Gone(east.clone()), removed);
    let later = now + Duration::from_secs(2);
    assert_eq!(targets.drop_missing(later), [east]);
}
