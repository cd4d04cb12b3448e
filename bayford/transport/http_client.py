"""Pooled HTTP clients on `http.client`, blocking, with a timeout on every call."""

import http.client
import socket
import threading
import time

from bayford.storage.key_value_store import OutcomeUnknownError, UnavailableError

IDLE_S = 20.0


class HttpClient:
    """Keep-alive connections to one address."""

    def __init__(self, host: str, port: int, most_idle: int = 8, connect_s: float = 1.0) -> None:
        self._host = host
        self._port = port
        self._most_idle = most_idle
        self._connect_s = connect_s
        self._lock = threading.Lock()
        self._idle: list[tuple[float, http.client.HTTPConnection]] = []

    def _take(self) -> http.client.HTTPConnection | None:
        with self._lock:
            while self._idle:
                since, connection = self._idle.pop()
                if time.monotonic() - since < IDLE_S:
                    return connection
                connection.close()
        return None

    def _give(self, connection: http.client.HTTPConnection) -> None:
        with self._lock:
            if len(self._idle) < self._most_idle:
                self._idle.append((time.monotonic(), connection))
                return
        connection.close()

    def call(self, method: str, path: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """Send and wait.

        UnavailableError: nothing was sent. OutcomeUnknownError: it may be executed, now or later.
        """
        connection = self._take()
        if connection is None:
            connection = http.client.HTTPConnection(self._host, self._port, timeout=self._connect_s)
            try:
                connection.connect()
                connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError as bad:
                connection.close()
                raise UnavailableError(f"{self._host}:{self._port}: {bad!r}") from bad
        try:
            connection.sock.settimeout(timeout_s)
            headers = {"Content-Type": "application/json"} if body is not None else {}
            connection.request(method, path, body=body, headers=headers)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException, AttributeError) as bad:
            connection.close()
            raise OutcomeUnknownError(f"{method} {path.partition('?')[0]}: {bad!r}") from bad
        if response.will_close:
            connection.close()
        else:
            self._give(connection)
        return response.status, data
