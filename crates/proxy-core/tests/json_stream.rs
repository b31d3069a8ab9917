//! Tests of splitting a byte stream into JSON objects.
use proxy_core::json_stream::{ObjectSplitter, StreamItem};

const STREAM: &str = "{\"a\":1}\n\n{\n  \"b\": [ {\"c\": \"}\\\"{]\"},\n\n  [] ],\r\n  \"d\\\\\": {}\n}\r\n {\"e\":{}}{\"f\":2}\n";

/// Returns the items of a stream that arrives in these chunks.
fn items<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> Result<Vec<StreamItem>, String> {
    let (mut splitter, mut items) = (ObjectSplitter::default(), Vec::new());
    for chunk in chunks {
        splitter.feed(chunk);
        while let Some(item) = splitter.next_item()? {
            items.push(item);
        }
    }
    Ok(items)
}

#[test]
fn objects_are_extracted_whole_for_any_layout_and_chunking() {
    let whole = items([STREAM.as_bytes()]).expect("valid input");
    let objects: Vec<serde_json::Value> = whole
        .iter()
        .filter_map(|p| match p {
            StreamItem::Object(o) => {
                Some(serde_json::from_slice(o).expect("a complete JSON object"))
            }
            StreamItem::Heartbeat => None,
        })
        .collect();
    assert_eq!(objects.len(), 4);
    assert_eq!(objects[1]["b"][0]["c"], "}\"{]");
    assert_eq!(
        whole
            .iter()
            .filter(|p| **p == StreamItem::Heartbeat)
            .count(),
        4,
        "line ends inside an object are not heartbeats"
    );
    for cut in 1..STREAM.len() {
        let (one, two) = STREAM.as_bytes().split_at(cut);
        assert_eq!(items([one, two]).as_ref(), Ok(&whole), "cut at {cut}");
    }
    assert_eq!(
        items(STREAM.as_bytes().chunks(1)).as_ref(),
        Ok(&whole),
        "byte by byte"
    );
}

#[test]
fn other_input_is_an_error_and_partial_objects_are_kept() {
    for text in ["[]", "x", "{}}", "\"{}\"", "{} 1", "\u{feff}{}"] {
        assert!(items([text.as_bytes()]).is_err(), "{text}");
    }
    let mut splitter = ObjectSplitter::default();
    splitter.feed(b"{}{\"a\":");
    assert_eq!(
        splitter.next_item(),
        Ok(Some(StreamItem::Object(b"{}".to_vec())))
    );
    assert_eq!((splitter.next_item(), splitter.buffered()), (Ok(None), 5));
    splitter.feed(b"[1,2");
    assert_eq!(
        (splitter.next_item(), splitter.buffered()),
        (Ok(None), 9),
        "an incomplete object is not returned"
    );
}
