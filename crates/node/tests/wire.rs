//! Encoding and decoding of frames.

use ebonypass_core::credit;
use ebonypass_core::outcome::Reason;
use ebonypass_core::time::Span;
use ebonypass_node::wire::{Error, Forward, Frame, MAX_FRAME_BYTES, Outcome, decode, encode, read};
use test_case::test_case;

fn forward() -> Frame {
    Frame::Forward(Forward {
        member: "windelrunde".to_owned(),
        service: "rounds".to_owned(),
        kind: "lookup".to_owned(),
        time_left: Span::from_millis(500),
        trace: String::new(),
        content_type: None,
        length: 7,
        is_remote: false,
        is_failover: true,
    })
}

fn need(len: usize) -> Frame {
    Frame::CreditRequest(credit::Request { round: 1, service: "x".repeat(len), count: 1 })
}

/// Frames in sequence are read back unchanged.
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

/// Frames above the limit are rejected. Guards against a peer that makes an entry allocate too much
/// memory.
#[test]
fn size_limit() {
    assert!(matches!(encode(&need(MAX_FRAME_BYTES)), Err(Error::TooLarge(_))));
    let mut stream = [0, 1, 0, 1].as_slice();
    assert_eq!(smol::block_on(read(&mut stream)), Err(Error::TooLarge(65_537)));
    assert!(matches!(decode(&vec![0; MAX_FRAME_BYTES + 1]), Err(Error::TooLarge(_))));
}

/// A stream that ends within a frame gives an error.
#[test_case(1; "in the length")]
#[test_case(5; "in the content")]
fn cut_frame(len: usize) {
    let bytes = encode(&forward()).expect("encode");
    let mut stream = &bytes[..len];
    assert_eq!(smol::block_on(read(&mut stream)), Err(Error::Truncated));
}

/// Excess bytes after a frame's content are an error: another program might interpret them.
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
    fn changed_byte(index in 0usize..60, byte: u8) {
        let mut content = encode(&forward()).expect("encode").split_off(4);
        let index = index % content.len();
        content[index] = byte;
        let _ = decode(&content);
    }
}
