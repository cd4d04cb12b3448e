"""An HTTP server based on `http.server`: one thread per connection, bounded, with a timeout on every wait."""

import logging
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler

from bayford.clock import NEVER
from bayford.protocol.message_sizes import MAX_MESSAGE_BYTES

log = logging.getLogger(__name__)

IDLE_S = 40.0  # how long a connection waits for a request, unless its last response sets `idle_s`
REQUEST_TIMEOUT_S = 5.0  # timeout of each read after the first line of a request, and of sending a response
MAX_LINE = 8 * 1024  # bytes
MAX_HEADERS = 64
DISCARD_TIMEOUT_S = 1.0  # for the rest of a refused request, of which at most MAX_DISCARDED_BYTES are read
MAX_DISCARDED_BYTES = 4 * 1024 * 1024
MAX_CHUNK_SIZE_LINE = 64  # bytes
BACKLOG = 4096  # connections that wait to be accepted; after a failover, all workers connect at once
ACCEPT_RETRY_S = 0.05

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
    """An HTTP request."""

    method: str
    path: str  # including the query string
    body: bytes
    sent_after: float  # steady clock, time of the previous response; the request was certainly sent later
    headers: dict[str, str] = field(default_factory=dict)  # names are in lower case
    is_near_connection_limit: bool = False  # see `HttpServer.is_near_connection_limit`


@dataclass(slots=True)
class Response:
    """The response to a request."""

    status: int
    body: bytes  # JSON
    headers: tuple[tuple[str, str], ...] = ()  # in addition to those of every response
    idle_s: float = IDLE_S  # how long the connection then waits for the next request; 0: it is closed


Handle = Callable[[Request], Response]


