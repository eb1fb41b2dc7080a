//! Tests for parsing invalid `traceparent` headers and headers of later versions.

use celerypond_telemetry::{TraceContext, TraceContextError as E};
use rstest::rstest;

const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const SPAN: &str = "00f067aa0ba902b7";

#[rstest]
#[case::short("00-1-2-01".into(), E::Length(9))]
#[case::long_for_version_0(format!("00-{TRACE}-{SPAN}-01-x"), E::Length(57))]
#[case::upper_case(format!("00-{}-{SPAN}-01", TRACE.to_uppercase()), E::Digit(3))]
#[case::separator(format!("00-{TRACE}+{SPAN}-01"), E::Separator(35))]
#[case::reserved_version(format!("ff-{TRACE}-{SPAN}-01"), E::Version)]
#[case::zero_span(format!("00-{TRACE}-0000000000000000-01"), E::Zero)]
#[case::not_ascii(format!("00-{}é-{SPAN}-01", &TRACE[2..]), E::Digit(3))]
fn invalid_header_is_rejected(#[case] text: String, #[case] error: E) {
    assert_eq!(text.parse::<TraceContext>(), Err(error));
}

#[test]
fn later_version_may_append_fields() {
    let context: TraceContext = format!("01-{TRACE}-{SPAN}-00-x").parse().unwrap();
    assert!(!context.sampled);
    assert_eq!(context.to_string(), format!("00-{TRACE}-{SPAN}-00"));
}
