//! A small HTTP/1.1 server and client.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Request that a stand-in has received.
pub struct Received {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Received {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Value of a field of the query, with percent-encoding resolved.
    pub fn field(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.clone().find(|(key, _)| *key == name).map_or("", |(_, value)| value);
        let (mut bytes, mut rest) = (Vec::new(), value.as_bytes());
        while let [first, tail @ ..] = rest {
            match (first, tail) {
                (b'%', [high, low, tail @ ..]) => {
                    let digit = |byte: &u8| char::from(*byte).to_digit(16).unwrap_or(0) as u8;
                    bytes.push(digit(high) << 4 | digit(low));
                    rest = tail;
                }
                _ => {
                    bytes.push(*first);
                    rest = tail;
                }
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// A server, which runs until it is closed or the process ends.
pub struct Server {
    address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Closes the listener and all connections, as the end of the process does.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        // Wakes the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves requests. The handler writes the response, and returns whether the connection is kept.
pub fn serve<F>(address: SocketAddr, handle: F) -> io::Result<Server>
where
    F: Fn(&Received, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    let server = Server { address, is_closed: Arc::default(), open: Arc::default() };
    let (is_closed, open) = (server.is_closed.clone(), server.open.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if is_closed.load(Ordering::SeqCst) {
                return;
            }
            open.lock().unwrap().extend(stream.try_clone());
            let (handle, open) = (handle.clone(), open.clone());
            thread::spawn(move || {
                let mut stream = stream;
                let peer = stream.peer_addr();
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
                    if !matches!(handle(&request, &mut stream), Ok(true)) {
                        break;
                    }
                }
                let peer = peer.ok();
                open.lock().unwrap().retain(|known| known.peer_addr().ok() != peer);
            });
        }
    });
    Ok(server)
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut part = [0; 65_536];
    let count = stream.read(&mut part)?;
    buffer.extend_from_slice(&part[..count]);
    Ok(count > 0)
}

fn head_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4)
}

fn parse_headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs.map(|(name, value)| (name.trim().into(), value.trim().into())).collect()
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Received>> {
    let end = loop {
        match head_end(buffer) {
            Some(end) => break end,
            None if !read_more(stream, buffer)? => return Ok(None),
            None => {}
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or_default().split(' ');
    let target = words.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let headers = parse_headers(lines);
    let mut request =
        Received { path: path.into(), query: query.into(), headers, body: Vec::new() };
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    while buffer.len() < length {
        if !read_more(stream, buffer)? {
            return Ok(None);
        }
    }
    request.body = buffer.drain(..length).collect();
    Ok(Some(request))
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &str,
    body: &[u8],
) -> io::Result<bool> {
    let head = format!("HTTP/1.1 {status} S\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(true)
}

/// Response as a client saw it.
#[derive(Debug, Default)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body ended as its framing says.
    pub is_complete: bool,
    /// The client gave up.
    pub is_abandoned: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// Sends a request on a new connection. Gives up after `patience` without a byte.
pub fn call(address: SocketAddr, request: &[u8], patience: Duration) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience));
    if stream.write_all(request).is_err() {
        return answer;
    }
    let _ = read_answer(&mut stream, &mut answer);
    answer
}

/// Connection of a client that is kept for many requests.
pub struct KeptConnection {
    stream: TcpStream,
}

impl KeptConnection {
    pub fn open(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Self { stream })
    }

    /// Sends a request and reads its answer.
    pub fn call(&mut self, request: &[u8]) -> Answer {
        let mut answer = Answer::default();
        if self.stream.write_all(request).is_ok() {
            let _ = read_answer(&mut self.stream, &mut answer);
        }
        answer
    }
}

fn read_answer(stream: &mut TcpStream, answer: &mut Answer) -> io::Result<()> {
    let mut buffer = Vec::new();
    let more = |stream: &mut TcpStream, buffer: &mut Vec<u8>, answer: &mut Answer| {
        read_more(stream, buffer).inspect_err(|error| {
            answer.is_abandoned =
                matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut);
        })
    };
    let end = loop {
        match head_end(&buffer) {
            Some(end) => break end,
            None if !more(stream, &mut buffer, answer)? => return Ok(()),
            None => {}
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
    answer.status = status.unwrap_or(0);
    answer.headers = parse_headers(lines);
    if answer.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let line_end = loop {
                match buffer.windows(2).position(|two| two == b"\r\n") {
                    Some(at) => break at,
                    None if !more(stream, &mut buffer, answer)? => return Ok(()),
                    None => {}
                }
            };
            let line = String::from_utf8_lossy(&buffer[..line_end]).into_owned();
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            while buffer.len() < line_end + 2 + size + 2 {
                if !more(stream, &mut buffer, answer)? {
                    return Ok(());
                }
            }
            answer.body.extend_from_slice(&buffer[line_end + 2..line_end + 2 + size]);
            buffer.drain(..line_end + 2 + size + 2);
            if size == 0 {
                answer.is_complete = true;
                return Ok(());
            }
        }
    }
    match answer.header("content-length").parse::<usize>() {
        Ok(length) => {
            while buffer.len() < length && more(stream, &mut buffer, answer)? {}
            answer.is_complete = buffer.len() >= length;
        }
        Err(_) => {
            while more(stream, &mut buffer, answer)? {}
            answer.is_complete = true;
        }
    }
    answer.body = buffer;
    Ok(())
}
