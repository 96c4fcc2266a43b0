//! Parsing and formatting of trace contexts.

use ebonypass_node::trace::Context;
use test_case::test_case;

const VALID: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

/// A parsed context is written in the same form, so that other tracers can read it; a child keeps
/// the trace id.
#[test]
fn round_trip() {
    let context: Context = VALID.parse().expect("context");
    assert_eq!(context.to_string(), VALID);
    assert!(context.is_sampled());
    let child = context.child().to_string();
    assert_eq!(child[..36], VALID[..36]);
    assert_ne!(child, VALID);
}

/// A malformed header starts a new trace and is not passed on.
#[test_case(""; "empty")]
#[test_case("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331"; "short")]
#[test_case("01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"; "version")]
#[test_case("00-00000000000000000000000000000000-b7ad6b7169203331-01"; "zero trace")]
#[test_case("00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01"; "zero span")]
#[test_case("00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"; "upper case")]
#[test_case("00-0af7651916cd43dd8448eb211c80319c+b7ad6b7169203331-01"; "separator")]
#[test_case("00-0af7651916cd43dd8448eb211c8031é9-b7ad6b7169203331-01"; "not ascii")]
fn malformed(text: &str) {
    assert!(text.parse::<Context>().is_err());
    assert_ne!(Context::from_header(Some(text)).to_string(), text);
}

proptest::proptest! {
    /// Arbitrary text gives a context or an error, never a panic.
    #[test]
    fn arbitrary_text(text in ".{0,60}") {
        let _ = text.parse::<Context>();
    }
}