class HttpError(Exception):
    """A malformed request. It is answered with this status and text, and the connection is closed."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class BodyTooLargeError(HttpError):
    """The body of a request is larger than the protocol allows."""

    def __init__(self, min_bytes: int) -> None:
        """`min_bytes`: its size, or the size of the part that was announced before it was refused."""
        super().__init__(413, "body over 64 KiB")
        self.min_bytes = min_bytes


class ListenError(Exception):
    """A server cannot listen on its address; the message names both."""


class Connection(BaseHTTPRequestHandler):
    """One connection, served by its own thread.

    Request lines and headers are parsed here, because the header parser of `http.server` (that of the `email`
    package) takes several times as long as everything else in this class, and a controller has only a
    fraction of a core.
    """

    protocol_version = "HTTP/1.1"
    server: "HttpServer"  # type: ignore[assignment]  # narrows the `BaseServer` of the base class
    disable_nagle_algorithm = True
    timeout = IDLE_S

    def handle(self) -> None:
        """Serve requests until either side closes the connection."""
        self.close_connection = False
        sent_after = NEVER
        idle_s = IDLE_S
        try:
            while not self.close_connection:
                self.connection.settimeout(idle_s)
                request = self._read_request(sent_after)
                if request is None:
                    return
                request.is_near_connection_limit = self.server.is_near_connection_limit
                response = self.server.handle(request)
                idle_s = response.idle_s
                if not idle_s:
                    self.close_connection = True
                sent_after = self._send(response)
        except HttpError as error:
            self.close_connection = True
            body = b'{"error":"' + str(error).encode() + b'"}'
            with suppress(OSError):
                self._send(Response(error.status, body))
                self._discard_rest()
        except (OSError, ValueError):
            return  # the peer has disconnected or timed out, or the connection's file is closed

    def _discard_rest(self) -> None:
        """Read for a short time what the peer still sends of a refused request.

        Closing a connection with unread data resets it, and the peer may lose the response.
        """
        self.connection.shutdown(socket.SHUT_WR)
        self.connection.settimeout(DISCARD_TIMEOUT_S)
        deadline = time.monotonic() + DISCARD_TIMEOUT_S
        bytes_left = MAX_DISCARDED_BYTES
        while bytes_left > 0 and time.monotonic() < deadline:
            received = len(self.connection.recv(min(bytes_left, MAX_MESSAGE_BYTES)))
            if not received:
                return
            bytes_left -= received

    def finish(self) -> None:
        """Close the connection, ignoring errors if the peer has disconnected."""
        with suppress(OSError):
            super().finish()

    def _read_request(self, sent_after: float) -> Request | None:
        """Returns the next request, None if the peer closed the connection. HttpError: it is malformed."""
        line = self.rfile.readline(MAX_LINE + 1)
        if not line:
            return None
        # After the first line of a request, each further read must finish within `REQUEST_TIMEOUT_S`.
        self.connection.settimeout(REQUEST_TIMEOUT_S)
        words = line.split()
        if len(line) > MAX_LINE:
            raise HttpError(431, "line too long")
        if len(words) != 3 or not words[2].startswith(b"HTTP/1."):
            raise HttpError(400, "not an HTTP/1.1 request")
        headers = self._read_headers()
        if headers is None:
            return None
        if words[2] == b"HTTP/1.0" or headers.get("connection", "").lower() == "close":
            self.close_connection = True
        method, path = words[0].decode("latin-1"), words[1].decode("latin-1")
        try:
            body = self._read_body(headers)
        except BodyTooLargeError as error:
            self._log_too_large(method, path, error)
            raise
        return Request(method, path, body, sent_after, headers)

    def _log_too_large(self, method: str, path: str, error: "BodyTooLargeError") -> None:
        host, port = self.client_address
        log.error(
            "request too large: server=%s sender=%s:%d method=%s path=%s min_bytes=%d max_bytes=%d",
            self.server.name,
            host,
            port,
            method,
            path,
            error.min_bytes,
            MAX_MESSAGE_BYTES,
        )

    def _read_headers(self) -> dict[str, str] | None:
        """Returns the headers by lower-case name, None if the peer closes the connection before their end."""
        headers: dict[str, str] = {}
        while True:
            line = self.rfile.readline(MAX_LINE + 1)
            if line in (b"\r\n", b"\n"):
                return headers
            if not line:
                return None
            if len(line) > MAX_LINE or len(headers) >= MAX_HEADERS:
                raise HttpError(431, "headers too long")
            name, colon, value = line.partition(b":")
            if not colon:
                raise HttpError(400, "malformed header")
            headers[name.strip().lower().decode("latin-1")] = value.strip().decode("latin-1")

    def _read_body(self, headers: dict[str, str]) -> bytes:
        if headers.get("expect", "").lower() == "100-continue":
            self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if "chunked" in headers.get("transfer-encoding", "").lower():
            return self._read_chunks()
        length_text = headers.get("content-length", "0")
        if not length_text.isdigit():
            raise HttpError(400, "bad content-length")
        length = int(length_text)
        if length > MAX_MESSAGE_BYTES:
            raise BodyTooLargeError(length)
        body = self.rfile.read(length) if length else b""
        if len(body) < length:
            raise ConnectionError("body ended early")
        return body

    def _read_chunks(self) -> bytes:
        body = b""
        while True:
            try:
                size = int(self.rfile.readline(MAX_CHUNK_SIZE_LINE).split(b";")[0], 16)
            except ValueError as error:
                raise HttpError(400, "bad chunk") from error
            if size < 0:
                raise HttpError(400, "bad chunk")
            if len(body) + size > MAX_MESSAGE_BYTES:
                raise BodyTooLargeError(len(body) + size)
            if size == 0:
                while self.rfile.readline(MAX_LINE) not in (b"\r\n", b"\n", b""):
                    pass  # trailers
                return body
            body += self.rfile.read(size)
            self.rfile.readline(8)  # the line end after the chunk's data

    def _send(self, response: Response) -> float:
        """Send a response. Returns the time of the steady clock just before its first byte was sent."""
        head = [
            f"HTTP/1.1 {response.status} {REASONS.get(response.status, 'Status')}",
            "Content-Type: application/json",
            f"Content-Length: {len(response.body)}",
        ]
        head += [f"{name}: {value}" for name, value in response.headers]
        if self.close_connection:
            head.append("Connection: close")
        self.connection.settimeout(REQUEST_TIMEOUT_S)
        # Taken before the bytes are sent: the next request on this connection is then certainly sent later.
        sent_at = time.monotonic()
        self.connection.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + response.body)
        return sent_at


class HttpServer:
    """Listens on an address and passes each request to a handler, with one thread per connection."""

    def __init__(self, host: str, port: int, handle: Handle, max_connections: int, name: str) -> None:
        """`port`: 0 selects a free port. `handle`: called concurrently by many threads. `name`: used in logs.
        ListenError: the address can't be bound, for example because another process has it."""
        self._handle = handle
        self._max_connections = max_connections
        self._open_connections = 0
        self._lock = threading.Lock()  # guards changes of `_open_connections`
        self.name = name
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self._socket.bind((host, port))
            self._socket.listen(BACKLOG)
        except OSError as error:
            self._socket.close()
            raise ListenError(f"cannot listen: server={name} address={host}:{port} error={error}") from error
        self.port: int = self._socket.getsockname()[1]

    @property
    def is_near_connection_limit(self) -> bool:
        """Returns whether over three quarters of the allowed connections are open. Reads without the lock."""
        return self._open_connections * 4 > self._max_connections * 3

    def _try_reserve_connection(self) -> bool:
        with self._lock:
            if self._open_connections >= self._max_connections:
                return False
            self._open_connections += 1
            return True

    def _release_connection(self) -> None:
        with self._lock:
            self._open_connections -= 1

    def handle(self, request: Request) -> Response:
        """Returns the response to one request, a 500 if the handler raises an exception."""
        try:
            return self._handle(request)
        except Exception:  # an error in a handler fails only this request
            log.exception("request failed: method=%s path=%s", request.method, request.path)
            return Response(500, b'{"error":"internal error"}')

    def start(self) -> None:
        """Start the thread that accepts connections."""
        threading.Thread(target=self._accept_loop, name=f"accept-{self.name}", daemon=True).start()

    def _accept_loop(self) -> None:
        while True:
            try:
                connection, peer = self._socket.accept()
            except OSError as error:
                log.error("accept failed: server=%s error=%s", self.name, error)
                time.sleep(ACCEPT_RETRY_S)
                continue
            if not self._try_reserve_connection():
                # Close the connection instead of queueing it, so that the load balancer tries another
                # controller.
                connection.close()
                continue
            try:
                threading.Thread(target=self._serve, args=(connection, peer), daemon=True).start()
            except RuntimeError:  # the thread could not be started
                self._release_connection()
                connection.close()

    def _serve(self, connection: socket.socket, peer: tuple[str, int]) -> None:
        try:
            Connection(connection, peer, self)  # type: ignore[arg-type]  # its `server` is declared above
        except Exception as error:  # noqa: BLE001 - top of the thread: an error fails only this connection
            log.debug("connection failed: server=%s error=%r", self.name, error)
        finally:
            self._release_connection()
            with suppress(OSError):
                connection.close()
