//! Runs of the adapter's binary on short inputs.
use std::io::Write;
use std::process::{Command, Stdio};

fn run_adapter(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_canvascart-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().unwrap();
    stdin.write_all(input.as_bytes()).unwrap();
    drop(stdin);
    let out = child.wait_with_output().unwrap();
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    (out.status.success(), text(out.stdout), text(out.stderr))
}

const PARAMS: &str = r#"{"classes":[{"name":"page","effect":"idempotent","promise":300,"deadline":900},{"name":"odd","effect":"newfangled","promise":300,"deadline":900}],"nInstances":1,"myNumber":0,"unheard":{"of":[1]},"zone":"a","zones":["a"],"flavors":["k"],"rules":{"drainGrace":100,"cold":1000,"fall":500,"fallMultiple":3,"startCapacity":0.5},"ceilings":{"maxAttempts":3,"secondCopies":true}}"#;

fn start(i: u32) -> String {
    format!(
        "UP\ti={i}\trandomSeed=5\tparams={PARAMS}\nTOPOLOGY\ti={i}\tscope=cached\tstamp=1\tnodesList=2\n\
         ITEM\tbackend=b.one\tfailureDomain=a\tshape=k\tcell=0\tstate=up\trating=1\n\
         ITEM\tbackend=b.two\tfailureDomain=a\tshape=k\tcell=0\tstate=up\trating=1\n"
    )
}

#[test]
fn an_empty_batch_and_an_empty_input_are_accepted() {
    assert_eq!(
        run_adapter("FRAME\tts=1.5\nGO\n"),
        (true, "EOR\n".into(), String::new())
    );
    assert_eq!(run_adapter(""), (true, String::new(), String::new()));
}

#[test]
fn a_request_is_forwarded_and_a_failed_non_idempotent_one_is_not_retried() {
    let input = format!(
        "FRAME\tts=10\n{}ARRIVAL\ti=0\trid=r-x\ttierClass=odd\ttimeBudget=900\nGO\n\
         FRAME\tts=40\nOUTCOME\ti=0\trid=r-x\tbackend=b.one\tlatency=30\tsendNo=0\treason=never-heard-of\nGO\n",
        start(0)
    );
    let (ok, out, err) = run_adapter(&input);
    assert!(ok, "{err}");
    let replies: Vec<&str> = out.split("EOR\n").collect();
    assert!(
        replies[0].contains("SUBMIT_TO\ti=0\trid=r-x\tbackend=b."),
        "{out}"
    );
    // The unknown effect counts as not idempotent, and after the unknown outcome the request may have run.
    assert!(replies[1].contains("REPORT_FAILURE\ti=0\trid=r-x"), "{out}");
    assert!(
        !replies[1].contains("SUBMIT_TO") && !replies[1].contains("TURN_AWAY"),
        "{out}"
    );
}

#[test]
fn unknown_messages_fields_and_proxies_are_ignored() {
    let input = format!(
        "FRAME\tts=10\tmore=1\n{}NOVELTY\ti=0\tx=1\nITEM\tq=1\nDEADLINE_HIT\ti=9\tkeyBack=0\n\
         ARRIVAL\ti=0\trid=r-1\ttierClass=page\ttimeBudget=900\tcolour=red\nGO\n",
        start(0)
    );
    let (ok, out, err) = run_adapter(&input);
    assert!(ok, "{err}");
    assert!(out.contains("rid=r-1"), "{out}");
}

/// Completes 40 requests one after the other, each with a load report, and returns how many of ten at once are forwarded.
fn forwarded_of_ten_after(load_report: &str) -> usize {
    let params = PARAMS.replace("\"nInstances\":1", "\"nInstances\":32");
    let mut input = format!("FRAME\tts=10\n{}GO\n", start(0).replace(PARAMS, &params));
    let request = |n: usize| format!("ARRIVAL\ti=0\trid=r-{n}\ttierClass=odd\ttimeBudget=900\n");
    for n in 0..40 {
        let (at, end) = (20 + 100 * n, 60 + 100 * n);
        input += &format!("FRAME\tts={at}\n{}GO\nFRAME\tts={end}\n", request(n));
        input += &format!(
            "OUTCOME\ti=0\trid=r-{n}\tbackend=b.one\tlatency=40\tsendNo=0\tclosed=1\treason=completed\tfeedback={load_report}\nGO\n"
        );
    }
    let burst: String = (100..110).map(request).collect();
    input += &format!("FRAME\tts=5000\n{burst}GO\n");
    let (ok, out, err) = run_adapter(&input);
    assert!(ok, "{err}");
    out.split("EOR\n")
        .nth(81)
        .unwrap()
        .matches("SUBMIT_TO")
        .count()
}

#[test]
fn load_reports_of_overload_reduce_the_concurrency_limit() {
    // Only one request is in flight at a time, so the initial concurrency limit does not grow; two endpoints admit two.
    let normal = forwarded_of_ten_after("failed_ps:0,busy_reqs:2");
    let overloaded = forwarded_of_ten_after("busy_reqs:30,pending:1");
    assert_eq!((normal, overloaded), (2, 1));
}

