//! The tool, and an instance that gives prepared replies.

use std::{
    io::{BufRead, BufReader, Read, Write},
    iter,
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Command, Output},
    thread,
};

/// Runs the tool with a key and returns what it gave.
pub(crate) fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_celerypond"))
        .args(args)
        .env_remove("CELERYPOND_AT")
        .env("CELERYPOND_KEY", "key")
        .output()
        .unwrap()
}

/// Returns what the tool wrote, as text.
pub(crate) fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Answers one request after the other with `replies`, the last of them for ever.
pub(crate) fn serve(replies: Vec<(u16, String)>) -> SocketAddr {
    let last = replies.last().unwrap().clone();
    listen(replies.into_iter().chain(iter::repeat(last)))
}

/// Answers one request after the other with `replies`, and those after them not at all.
pub(crate) fn serve_then_hang(replies: Vec<(u16, String)>) -> SocketAddr {
    listen(replies.into_iter())
}

fn listen(mut replies: impl Iterator<Item = (u16, String)> + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut hanging = Vec::new();
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            match replies.next() {
                Some((status, body)) => answer(stream, status, &body),
                None => hanging.push(stream),
            }
        }
    });
    address
}

fn answer(stream: TcpStream, status: u16, body: &str) {
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
    let reply = format!("HTTP/1.1 {status} x\r\ncontent-length: {size}\r\n\r\n{body}");
    reader.get_mut().write_all(reply.as_bytes()).unwrap();
}
