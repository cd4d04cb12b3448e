"""Routes of the front (users, workers, health checks) and of the mesh."""

from typing import Literal, NamedTuple

import msgspec

from bayford.coordination.api.responses import RETRY_AFTER_S, Reply
from bayford.coordination.controller import Controller
from bayford.protocol import jobs, mesh, workers
from bayford.scheduling.model import URGENT
from bayford.transport.concurrency_limit import ConcurrencyLimit
from bayford.transport.http_server import Request, Response

NOT_URGENT_SHARE = 0.75  # of the requests in progress, with admission on
WORKER_TIMEOUT_S = 4.0  # by the protocol: a worker without an answer has left the connection by then


class _UserRoute(NamedTuple):
    """What a user asks for, and the only method that does."""

    operation: Literal["submit", "query", "cancel"]
    method: str
    job_id: str = ""  # as it stands in the path


class UserHandler:
    """Requests of users and workers, and health checks. Called by any thread."""

    def __init__(self, controller: Controller, limit: ConcurrencyLimit) -> None:
        """`limit`: of user requests in progress; those of workers and health checks are not counted."""
        self._controller = controller
        self._limit = limit
        # A worker sends again within a quarter more than `heartbeat_interval_s`, and after
        # `WORKER_TIMEOUT_S` without an answer it has left. A connection that is silent for longer is what a
        # cut or a dead machine left behind; a fleet that comes back from a cut must not find its own old
        # connections in its way.
        heartbeat_interval_s = controller.settings.facts.workers.heartbeat_interval_s
        self._worker_idle_s = 2.0 * heartbeat_interval_s + WORKER_TIMEOUT_S

    def handle(self, request: Request) -> Response:
        """Route one request. Heartbeats and health checks are never shed behind users."""
        path = request.path.partition("?")[0]
        if path == workers.HEARTBEAT_PATH:
            return self._heartbeat(request) if request.method == "POST" else _wrong_method("POST")
        if path == jobs.HEALTH_PATH:
            return self._health() if request.method == "GET" else _wrong_method("GET")
        if path == jobs.SUBMIT_PATH or path.startswith(jobs.SUBMIT_PATH + "/"):
            return self._user(request, path)
        return Response(404, jobs.error("no such path"))

    def _health(self) -> Response:
        if self._controller.healthy():
            return Response(200, b'{"ok":true}')
        return Response(503, b'{"ok":false}')

    def _heartbeat(self, request: Request) -> Response:
        try:
            heartbeat = workers.parse_heartbeat(request.body)
        except jobs.InvalidError as error:
            return Response(400, jobs.error(str(error)))
        reply = self._controller.heartbeat(heartbeat, request.after, hold=not request.crowded)
        # A fleet of more machines than there may be connections takes turns: each is answered at once and
        # makes room. Otherwise those that came last would find no place until a lease has expired.
        return Response(reply.status, reply.body, idle_s=0.0 if request.crowded else self._worker_idle_s)

    def _user(self, request: Request, path: str) -> Response:
        route = _user_route(path)
        if route is None:
            return Response(404, jobs.error("no such path"))
        if request.method != route.method:
            return _wrong_method(route.method)
        if route.operation != "submit" and jobs.job_id(route.job_id) is None:
            return Response(404, jobs.error("no such job"))
        # A request that exceeds the limit is answered at once, with when to try again.
        with self._limit.enter(self._share(request, route)) as entered:
            if entered:
                response = self._serve(request, route)
            else:
                response = _later(jobs.error("too many requests in progress"))
        if request.crowded:
            response.idle_s = 0.0  # users' connections must not shut out the workers
        return response

    def _share(self, request: Request, route: _UserRoute) -> float:
        """How much of the limit is open to the request. Submissions that are not urgent leave a part to those
        that are, and to queries and cancellations."""
        if route.operation != "submit" or not self._controller.admission_on:
            return 1.0
        return 1.0 if jobs.priority_of(request.body) >= URGENT else NOT_URGENT_SHARE

    def _serve(self, request: Request, route: _UserRoute) -> Response:
        reply: Reply
        if route.operation == "submit":
            reply = self._controller.submit(request.body)
        elif route.operation == "query":
            reply = self._controller.query(route.job_id)
        else:
            reply = self._controller.cancel(route.job_id)
        if reply.retry_after_s:
            return _later(reply.body, reply.status, reply.retry_after_s)
        if reply.status == 503:
            return _later(reply.body)
        return Response(reply.status, reply.body)


def _user_route(path: str) -> _UserRoute | None:
    """What a path at or below that of submissions stands for, None if for nothing."""
    segments = path[len(jobs.SUBMIT_PATH) :].strip("/").split("/")
    if segments == [""]:
        return _UserRoute("submit", "POST")
    if len(segments) == 1:
        return _UserRoute("query", "GET", segments[0])
    if len(segments) == 2 and segments[1] == jobs.CANCEL:
        return _UserRoute("cancel", "POST", segments[0])
    return None


def _later(body: bytes, status: int = 503, retry_after_s: int = RETRY_AFTER_S) -> Response:
    return Response(status, body, (("Retry-After", str(retry_after_s)),))


def _wrong_method(allowed: str) -> Response:
    return Response(405, jobs.error(f"use {allowed}"), (("Allow", allowed),))


class PeerHandler:
    """Requests of the other controllers. Called by any thread."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller

    def handle(self, request: Request) -> Response:
        """Route one request."""
        if request.path == mesh.STATUS_PATH and request.method == "GET":
            return Response(200, mesh.encode_status(self._controller.status()))
        if request.path == mesh.CANCELLED_PATH and request.method == "POST":
            try:
                cancelled = mesh.decode_cancelled(request.body)
            except msgspec.DecodeError as error:
                return Response(400, jobs.error(str(error)))
            self._controller.on_cancellations(cancelled)
            return Response(200, b"{}")
        return Response(404, jobs.error("no such path"))
