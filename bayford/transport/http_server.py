"""HTTP servers on `http.server`: a thread per connection, bounded, with timeouts everywhere."""

import logging
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler

from bayford.clock import NEVER

log = logging.getLogger("bayford.server")

IDLE_S = 40.0  # a connection of which nothing else is known
REQUEST_S = 5.0
MAX_BODY = 64 * 1024
MAX_LINE = 8 * 1024
MAX_HEADERS = 64
BACKLOG = 4096  # connections that wait to be accepted: a whole fleet, right after a failover

REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    411: "Length Required",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}


@dataclass(slots=True)
class Request:
    """One request. `after`: when the answer before it on its connection had been sent. `crowded`: whether
    most connections that the server may have are taken."""

    method: str
    path: str
    body: bytes
    after: float
    headers: dict[str, str] = field(default_factory=dict)
    crowded: bool = False


@dataclass(slots=True)
class Response:
    """What to answer. The connection is then kept for the next request for `idle_s`, 0: not at all."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    idle_s: float = IDLE_S


Handle = Callable[[Request], Response]


class _RefusedError(Exception):
    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Connection(BaseHTTPRequestHandler):
    """One connection. `http.server`'s own header parser (the e-mail package's) takes several times as
    long as everything else here, and a controller has a fraction of a core, so the lines are read here."""

    protocol_version = "HTTP/1.1"
    server: "HttpServer"  # type: ignore[assignment]
    disable_nagle_algorithm = True
    timeout = IDLE_S

    def handle(self) -> None:
        """Serve requests until either side is done."""
        self.close_connection = False
        after = NEVER
        idle_s = IDLE_S
        try:
            while not self.close_connection:
                self.connection.settimeout(idle_s)
                request = self._read(after)
                if request is None:
                    return
                request.crowded = self.server.crowded
                response = self.server.handle(request)
                idle_s = response.idle_s
                if not idle_s:
                    self.close_connection = True
                after = self._send(response)
        except _RefusedError as bad:
            self.close_connection = True
            body = b'{"error":"' + str(bad).encode() + b'"}'
            self._send(Response(bad.status, body))
        except (OSError, TimeoutError, ValueError):
            return

    def finish(self) -> None:
        """Close, ignoring a peer that is gone."""
        try:
            super().finish()
        except OSError:
            pass

    def _read(self, after: float) -> Request | None:
        line = self.rfile.readline(MAX_LINE + 1)
        if not line:
            return None
        # From the first byte on the request has to come in reasonable time.
        self.connection.settimeout(REQUEST_S)
        words = line.split()
        if len(line) > MAX_LINE:
            raise _RefusedError(431, "line too long")
        if len(words) != 3 or not words[2].startswith(b"HTTP/1."):
            raise _RefusedError(400, "not an HTTP/1.1 request")
        headers: dict[str, str] = {}
        while True:
            line = self.rfile.readline(MAX_LINE + 1)
            if line in (b"\r\n", b"\n"):
                break
            if not line:
                return None
            if len(line) > MAX_LINE or len(headers) >= MAX_HEADERS:
                raise _RefusedError(431, "headers too long")
            name, colon, value = line.partition(b":")
            if not colon:
                raise _RefusedError(400, "malformed header")
            headers[name.strip().lower().decode("latin-1")] = value.strip().decode("latin-1")
        if words[2] == b"HTTP/1.0" or headers.get("connection", "").lower() == "close":
            self.close_connection = True
        body = self._body(headers)
        return Request(words[0].decode("latin-1"), words[1].decode("latin-1"), body, after, headers)

    def _body(self, headers: dict[str, str]) -> bytes:
        if headers.get("expect", "").lower() == "100-continue":
            self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if "chunked" in headers.get("transfer-encoding", "").lower():
            return self._chunks()
        text = headers.get("content-length", "0")
        if not text.isdigit():
            raise _RefusedError(400, "bad content-length")
        length = int(text)
        if length > MAX_BODY:
            raise _RefusedError(413, "body over 64 KiB")
        body = self.rfile.read(length) if length else b""
        if len(body) < length:
            raise ConnectionError("body ended early")
        return body

    def _chunks(self) -> bytes:
        out = b""
        while True:
            try:
                size = int(self.rfile.readline(64).split(b";")[0], 16)
            except ValueError as bad:
                raise _RefusedError(400, "bad chunk") from bad
            if size < 0 or len(out) + size > MAX_BODY:
                raise _RefusedError(413, "body over 64 KiB")
            if size == 0:
                while self.rfile.readline(MAX_LINE) not in (b"\r\n", b"\n", b""):
                    pass
                return out
            out += self.rfile.read(size)
            self.rfile.readline(8)

    def _send(self, response: Response) -> float:
        head = [
            f"HTTP/1.1 {response.status} {REASONS.get(response.status, 'Status')}",
            "Content-Type: application/json",
            f"Content-Length: {len(response.body)}",
        ]
        head += [f"{name}: {value}" for name, value in response.headers]
        if self.close_connection:
            head.append("Connection: close")
        self.connection.settimeout(REQUEST_S)
        # Before the bytes leave: what comes next on this connection was sent after this moment.
        at = time.monotonic()
        self.connection.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + response.body)
        return at


class HttpServer:
    """Listens at an address and gives every request to `handle`; at most `most` connections at once."""

    def __init__(self, host: str, port: int, handle: Handle, most: int, name: str) -> None:
        self._handle = handle
        self._most = most
        self._open = 0
        self._lock = threading.Lock()
        self._name = name
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))
        self._socket.listen(BACKLOG)
        self.port: int = self._socket.getsockname()[1]

    @property
    def crowded(self) -> bool:
        """Whether three quarters of the connections are taken."""
        return self._open * 4 > self._most * 3

    def _enter(self) -> bool:
        with self._lock:
            if self._open >= self._most:
                return False
            self._open += 1
            return True

    def _leave(self) -> None:
        with self._lock:
            self._open -= 1

    def handle(self, request: Request) -> Response:
        """One request; a fault in a handler costs that request alone."""
        try:
            return self._handle(request)
        except Exception:
            log.exception("%s %s failed", request.method, request.path)
            return Response(500, b'{"error":"internal error"}')

    def start(self) -> None:
        """Accept in a thread of its own."""
        threading.Thread(target=self._accept, name=f"accept-{self._name}", daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, peer = self._socket.accept()
            except OSError as bad:
                log.error("%s: accept: %s", self._name, bad)
                time.sleep(0.05)
                continue
            if not self._enter():
                # Refused rather than left waiting: the load balancer then tries another node.
                connection.close()
                continue
            try:
                threading.Thread(target=self._serve, args=(connection, peer), daemon=True).start()
            except RuntimeError:
                self._leave()
                connection.close()

    def _serve(self, connection: socket.socket, peer: tuple[str, int]) -> None:
        try:
            Connection(connection, peer, self)  # type: ignore[arg-type]
        except Exception as bad:
            log.debug("connection: %r", bad)
        finally:
            self._leave()
            try:
                connection.close()
            except OSError:
                pass
