//! Trace contexts.

use ebonypass_node::trace::Context;
use test_case::test_case;

const GOOD: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

/// Guards against a context that other tracers cannot read.
#[test]
fn round_trip() {
    let context: Context = GOOD.parse().expect("context");
    assert_eq!(context.to_string(), GOOD);
    assert!(context.is_sampled());
    let child = context.child().to_string();
    assert_eq!(child[..36], GOOD[..36]);
    assert_ne!(child, GOOD);
}

/// A malformed header starts a new trace instead of spreading.
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
