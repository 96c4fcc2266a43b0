//! Frames between entries.

use ebonypass_core::credit;
use ebonypass_core::outcome::Reason;
use ebonypass_core::time::Span;
use ebonypass_node::wire::{Error, Forward, Frame, MAX_FRAME, Outcome, decode, encode, read};
use test_case::test_case;

fn forward() -> Frame {
    Frame::Forward(Forward {
        member: "windelrunde".to_owned(),
        service: "rounds".to_owned(),
        kind: "lookup".to_owned(),
        left: Span::from_millis(500),
        trace: String::new(),
        content_type: None,
        length: 7,
        is_remote: false,
        is_visit: true,
    })
}

fn need(len: usize) -> Frame {
    Frame::Need(credit::Request { round: 1, service: "x".repeat(len), count: 1 })
}

/// Frames come out as they went in, one after the other.
#[test]
fn round_trip() {
    let frames = [forward(), need(1), Frame::Outcome(Outcome::Failed(Reason::Shed))];
    let mut bytes = Vec::new();
    for frame in &frames {
        bytes.extend(encode(frame).expect("encode"));
    }
    let mut stream = bytes.as_slice();
    for frame in frames {
        assert_eq!(smol::block_on(read(&mut stream)), Ok(Some(frame)));
    }
    assert_eq!(smol::block_on(read(&mut stream)), Ok(None));
}

/// Guards against memory that a peer can make an entry allocate.
#[test]
fn size_limit() {
    assert!(matches!(encode(&need(MAX_FRAME)), Err(Error::TooLarge(_))));
    let mut stream = [0, 1, 0, 1].as_slice();
    assert_eq!(smol::block_on(read(&mut stream)), Err(Error::TooLarge(65_537)));
    assert!(matches!(decode(&vec![0; MAX_FRAME + 1]), Err(Error::TooLarge(_))));
}

/// A stream that ends within a frame gives no frame.
#[test_case(1; "in the length")]
#[test_case(5; "in the content")]
fn cut_frame(len: usize) {
    let bytes = encode(&forward()).expect("encode");
    let mut stream = &bytes[..len];
    assert_eq!(smol::block_on(read(&mut stream)), Err(Error::Cut));
}

/// Bytes after a frame's content are a fault, or two programs could read it differently.
#[test]
fn excess_bytes() {
    let mut content = encode(&forward()).expect("encode").split_off(4);
    content.push(0);
    assert_eq!(decode(&content), Err(Error::Malformed));
}

proptest::proptest! {
    /// Arbitrary bytes give a frame or an error, never a panic.
    #[test]
    fn arbitrary_bytes(bytes: Vec<u8>) {
        let _ = decode(&bytes);
        let _ = smol::block_on(read(&mut bytes.as_slice()));
    }

    /// A changed byte gives a frame or an error, never a panic.
    #[test]
    fn changed_byte(at in 0usize..60, byte: u8) {
        let mut content = encode(&forward()).expect("encode").split_off(4);
        let at = at % content.len();
        content[at] = byte;
        let _ = decode(&content);
    }
}
