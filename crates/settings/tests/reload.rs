//! Reload of the platform's settings in a running process.

use balancer::Idempotency;
use serde_json::{Value, json};
use settings::ReloadableSettings;

fn initial() -> Value {
    json!({
        "classes": [
            {"name": "lookup", "effect": "idempotent", "promise": 200.0, "deadline": 900.0, "worth": 2.0},
            {"name": "checkout", "effect": "at_most_once", "promise": 300.0, "deadline": 800.0, "worth": 9.0,
             "aimStretch": 1.5}],
        "accounts": [{"name": "nord", "share": 0.8, "allowancePerS": 80.0}],
        "ceilings": {"maxAttempts": 5, "retryAfter": true},
        "extra": {"warmKeys": true},
        "rules": {"cold": 9000.0}
    })
}

#[test]
fn classes_keep_their_indices_when_others_are_added_or_removed() {
    let first = ReloadableSettings::from_json(initial());
    let mut next = initial();
    next["classes"][0] = json!({"name": "renewal", "effect": "at_most_once", "promise": 100.0, "deadline": 400.0,
        "worth": 3.0});
    next["accounts"]
        .as_array_mut()
        .unwrap()
        .push(json!({"name": "est", "share": 0.2, "allowancePerS": 9.0}));
    next["extra"] = json!({});
    let second = first.reload(&next).expect("a valid object");
    assert_eq!(second.names.classes, ["lookup", "checkout", "renewal"]);
    assert_eq!(second.accepted_classes, [false, true, true]);
    assert_eq!(second.settings.classes[2].deadline, 400.0);
    assert_eq!(second.names.tenants, ["nord", "est"]);
    let mut back = initial();
    back["classes"][0]["effect"] = json!("at_most_once");
    back["ceilings"]["maxAttempts"] = json!(2);
    let third = second.reload(&back).expect("a valid object");
    assert_eq!(
        (
            third.accepted_classes.as_slice(),
            &third.accepted_tenants[..]
        ),
        (&[true, true, false][..], &[true, false][..])
    );
    assert_eq!(
        third.settings.classes[0].idempotency,
        Idempotency::NonIdempotent
    );
    assert_eq!(
        (
            third.settings.limits.max_attempts,
            third.settings.classes.len()
        ),
        (2, 3)
    );
}

#[test]
fn an_invalid_value_is_reported_with_its_key() {
    let change = |edit: &dyn Fn(&mut Value)| {
        let mut next = initial();
        edit(&mut next);
        ReloadableSettings::from_json(initial())
            .reload(&next)
            .expect_err("an invalid object")
    };
    let drop = |v: &mut Value, key: &str| drop(v.as_object_mut().unwrap().remove(key));
    type Edit<'a> = &'a dyn Fn(&mut Value);
    let cases: [(&str, Edit); 14] = [
        ("settings.classes: the key is missing", &|v| {
            drop(v, "classes")
        }),
        ("settings.ceilings.maxAttempts: the key is missing", &|v| {
            drop(&mut v["ceilings"], "maxAttempts")
        }),
        ("settings.rules: the key is missing", &|v| drop(v, "rules")),
        ("settings.classes[1].deadline: the key is missing", &|v| {
            drop(&mut v["classes"][1], "deadline")
        }),
        ("settings.classes[0].deadline: 0 is not", &|v| {
            v["classes"][0]["deadline"] = json!(0)
        }),
        ("settings.classes[0].deadline: -1.0 is not", &|v| {
            v["classes"][0]["deadline"] = json!(-1.0)
        }),
        ("settings.classes[0].deadline: text instead", &|v| {
            v["classes"][0]["deadline"] = json!("9")
        }),
        ("settings.classes[0].promise: 0 is not", &|v| {
            v["classes"][0]["promise"] = json!(0)
        }),
        ("settings.ceilings.maxAttempts: 0 is not", &|v| {
            v["ceilings"]["maxAttempts"] = json!(0)
        }),
        ("settings.classes[1].name: 'lookup' occurs", &|v| {
            v["classes"][1]["name"] = json!("lookup")
        }),
        ("settings.classes[0].effect: \"odd\" is not", &|v| {
            v["classes"][0]["effect"] = json!("odd")
        }),
        ("settings.classes: there is no class", &|v| {
            v["classes"] = json!([])
        }),
        ("settings.classes: an object instead", &|v| {
            v["classes"] = json!({})
        }),
        ("settings: text instead of an object", &|v| *v = json!("x")),
    ];
    for (expected, edit) in cases {
        let message = change(edit).to_string();
        assert!(message.starts_with(expected), "{expected} - {message}");
    }
}

#[test]
fn names_are_bounded_over_all_reloads() {
    let mut settings = ReloadableSettings::from_json(initial());
    for n in 0.. {
        let mut next = initial();
        next["classes"][0]["name"] = json!(format!("class-{n}"));
        match settings.reload(&next) {
            Ok(reloaded) => settings = reloaded,
            Err(error) => {
                assert!(n > 200 && error.key == "settings.classes", "{n}: {error}");
                break;
            }
        }
    }
}
