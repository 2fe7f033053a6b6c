//! HTTP/1.1 with one thread for each connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Of a request: method and target; of a response: version and status.
    pub first: String,
    pub second: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.second.parse().unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.second.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.filter(|(k, _)| *k == name).map(|(_, v)| decode(v)).next()
    }

    pub fn path(&self) -> &str {
        self.second.split('?').next().unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("00");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(0));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8(out).unwrap_or_default()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

/// Reads a request or a response; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let mut message = Message {
        first: words.next().unwrap_or_default().to_owned(),
        second: words.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    loop {
        let Some(line) = read_line(reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let is_response = message.first.starts_with("HTTP/");
    if message.header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        loop {
            let line = read_line(reader)?.unwrap_or_default();
            let len = usize::from_str_radix(line.split(';').next().unwrap_or("0").trim(), 16);
            let len = len.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; len];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            read_line(reader)?;
            if len == 0 {
                break;
            }
        }
    } else if let Some(len) = message.header("content-length").and_then(|v| v.parse().ok()) {
        message.body = vec![0; len];
        reader.read_exact(&mut message.body)?;
    } else if is_response && ![204, 304].contains(&message.status()) {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Returns the bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} S\r\n").into_bytes();
    for (name, value) in headers {
        out.extend(format!("{name}: {value}\r\n").bytes());
    }
    out.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    out.extend(body);
    out
}

/// Binds a free port of an address.
pub fn bind(ip: &str) -> TcpListener {
    TcpListener::bind(format!("{ip}:0")).expect("bind")
}

/// Serves each connection with `serve` in a thread of its own.
pub fn serve(
    listener: TcpListener,
    serve: impl Fn(BufReader<TcpStream>, TcpStream) -> io::Result<()> + Send + Sync + 'static,
) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || {
                if let Ok(writer) = stream.try_clone() {
                    let _ = serve(BufReader::new(stream), writer);
                }
            });
        }
    });
}

/// Sends one request on its own connection; `None` if no complete response comes within 5 s.
pub fn call(address: SocketAddr, head: &str, body: &[u8]) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    call_on(&stream, head, body)
}

/// Sends one request on an open connection.
pub fn call_on(stream: &TcpStream, head: &str, body: &[u8]) -> Option<Message> {
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend(body);
    writer.write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    read_message(&mut reader).ok()?
}
