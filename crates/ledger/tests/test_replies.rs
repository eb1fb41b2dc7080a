//! Conversion of platform errors to replies of the store.

use std::time::Duration;

use celerypond_ledger::WriteReply;
use celerypond_platform::{PlatformError, Version};
use rstest::rstest;

const WAIT: Duration = Duration::from_secs(1);

// Guards against an error that leaves open whether the write took effect but is reported as not
// applied. The shard would abandon the write and refuse its calls, although it could still find the
// batch in the log.
#[rstest]
#[case(Ok(Version(3)), WriteReply::Written(Version(3)))]
#[case(Err(PlatformError::Conflict), WriteReply::Conflict)]
#[case(Err(PlatformError::Down), WriteReply::NotApplied)]
#[case(Err(PlatformError::TooLarge), WriteReply::NotApplied)]
#[case(Err(PlatformError::Status(428)), WriteReply::NotApplied)]
#[case(Err(PlatformError::Status(500)), WriteReply::Ambiguous)]
#[case(Err(PlatformError::Ambiguous), WriteReply::Ambiguous)]
#[case(Err(PlatformError::Malformed), WriteReply::Ambiguous)]
#[case(Err(PlatformError::BudgetExhausted { retry_after: WAIT }), WriteReply::RateLimited { retry_after: WAIT })]
#[case(Err(PlatformError::RateLimited { retry_after: WAIT }), WriteReply::RateLimited { retry_after: WAIT })]
fn write_error_becomes_not_applied_only_if_it_proves_it(
    #[case] result: Result<Version, PlatformError>,
    #[case] reply: WriteReply,
) {
    assert_eq!(WriteReply::from(result), reply);
}
