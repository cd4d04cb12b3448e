"""HTTP routes for users, workers, health checks and the other controllers."""

from typing import Literal, NamedTuple

import msgspec

from bayford.coordination.api.responses import RETRY_AFTER_S, Reply
from bayford.coordination.controller import Controller
from bayford.protocol import jobs, mesh, workers
from bayford.scheduling.model import URGENT
from bayford.transport.concurrency_limit import ConcurrencyLimit
from bayford.transport.http_server import Request, Response

NON_URGENT_SHARE = 0.75  # of the concurrency limit, for non-urgent submissions while admission is on
WORKER_TIMEOUT_S = 4.0  # set by the protocol: a worker without a response closes the connection by then


class _UserRoute(NamedTuple):
    """A user's operation, and the only HTTP method allowed for it."""

    operation: Literal["submit", "query", "cancel"]
    method: str
    job_id: str = ""  # as written in the path, not validated


class UserHandler:
    """Handles requests of users and workers, and health checks. Called by any thread."""

    def __init__(self, controller: Controller, limit: ConcurrencyLimit) -> None:
        """`limit`: limit on user requests in progress; requests of workers and health checks don't count."""
        self._controller = controller
        self._limit = limit
        # A worker sends its next heartbeat within 1.25 times `heartbeat_interval_s`, and closes the
        # connection after `WORKER_TIMEOUT_S` without a response. A connection that is idle for longer remains
        # from a network partition or a dead machine. It is closed, so that a fleet that reconnects after a
        # partition is not refused because of its own old connections.
        heartbeat_interval_s = controller.settings.facts.workers.heartbeat_interval_s
        self._worker_idle_s = 2.0 * heartbeat_interval_s + WORKER_TIMEOUT_S

    def handle(self, request: Request) -> Response:
        """Route one request. Heartbeats and health checks are never refused because of user requests."""
        path = request.path.partition("?")[0]
        if path == workers.HEARTBEAT_PATH:
            return self._heartbeat(request) if request.method == "POST" else _method_not_allowed("POST")
        if path == jobs.HEALTH_PATH:
            return self._health() if request.method == "GET" else _method_not_allowed("GET")
        if path == jobs.SUBMIT_PATH or path.startswith(jobs.SUBMIT_PATH + "/"):
            return self._user(request, path)
        return Response(404, jobs.encode_error("no such path"))

    def _health(self) -> Response:
        if self._controller.is_healthy():
            return Response(200, b'{"ok":true}')
        return Response(503, b'{"ok":false}')

    def _heartbeat(self, request: Request) -> Response:
        try:
            heartbeat = workers.parse_heartbeat(request.body)
        except jobs.InvalidError as error:
            return Response(400, jobs.encode_error(str(error)))
        reply = self._controller.heartbeat(
            heartbeat, request.sent_after, keep_alive=not request.is_near_connection_limit
        )
        # If there are more machines than allowed connections, each is answered at once and its connection
        # closed. Otherwise the last ones to connect would be refused until a lease has expired.
        return Response(
            reply.status, reply.body, idle_s=0.0 if request.is_near_connection_limit else self._worker_idle_s
        )

    def _user(self, request: Request, path: str) -> Response:
        route = _user_route(path)
        if route is None:
            return Response(404, jobs.encode_error("no such path"))
        if request.method != route.method:
            return _method_not_allowed(route.method)
        if route.operation != "submit" and jobs.parse_job_id(route.job_id) is None:
            return Response(404, jobs.encode_error("no such job"))
        # A request that exceeds the limit is answered at once, with a Retry-After header.
        with self._limit.enter(self._limit_share(request, route)) as entered:
            if entered:
                response = self._serve(request, route)
            else:
                response = _retry_later(jobs.encode_error("too many requests in progress"))
        if request.is_near_connection_limit:
            response.idle_s = 0.0  # users' connections must not take those that workers need
        return response

    def _limit_share(self, request: Request, route: _UserRoute) -> float:
        """Returns the share of the limit that the request may use. Non-urgent submissions leave a part of the
        limit to urgent ones, and to queries and cancellations."""
        if route.operation != "submit" or not self._controller.is_admission_enabled:
            return 1.0
        return 1.0 if jobs.parse_priority(request.body) >= URGENT else NON_URGENT_SHARE

    def _serve(self, request: Request, route: _UserRoute) -> Response:
        reply: Reply
        if route.operation == "submit":
            reply = self._controller.submit(request.body)
        elif route.operation == "query":
            reply = self._controller.query(route.job_id)
        else:
            reply = self._controller.cancel(route.job_id)
        if reply.retry_after_s:
            return _retry_later(reply.body, reply.status, reply.retry_after_s)
        if reply.status == 503:
            return _retry_later(reply.body)
        return Response(reply.status, reply.body)


def _user_route(path: str) -> _UserRoute | None:
    """Returns the route of a path at or below `jobs.SUBMIT_PATH`, None if there is none."""
    segments = path[len(jobs.SUBMIT_PATH) :].strip("/").split("/")
    if segments == [""]:
        return _UserRoute("submit", "POST")
    if len(segments) == 1:
        return _UserRoute("query", "GET", segments[0])
    if len(segments) == 2 and segments[1] == jobs.CANCEL:
        return _UserRoute("cancel", "POST", segments[0])
    return None


def _retry_later(body: bytes, status: int = 503, retry_after_s: int = RETRY_AFTER_S) -> Response:
    return Response(status, body, (("Retry-After", str(retry_after_s)),))


def _method_not_allowed(allowed: str) -> Response:
    return Response(405, jobs.encode_error(f"use {allowed}"), (("Allow", allowed),))


class PeerHandler:
    """Handles requests of the other controllers. Called by any thread."""

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
                return Response(400, jobs.encode_error(str(error)))
            self._controller.on_cancellations(cancelled)
            return Response(200, b"{}")
        return Response(404, jobs.encode_error("no such path"))
