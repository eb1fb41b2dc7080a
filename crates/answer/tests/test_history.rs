//! History checks: what a caller has is what one version generated, without a gap or a repeat.

use std::time::Duration;

use celerypond_answer::Mode;
use rstest::rstest;

use crate::world::{Damage, Fault, World, CURRENT};

const LIMIT: usize = 200;

fn whole(world: &mut World) {
    world.run();
    let caller = &world.callers[0];
    let seed = world.seed;
    let end = (seed, &caller.finish, &caller.failure, caller.tokens.len());
    let log = world.log.join("\n");
    assert_eq!(world.fault(0), None, "{end:?}\n{log}");
    assert!(caller.finish.is_some(), "{end:?}\n{log}");
}

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

// The caller sees each token once, in order, whatever fails at whichever token: the engine that
// writes dies, its connection goes silent, it pauses and comes back with late frames, the instance
// dies or pauses, or two of these at once. Each fault comes some tokens after the one tried.
#[rstest]
#[case::engine_killed(&[(0, Fault::Kill(CURRENT))])]
#[case::two_engines_killed_in_a_row(&[(0, Fault::Kill(CURRENT)), (1, Fault::Kill(CURRENT))])]
#[case::connection_silent_while_new_ones_work(&[(0, Fault::Silence(CURRENT))])]
#[case::engine_paused_and_back_with_late_frames(&[(0, Fault::Pause(CURRENT, ms(400)))])]
#[case::engine_paused_for_a_moment(&[(0, Fault::Pause(CURRENT, ms(120)))])]
#[case::instance_killed(&[(0, Fault::KillRouter(CURRENT))])]
#[case::instance_paused_and_back(&[(0, Fault::PauseRouter(CURRENT, ms(150)))])]
#[case::engine_and_instance_killed_at_once(
    &[(0, Fault::Kill(CURRENT)), (0, Fault::KillRouter(CURRENT))]
)]
#[case::engine_killed_then_instance(
    &[(0, Fault::Kill(CURRENT)), (5, Fault::KillRouter(CURRENT))]
)]
#[case::engine_killed_then_instance_and_keepers(
    &[(0, Fault::Kill(CURRENT)), (5, Fault::KillRouter(CURRENT)), (5, Fault::LoseKeepers)]
)]
#[case::frame_lost(&[(0, Fault::Frame(Damage::Drop))])]
#[case::frame_repeated(&[(0, Fault::Frame(Damage::Double))])]
#[case::frame_of_another_request(&[(0, Fault::Frame(Damage::Cross))])]
#[case::frame_cut_short(&[(0, Fault::Frame(Damage::Garble))])]
#[case::frame_of_another_version(&[(0, Fault::Frame(Damage::Version))])]
#[case::other_token_at_the_same_position(&[(0, Fault::Frame(Damage::Token))])]
#[case::end_announced_too_early(&[(0, Fault::Frame(Damage::End))])]
fn answer_is_whole_whatever_fails_at_any_token(#[case] faults: &[(usize, Fault)]) {
    for at in 0..LIMIT {
        let mut world = World::new(3, 3, at as u64);
        for (later, fault) in faults {
            world.when(at + later, fault.clone());
        }
        world.call();
        whole(&mut world);
    }
}

// Any eight faults at any moments of one answer: the same checks.
#[rstest]
#[case::streamed(Mode::Streamed, false)]
#[case::streamed_to_a_caller_that_brings_its_tokens(Mode::Streamed, true)]
#[case::buffered(Mode::Buffered, false)]
fn answer_is_whole_under_random_faults(#[case] mode: Mode, #[case] brings: bool) {
    for seed in 0..1000 {
        let mut world = World::new(4, 3, seed);
        world.mode = mode;
        world.brings = brings;
        world.limit = 60;
        for _ in 0..8 {
            let (at, fault) = (world.moment(), world.draw());
            world.later(at, fault);
        }
        world.call();
        whole(&mut world);
    }
}
