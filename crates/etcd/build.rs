//! Generates the messages and services of proto/etcd.proto.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = protox::compile(["proto/etcd.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .compile_fds(files)?;
    println!("cargo:rerun-if-changed=proto/etcd.proto");
    Ok(())
}
