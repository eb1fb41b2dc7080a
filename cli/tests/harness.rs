//! Runs the tool, and a mock instance that returns prepared responses.

use std::{
    io::{BufRead, BufReader, Read, Write},
    iter,
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Command, Output},
    thread,
};

/// Runs the tool with a key and returns its output.
pub(crate) fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_celerypond"))
        .args(args)
        .env_remove("CELERYPOND_AT")
        .env("CELERYPOND_KEY", "key")
        .output()
        .unwrap()
}

/// Returns output of the tool as text.
pub(crate) fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Starts a mock instance that responds to requests in turn with `responses`, and to all later ones
/// with the last of them.
pub(crate) fn serve(responses: Vec<(u16, String)>) -> SocketAddr {
    let last = responses.last().unwrap().clone();
    listen(responses.into_iter().chain(iter::repeat(last)))
}

/// Starts a mock instance that responds to requests in turn with `responses`, and never to later
/// ones.
pub(crate) fn serve_then_hang(responses: Vec<(u16, String)>) -> SocketAddr {
    listen(responses.into_iter())
}

fn listen(mut responses: impl Iterator<Item = (u16, String)> + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut unanswered = Vec::new();
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            match responses.next() {
                Some((status, body)) => respond(stream, status, &body),
                None => unanswered.push(stream),
            }
        }
    });
    address
}

fn respond(stream: TcpStream, status: u16, body: &str) {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap() > 2 {
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        line.clear();
    }
    reader.read_exact(&mut vec![0; length]).unwrap();
    let size = body.len();
    let response = format!("HTTP/1.1 {status} x\r\ncontent-length: {size}\r\n\r\n{body}");
    reader.get_mut().write_all(response.as_bytes()).unwrap();
}
