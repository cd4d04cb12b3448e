"""A blocking HTTP client with a connection pool, based on `http.client`, with a timeout on every call."""

import http.client
import socket
import threading
import time
from typing import NamedTuple

from bayford.storage.key_value_store import OutcomeUnknownError, UnavailableError

MAX_IDLE_S = 20.0  # a connection that was idle for longer is not reused


class _IdleConnection(NamedTuple):
    idle_since: float
    connection: http.client.HTTPConnection


class HttpClient:
    """Pools keep-alive connections to one address. Called by any thread; concurrent calls share none."""

    def __init__(self, host: str, port: int, max_idle: int = 8, connect_timeout_s: float = 1.0) -> None:
        """`max_idle`: maximum number of idle connections kept for reuse. `connect_timeout_s`: connect
        timeout."""
        self._host = host
        self._port = port
        self._max_idle = max_idle
        self._connect_timeout_s = connect_timeout_s
        self._lock = threading.Lock()  # guards `_idle`
        self._idle: list[_IdleConnection] = []  # the most recently used one is last

    def call(self, method: str, path: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """Send a request and wait. Returns the status and the body of the response.

        `timeout_s`: timeout of each socket operation. UnavailableError: nothing was sent.
        OutcomeUnknownError: the server may execute the request, now or later.
        """
        connection = self._take_idle() or self._connect()
        try:
            connection.sock.settimeout(timeout_s)
            headers = {"Content-Type": "application/json"} if body is not None else {}
            connection.request(method, path, body=body, headers=headers)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException, AttributeError) as error:
            # AttributeError: `http.client` sets the socket of a connection that it has closed to None.
            connection.close()
            raise OutcomeUnknownError(f"{method} {path.partition('?')[0]}: {error!r}") from error
        if response.will_close:
            connection.close()
        else:
            self._keep_idle(connection)
        return response.status, data

    def _connect(self) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(self._host, self._port, timeout=self._connect_timeout_s)
        try:
            connection.connect()
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            connection.close()
            raise UnavailableError(f"{self._host}:{self._port}: {error!r}") from error
        return connection

    def _take_idle(self) -> http.client.HTTPConnection | None:
        with self._lock:
            while self._idle:
                idle = self._idle.pop()
                if time.monotonic() - idle.idle_since < MAX_IDLE_S:
                    return idle.connection
                idle.connection.close()
        return None

    def _keep_idle(self, connection: http.client.HTTPConnection) -> None:
        with self._lock:
            if len(self._idle) < self._max_idle:
                self._idle.append(_IdleConnection(time.monotonic(), connection))
                return
        connection.close()
