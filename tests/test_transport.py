"""The HTTP server and the limit on concurrent requests."""

import http.client
import socket
import threading

import orjson
import pytest
from fakes.cluster import Cluster

from bayford.clock import NEVER
from bayford.protocol import workers
from bayford.transport.concurrency_limit import ConcurrencyLimit
from bayford.transport.http_handlers import UserHandler
from bayford.transport.http_server import HttpServer, Request, Response


def exchange(port: int, raw: bytes) -> bytes:
    """Sends these bytes, closes the sending side and returns all that the server answers."""
    with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
        sock.sendall(raw)
        sock.shutdown(socket.SHUT_WR)
        answer = b""
        while True:
            received = sock.recv(65536)
            if not received:
                return answer
            answer += received


def test_the_concurrency_limit_falls_when_requests_get_slower_and_rises_again() -> None:
    now = [0.0]
    limit = ConcurrencyLimit(start=32.0, window=20, clock=lambda: now[0])

    def burst(seconds: float, count: int) -> None:
        for _ in range(count):
            waiting = [limit.enter() for _ in range(limit.limit)]
            assert all(entry.__enter__() for entry in waiting)
            with limit.enter() as entered:
                assert not entered, "a request over the limit is refused at once"
            now[0] += seconds
            for entry in waiting:
                entry.__exit__(None, None, None)

    burst(0.03, 5)
    fast = limit.limit
    assert fast > 32
    burst(0.5, 6)
    slow = limit.limit
    assert slow < fast / 2
    burst(0.03, 8)
    assert limit.limit > slow


def test_the_server_refuses_malformed_requests_and_keeps_connections() -> None:
    def handle(request: Request) -> Response:
        return Response(200, request.body or request.path.encode())

    server = HttpServer("127.0.0.1", 0, handle, 8, "test")
    server.start()
    two_requests = b"GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
    answer = exchange(server.port, two_requests)
    assert answer.count(b"200 OK") == 2
    assert answer.endswith(b"hi")
    chunked = b"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    assert exchange(server.port, chunked).endswith(b"abc")
    assert b" 413 " in exchange(server.port, b"POST /b HTTP/1.1\r\nContent-Length: 70000\r\n\r\n")
    assert b" 400 " in exchange(server.port, b"nonsense\r\n\r\n")
    assert b" 431 " in exchange(server.port, b"GET /" + b"a" * 9000)
    incomplete = b"POST /b HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"
    assert exchange(server.port, incomplete) == b"", "an incomplete body gets no answer"
    assert threading.active_count() < 20


def test_under_load_user_connections_close_and_idle_worker_connections_close_before_the_lease() -> None:
    """Guards against keeping connections from before a partition for 40 s: they hindered the workers that
    reconnected after it."""
    cluster = Cluster()
    handler = UserHandler(cluster.nodes["n0"], ConcurrencyLimit())
    server = HttpServer("127.0.0.1", 0, handler.handle, 4, "test")
    server.start()
    query = b"GET /api/jobs/req-000001 HTTP/1.1\r\n\r\n"

    def connect() -> socket.socket:
        return socket.create_connection(("127.0.0.1", server.port), timeout=5)

    def answer(sock: socket.socket) -> bytes:
        sock.sendall(query)
        return sock.recv(65536)

    with connect() as first, connect() as second, connect() as third:
        for sock in (first, second, third):
            assert b"Connection: close" not in answer(sock), "few connections are open, so this one is kept"
        with connect() as fourth:
            assert b"Connection: close" in answer(fourth)
            assert fourth.recv(1) == b""
        assert b"Connection: close" not in answer(first), "few connections are open again"
    facts = cluster.settings("n0").facts.workers
    heartbeat = orjson.dumps(
        {
            "dock": "vm-000001",
            "addr": "10.1.0.1:9000",
            "build": "small",
            "yard": "north",
            "loaners": True,
            "shift": 1,
            "tick": 1,
            "baton": 0,
            "recall_s": None,
            "parts": [],
        }
    )
    response = handler.handle(Request("POST", workers.HEARTBEAT_PATH, heartbeat, NEVER))
    assert response.status in (200, 421, 503)
    assert 1.25 * facts.heartbeat_interval_s + 4.0 < response.idle_s < facts.lease_s


# Guards against a refusal whose sender nobody can find, as when a worker's heartbeat gets too long.
@pytest.mark.parametrize(
    ("request_head", "size"),
    [(b"Content-Length: 70000\r\n\r\n", 70_000), (b"Transfer-Encoding: chunked\r\n\r\n11170\r\n", 70_000)],
    ids=["length", "chunked"],
)
def test_a_request_that_is_too_large_is_logged_with_its_sender_and_size(
    request_head: bytes, size: int, caplog: pytest.LogCaptureFixture
) -> None:
    server = HttpServer("127.0.0.1", 0, lambda request: Response(200, request.body), 8, "front")
    server.start()
    assert b" 413 " in exchange(server.port, b"POST /v1/report HTTP/1.1\r\n" + request_head)
    (message,) = [record.getMessage() for record in caplog.records if record.levelname == "ERROR"]
    assert message.startswith("request too large: server=front sender=127.0.0.1:")
    assert message.endswith(f" method=POST path=/v1/report min_bytes={size} max_bytes={64 * 1024}")


# Guards against a reset of the connection in place of the response. The server discards the rest of a refused
# request for up to a second after the response, so the connections of all requests may be open together.
@pytest.mark.parametrize("size", [64 * 1024 + 1, 300_000, 3_000_000])
def test_the_sender_of_a_request_that_is_too_large_gets_the_response(size: int) -> None:
    requests = 20
    server = HttpServer("127.0.0.1", 0, lambda request: Response(200, request.body), requests, "front")
    server.start()
    for _ in range(requests):
        connection = http.client.HTTPConnection("127.0.0.1", server.port, timeout=5.0)
        connection.request("POST", "/v1/report", b"x" * size)
        assert connection.getresponse().status == 413
        connection.close()


def test_a_request_of_the_largest_size_is_served() -> None:
    server = HttpServer("127.0.0.1", 0, lambda request: Response(200, b"%d" % len(request.body)), 8, "front")
    server.start()
    head = b"POST /v1/report HTTP/1.1\r\nContent-Length: 65536\r\n\r\n"
    assert exchange(server.port, head + b"x" * 65536).endswith(b"\r\n\r\n65536")
