"""A JSON service on a loopback port, with the faults that every service can have."""

import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit

IDLE_CONNECTION_S = 30.0  # a connection without a request is closed after this


@dataclass
class ServiceControls:
    """Faults of a service. Set at any time, by any thread."""

    down: bool = False  # every request gets 503
    delay_s: float = 0.0  # before each response
    lose_answers: int = 0  # so many more requests are executed and get no response


@dataclass(frozen=True)
class Request:
    """One request; `body` is the parsed JSON, None without one."""

    method: str
    path: str
    query: dict[str, str]
    body: Any


@dataclass(frozen=True)
class Response:
    """Status and JSON body of a response."""

    status: int
    body: Any = field(default_factory=dict)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Print nothing: a connection that its peer broke is no error here."""


class HttpService:
    """Serves `handle` on a port of its own until it is closed, with a thread for each connection."""

    def __init__(
        self, handle: Callable[[Request], Response], controls: ServiceControls | None = None
    ) -> None:
        self.controls = controls or ServiceControls()
        service = self

        class Handler(BaseHTTPRequestHandler):
            """One connection."""

            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            timeout = IDLE_CONNECTION_S

            def _serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                received = self.rfile.read(length) if length else b""
                target = urlsplit(self.path)
                query = dict(parse_qsl(target.query))
                request = Request(
                    self.command, target.path, query, json.loads(received) if received else None
                )
                response = service.respond(request, handle)
                if response is None:
                    self.close_connection = True
                    return
                body = json.dumps(response.body).encode()
                self.send_response(response.status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_GET = do_POST = do_DELETE = _serve  # noqa: N815 (named by http.server)

            def log_message(self, format: str, *args: Any) -> None:
                """Print no line for each request."""

        self._server = _Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, args=(0.1,), daemon=True).start()

    def respond(self, request: Request, handle: Callable[[Request], Response]) -> Response | None:
        """The response to a request under the faults of now; None: close the connection without one."""
        if self.controls.down:
            return Response(503, {"error": "trouble"})
        response = handle(request)
        if self.controls.delay_s:
            time.sleep(self.controls.delay_s)
        if self.controls.lose_answers > 0:
            self.controls.lose_answers -= 1
            return None
        return response

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()
