//! HTTP/1.1 over blocking sockets, as little of it as the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// `Head` is a start line and the header fields after it.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads a start line and header fields; `None` when the connection ends before them.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    head.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("the head broke off"));
        }
        let field = line.trim_end();
        if field.is_empty() {
            return Ok(Some(head));
        }
        let (name, value) = field.split_once(':').ok_or_else(|| invalid("no field"))?;
        head.fields.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads one chunk of a chunked body; `None` after the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(invalid("the body broke off"));
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| invalid("no chunk"))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Reads a body with a length or in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some() {
        let mut body = Vec::new();
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
        return Ok(body);
    }
    let length = head.get("content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// `Answer` is what a requester sees of the answer to one request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 when there was none.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
    /// Why it did not.
    pub error: String,
    pub sent_at: Duration,
    pub ended_at: Duration,
}

impl Answer {
    pub fn is_served(&self) -> bool {
        self.is_complete
            && (200..300).contains(&self.status)
            && self.head.get("x-samphiresill-server-seal").is_some()
    }

    /// Number of events of a stream.
    pub fn events(&self) -> usize {
        let text = String::from_utf8_lossy(&self.body);
        text.matches("\n\n").count()
    }
}

/// Sends a request on a new channel and reads the answer, for `patience` at most without a byte.
pub fn request(
    clock: Instant,
    address: SocketAddr,
    text: &str,
    body: &[u8],
    patience: Duration,
) -> Answer {
    let mut answer = Answer {
        sent_at: clock.elapsed(),
        ..Answer::default()
    };
    if let Err(e) = exchange(&mut answer, address, text, body, patience) {
        answer.error = e.to_string();
    }
    answer.ended_at = clock.elapsed();
    answer
}

fn exchange(
    answer: &mut Answer,
    address: SocketAddr,
    text: &str,
    body: &[u8],
    patience: Duration,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let mut bytes = text.as_bytes().to_vec();
    bytes.extend(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or_else(|| invalid("closed without an answer"))?;
    answer.status = head.word(1).parse().unwrap_or(0);
    answer.head = head;
    if answer.head.get("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(&mut reader)? {
            answer.body.extend(chunk);
        }
    } else if answer.head.get("content-length").is_some() {
        answer.body = read_body(&mut reader, &answer.head)?;
    } else {
        reader.read_to_end(&mut answer.body)?;
    }
    answer.is_complete = true;
    Ok(())
}
