//! The stand-ins and checks of all cases: `standin CASE FOLDER`, from the repository's root.

mod long_bodies;
mod rig;
mod second_answer;
mod shutdown_upload;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) = (
        arguments.next().unwrap_or_default(),
        arguments.next().unwrap_or_default(),
    );
    // A fault of a stand-in means that the case could not run; unwinding ends the proxy.
    let ended = std::panic::catch_unwind(|| run(&case, &folder));
    if ended.is_err() {
        std::process::exit(2);
    }
}

fn run(case: &str, folder: &str) {
    match case {
        "second-answer" => second_answer::run(folder),
        "long-bodies" => long_bodies::run(folder),
        "shutdown-upload" => shutdown_upload::run(folder),
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2);
        }
    }
}
