//! Errors of the platform as replies to a shard.

use std::time::Duration;

use celerypond_ledger::WriteReply;
use celerypond_platform::{PlatformError, Version};
use rstest::rstest;

const WAIT: Duration = Duration::from_secs(1);

// A write whose error does not prove that it had no effect must reach the shard as ambiguous. As
// "down" it would be given up, and the calls in it refused, though the shard could still find it.
#[rstest]
#[case(Ok(Version(3)), WriteReply::Written(Version(3)))]
#[case(Err(PlatformError::Conflict), WriteReply::Conflict)]
#[case(Err(PlatformError::Down), WriteReply::NotApplied)]
#[case(Err(PlatformError::TooLarge), WriteReply::NotApplied)]
#[case(Err(PlatformError::Status(428)), WriteReply::NotApplied)]
#[case(Err(PlatformError::Status(500)), WriteReply::Ambiguous)]
#[case(Err(PlatformError::Ambiguous), WriteReply::Ambiguous)]
#[case(Err(PlatformError::Malformed), WriteReply::Ambiguous)]
#[case(Err(PlatformError::OverBudget { retry_after: WAIT }), WriteReply::RateLimited { retry_after: WAIT })]
#[case(Err(PlatformError::RateLimited { retry_after: WAIT }), WriteReply::RateLimited { retry_after: WAIT })]
fn an_error_says_no_more_than_it_proves(
    #[case] result: Result<Version, PlatformError>,
    #[case] reply: WriteReply,
) {
    assert_eq!(WriteReply::from(result), reply);
}
