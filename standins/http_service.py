"""A JSON service on a loopback port, with fault injection common to all stand-in services."""

import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit

IDLE_CONNECTION_TIMEOUT_S = 30.0


@dataclass
class ServiceControls:
    """Fault injection for one service. Any thread may change the fields at any time."""

    is_down: bool = False  # every request is answered with 503
    response_delay_s: float = 0.0  # waits this long before each response
    responses_to_drop: int = 0  # number of next requests that are executed but get no response


@dataclass(frozen=True)
class Request:
    """An HTTP request; `body` is the parsed JSON, None if the request has no body."""

    method: str
    path: str
    query: dict[str, str]
    body: Any


@dataclass(frozen=True)
class Response:
    """The status and JSON body of an HTTP response."""

    status: int
    body: Any = field(default_factory=dict)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Suppress the traceback: clients may break connections at any time."""


class HttpService:
    """An HTTP server on a free loopback port; calls `handle` for each request, one thread per connection."""

    def __init__(
        self, handle: Callable[[Request], Response], controls: ServiceControls | None = None
    ) -> None:
        self.controls = controls or ServiceControls()
        service = self

        class Handler(BaseHTTPRequestHandler):
            """Serves the requests of one connection."""

            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            timeout = IDLE_CONNECTION_TIMEOUT_S

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
                """Suppress the log line of each request."""

        self._server = _Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, args=(0.1,), daemon=True).start()

    def respond(self, request: Request, handle: Callable[[Request], Response]) -> Response | None:
        """Return the response to a request, or None to close the connection without a response.

        Applies the faults that are set in `controls`.
        """
        if self.controls.is_down:
            return Response(503, {"error": "trouble"})
        response = handle(request)
        if self.controls.response_delay_s:
            time.sleep(self.controls.response_delay_s)
        if self.controls.responses_to_drop > 0:
            self.controls.responses_to_drop -= 1
            return None
        return response

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()
