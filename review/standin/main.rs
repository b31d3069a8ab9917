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
    match case.as_str() {
        "second-answer" => second_answer::run(&folder),
        "long-bodies" => long_bodies::run(&folder),
        "shutdown-upload" => shutdown_upload::run(&folder),
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2);
        }
    }
}