#[test]
fn a_malformed_line_ends_the_session_with_its_number() {
    for (line, position) in [
        (
            "ARRIVAL\ti=0\trid=r-1\ttierClass=page\ttimeBudget=soon\n",
            "line 6",
        ),
        ("ARRIVAL\ti=0\trid=r-1\ttierClass=page\n", "line 6"),
        (
            "ARRIVAL\ti=0\trid=r-1\ttierClass=none\ttimeBudget=5\n",
            "line 6",
        ),
        ("ARRIVAL\ti=zero\trid=r-1\n", "line 6"),
        ("ARRIVAL\tnonsense\n", "line 6"),
        ("TOPOLOGY\ti=0\tscope=delta\tnodesList=1\nGO\n", "line 7"),
        ("NOTE_FROM\ti=0\twho=1\tmsg=***\n", "line 6"),
        (
            "ARRIVAL\ti=0\trid=r-1\ttierClass=page\ttimeBudget=900\n\
          OUTCOME\ti=0\trid=r-1\tsendNo=0\treason=completed\tclosed=1\tfeedback=busy_reqs:many\n",
            "line 7",
        ),
        (
            "ARRIVAL\ti=0\trid=r-1\ttierClass=page\ttimeBudget=900\n\
          OUTCOME\ti=0\trid=r-1\tsendNo=0\treason=completed\tclosed=1\tfeedback=pending\n",
            "line 7",
        ),
    ] {
        let (ok, _, err) = run_adapter(&format!("FRAME\tts=10\n{}{line}GO\n", start(0)));
        assert!(!ok, "accepted {line}");
        assert!(err.contains(position), "{line}: {err}");
    }
}

#[test]
fn a_restart_forgets_requests_and_proxies_are_independent() {
    let request =
        |i: u32, r: &str| format!("ARRIVAL\ti={i}\trid={r}\ttierClass=page\ttimeBudget=900\n");
    let alone = format!("FRAME\tts=10\n{}{}GO\n", start(1), request(1, "r-1"));
    let both = format!(
        "FRAME\tts=10\n{}{}{}{}GO\n",
        start(0),
        start(1),
        request(0, "r-0"),
        request(1, "r-1")
    );
    let replies_of_proxy_1 = |out: &str| {
        out.lines()
            .filter(|l| l.contains("\ti=1\t"))
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        replies_of_proxy_1(&run_adapter(&alone).1),
        replies_of_proxy_1(&run_adapter(&both).1)
    );
    let restarted = format!(
        "{alone}FRAME\tts=20\nCRASH_NOW\ti=1\n{}OUTCOME\ti=1\trid=r-1\tbackend=b.one\tsendNo=0\treason=completed\nGO\n",
        start(1)
    );
    let (ok, out, err) = run_adapter(&restarted);
    assert!(ok, "{err}");
    assert!(!out.split("EOR\n").nth(1).unwrap().contains("r-1"), "{out}");
}

#[test]
fn extreme_numbers_cause_no_panic_and_a_non_number_is_rejected() {
    for (from, to) in [
        ("\"nInstances\":1", "\"nInstances\":1e18"),
        ("\"myNumber\":0", "\"myNumber\":-4"),
        ("\"promise\":300", "\"promise\":-1"),
        ("\"cold\":1000", "\"cold\":0"),
        ("\"fallMultiple\":3", "\"fallMultiple\":1e300"),
        ("rating=1", "rating=1e300"),
        ("rating=1", "rating=-3"),
    ] {
        let input = format!(
            "FRAME\tts=10\n{}ARRIVAL\ti=0\trid=r-1\ttierClass=page\ttimeBudget=900\nGO\n\
             FRAME\tts=2000\nDEADLINE_HIT\ti=0\tkeyBack=0\nGO\n",
            start(0).replace(from, to)
        );
        let (ok, out, err) = run_adapter(&input);
        assert!(ok, "{to}: {err}");
        assert!(!out.contains("EXCEPTION"), "{to}: {out}");
    }
    let input = format!(
        "FRAME\tts=10\n{}DEADLINE_HIT\ti=0\tkeyBack=NaN\nGO\n",
        start(0)
    );
    assert!(!run_adapter(&input).0, "the token is not a number");
}

#[test]
fn a_crash_and_restart_in_one_batch_drops_requests_and_late_messages_are_ignored() {
    let request = "ARRIVAL\ti=0\trid=r-1\ttierClass=page\ttimeBudget=900\n";
    let end =
        "OUTCOME\ti=0\trid=r-1\tbackend=b.one\tlatency=9\tsendNo=0\tclosed=1\treason=completed\n";
    let input = format!(
        "FRAME\tts=10\n{}{request}GO\nFRAME\tts=20\nCRASH_NOW\ti=0\n{}GO\n\
         FRAME\tts=30\n{}GO\nFRAME\tts=40\n{end}HANGUP\ti=0\trid=r-2\nHANGUP\ti=0\trid=r-2\nGO\n",
        start(0),
        start(0),
        request.replace("r-1", "r-2")
    );
    let (ok, out, err) = run_adapter(&input);
    assert!(ok, "{err}");
    let replies: Vec<&str> = out.split("EOR\n").collect();
    assert!(
        replies[2].contains("SUBMIT_TO\ti=0\trid=r-2"),
        "the restarted proxy forwards: {out}"
    );
    assert!(
        !replies[3].contains("r-1") && !replies[3].contains("r-2"),
        "a reply to a finished request: {out}"
    );
}
