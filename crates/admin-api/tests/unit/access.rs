//! Tokens and their secrets.

use super::*;

#[test]
fn secrets_expire_in_time_and_only_complete_tokens_are_valid() {
    let id = new_id().unwrap();
    let (first, stored) = new_secret(&id).unwrap();
    let mut token = Token {
        name: "n".into(),
        role: Role::ReadOnly,
        tenant: None,
        created_ms: 0,
        expires_ms: Some(1000),
        secrets: vec![stored],
    };
    let (second, stored) = new_secret(&id).unwrap();
    let accepts = |token: &Token, text: &str, now| {
        authenticate(
            &BTreeMap::from([(id.clone(), token.clone())]),
            Some(&format!("Bearer {text}")),
            now,
        )
        .is_ok()
    };
    assert!(
        accepts(&token, &first, 999)
            && !accepts(&token, &first, 1000)
            && !accepts(&token, &second, 0)
    );
    token.rotate(stored, 500);
    assert!(accepts(&token, &first, 499) && accepts(&token, &second, 499));
    assert!(!accepts(&token, &first, 500) && accepts(&token, &second, 500));
    let (third, stored) = new_secret(&id).unwrap();
    token.rotate(stored, 700);
    assert!(
        !accepts(&token, &first, 100)
            && accepts(&token, &second, 699)
            && accepts(&token, &third, 699)
    );
    let cut = &third[..third.len() - 1];
    for text in [
        "",
        "x",
        cut,
        &third.replace("cct_", "ccx_"),
        &format!("{third}x"),
    ] {
        assert!(!accepts(&token, text, 0), "{text}");
    }
    // Takes everything after the id: a secret may contain a "_", and what follows that may occur elsewhere by chance.
    let (_, secret) = third.split_once(&format!("{id}_")).unwrap();
    assert!(secret.len() >= 40 && !serde_json::to_string(&token).unwrap().contains(secret));
    let basic = format!("Basic {third}");
    assert!(authenticate(&BTreeMap::from([(id, token)]), Some(&basic), 0).is_err());
}
