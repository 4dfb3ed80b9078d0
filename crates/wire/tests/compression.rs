//! Guards against values that other processes cannot read, or that take more memory than allowed.

use bytes::Bytes;
use proptest::prelude::*;
use wire::{CompressionError, FleetItem, MAX_VALUE_BYTES, MIN_COMPRESSED_BYTES};

fn item(value: Option<Bytes>) -> FleetItem {
    FleetItem { key: "op/config".into(), value, revision: 7, age_ms: None, compressed: None }
}

#[test]
fn configuration_takes_a_third_of_its_size_on_the_way() {
    let routes = (0..4_200).map(|index| {
        format!("{{\"name\":\"r-{index:06x}\",\"host\":\"h.example\",\"prefix\":\"/p{index}/\",\"kind\":\"safe\"}},")
    });
    let value = Bytes::from(routes.collect::<String>());
    let sent = item(Some(value.clone())).with_compressed_value();
    assert_eq!(sent.value, None);
    assert!(sent.compressed.as_ref().is_some_and(|bytes| bytes.len() * 3 < value.len()));
    assert_eq!(sent.into_value().expect("it can be read"), Some(value));
}

#[test]
fn corrupt_and_excessive_values_are_refused() {
    let corrupt =
        FleetItem { compressed: Some(Bytes::from_static(&[9, 0, 0, 0, 255])), ..item(None) };
    assert!(matches!(corrupt.into_value(), Err(CompressionError::Corrupt { .. })));
    let truncated = FleetItem { compressed: Some(Bytes::from_static(&[9])), ..item(None) };
    assert!(matches!(truncated.into_value(), Err(CompressionError::Corrupt { .. })));
    let size = u32::try_from(MAX_VALUE_BYTES + 1).expect("fits").to_le_bytes();
    let excessive = FleetItem { compressed: Some(Bytes::copy_from_slice(&size)), ..item(None) };
    assert!(matches!(excessive.into_value(), Err(CompressionError::TooLarge { .. })));
}

proptest! {
    #[test]
    fn every_value_arrives_unchanged(value in proptest::option::of(proptest::collection::vec(any::<u8>(), 0..3 * MIN_COMPRESSED_BYTES))) {
        let value = value.map(Bytes::from);
        let sent = item(value.clone()).with_compressed_value();
        prop_assert_eq!(sent.into_value().expect("it can be read"), value);
    }
}
