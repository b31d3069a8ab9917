//! Objects out of a stream of bytes.
use proxy_core::objects::{Objects, Part};

const STREAM: &str = "{\"a\":1}\n\n{\n  \"b\": [ {\"c\": \"}\\\"{]\"},\n\n  [] ],\r\n  \"d\\\\\": {}\n}\r\n {\"e\":{}}{\"f\":2}\n";

/// What comes out of a stream that comes in these pieces.
fn parts<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Result<Vec<Part>, String> {
    let (mut objects, mut parts) = (Objects::default(), Vec::new());
    for piece in pieces {
        objects.feed(piece);
        while let Some(part) = objects.part()? {
            parts.push(part);
        }
    }
    Ok(parts)
}

#[test]
fn objects_come_out_whole_however_they_are_laid_out_and_cut() {
    let whole = parts([STREAM.as_bytes()]).expect("it is good");
    let objects: Vec<serde_json::Value> = whole
        .iter()
        .filter_map(|p| match p {
            Part::Object(o) => Some(serde_json::from_slice(o).expect("an object by itself")),
            Part::Beat => None,
        })
        .collect();
    assert_eq!(objects.len(), 4);
    assert_eq!(objects[1]["b"][0]["c"], "}\"{]");
    assert_eq!(
        whole.iter().filter(|p| **p == Part::Beat).count(),
        4,
        "no line end inside an object is a beat"
    );
    for cut in 1..STREAM.len() {
        let (one, two) = STREAM.as_bytes().split_at(cut);
        assert_eq!(parts([one, two]).as_ref(), Ok(&whole), "cut at {cut}");
    }
    assert_eq!(
        parts(STREAM.as_bytes().chunks(1)).as_ref(),
        Ok(&whole),
        "byte by byte"
    );
}

#[test]
fn what_is_no_object_is_told_and_what_is_half_is_kept() {
    for text in ["[]", "x", "{}}", "\"{}\"", "{} 1", "\u{feff}{}"] {
        assert!(parts([text.as_bytes()]).is_err(), "{text}");
    }
    let mut objects = Objects::default();
    objects.feed(b"{}{\"a\":");
    assert_eq!(objects.part(), Ok(Some(Part::Object(b"{}".to_vec()))));
    assert_eq!((objects.part(), objects.held()), (Ok(None), 5));
    objects.feed(b"[1,2");
    assert_eq!(
        (objects.part(), objects.held()),
        (Ok(None), 9),
        "a cut object is not given out"
    );
}
