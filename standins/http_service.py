"""A JSON service on a loopback port, with the troubles that every service can have."""

import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit

LONG_AGO_S = 30.0  # a connection of which nothing is heard is closed after this


@dataclass
class ServiceControls:
    """Troubles of a service. Set at any time."""

    down: bool = False  # 503 to everybody
    delay_s: float = 0.0  # before each answer
    lose_answers: int = 0  # so many requests are executed and get no answer


@dataclass(frozen=True)
class Call:
    """One request."""

    method: str
    path: str
    query: dict[str, str]
    body: Any


@dataclass(frozen=True)
class Answer:
    """What to answer."""

    status: int
    body: Any = field(default_factory=dict)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """A peer that has been killed is no error here."""


class HttpService:
    """Serves `handle` on a port of its own until it is closed."""

    def __init__(self, handle: Callable[[Call], Answer], controls: ServiceControls | None = None) -> None:
        self.controls = controls or ServiceControls()
        service = self

        class Handler(BaseHTTPRequestHandler):
            """One connection."""

            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            timeout = LONG_AGO_S

            def _serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                raw = self.rfile.read(length) if length else b""
                parts = urlsplit(self.path)
                call = Call(
                    self.command, parts.path, dict(parse_qsl(parts.query)), json.loads(raw) if raw else None
                )
                answer = service.answer(call, handle)
                if answer is None:
                    self.close_connection = True
                    return
                body = json.dumps(answer.body).encode()
                self.send_response(answer.status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_GET = do_POST = do_DELETE = _serve  # noqa: N815 (named by http.server)

            def log_message(self, format: str, *args: Any) -> None:
                """Say nothing."""

        self._server = _Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, args=(0.1,), daemon=True).start()

    def answer(self, call: Call, handle: Callable[[Call], Answer]) -> Answer | None:
        """The answer to a call under the troubles of now, None for none."""
        if self.controls.down:
            return Answer(503, {"error": "trouble"})
        found = handle(call)
        if self.controls.delay_s:
            time.sleep(self.controls.delay_s)
        if self.controls.lose_answers > 0:
            self.controls.lose_answers -= 1
            return None
        return found

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()
