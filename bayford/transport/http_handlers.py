"""Routes of the front (users, workers, health checks) and of the mesh."""

import msgspec

from bayford.coordination.api.responses import RETRY_AFTER_S, Reply
from bayford.coordination.controller import Controller
from bayford.protocol import jobs, mesh, workers
from bayford.scheduling.model import URGENT
from bayford.transport.concurrency_limit import ConcurrencyLimit
from bayford.transport.http_server import Request, Response

NOT_URGENT_SHARE = 0.75  # of the requests in progress, with admission on


class UserHandler:
    """Users and workers."""

    def __init__(self, controller: Controller, limit: ConcurrencyLimit) -> None:
        self._controller = controller
        self._limit = limit
        # A worker sends again within a quarter more than `heartbeat_interval_s`, and after 4 s without an
        # answer it has left. What stays silent for longer is what a cut or a dead machine left behind; a
        # fleet that comes back from a cut must not find its own old connections in its way.
        self._worker_idle_s = 2.0 * controller.settings.facts.workers.heartbeat_interval_s + 4.0

    def handle(self, request: Request) -> Response:
        """Route one request. Reports and health checks are never shed behind users."""
        path = request.path.partition("?")[0]
        if path == workers.HEARTBEAT_PATH:
            if request.method != "POST":
                return _wrong_method("POST")
            return self._report(request)
        if path == jobs.HEALTH_PATH:
            if request.method != "GET":
                return _wrong_method("GET")
            if self._controller.healthy():
                return Response(200, b'{"ok":true}')
            return Response(503, b'{"ok":false}')
        if path == jobs.SUBMIT_PATH or path.startswith(jobs.SUBMIT_PATH + "/"):
            return self._user(request, path)
        return Response(404, jobs.error("no such path"))

    def _report(self, request: Request) -> Response:
        try:
            heartbeat = workers.parse_heartbeat(request.body)
        except jobs.InvalidError as bad:
            return Response(400, jobs.error(str(bad)))
        reply = self._controller.heartbeat(heartbeat, request.after, hold=not request.crowded)
        # A fleet of more machines than there may be connections takes turns: each is answered at once and
        # makes room. Otherwise those that came last would find no place until a lease has run out.
        return Response(reply.status, reply.body, idle_s=0.0 if request.crowded else self._worker_idle_s)

    def _user(self, request: Request, path: str) -> Response:
        rest = path[len(jobs.SUBMIT_PATH) :].strip("/").split("/")
        if rest == [""]:
            allowed = "POST"
        elif len(rest) == 1:
            allowed = "GET"
        elif len(rest) == 2 and rest[1] == jobs.CANCEL:
            allowed = "POST"
        else:
            return Response(404, jobs.error("no such path"))
        if request.method != allowed:
            return _wrong_method(allowed)
        if rest != [""] and jobs.job_id(rest[0]) is None:
            return Response(404, jobs.error("no such job"))
        # A request that can't be taken is answered at once, with when to come back.
        with self._limit.enter(self._share(request, rest)) as entered:
            if entered:
                response = self._serve(request, rest)
            else:
                response = _later(jobs.error("too many requests in progress"))
        if request.crowded:
            response.idle_s = 0.0  # users' connections must not shut out the workers
        return response

    def _share(self, request: Request, rest: list[str]) -> float:
        """How much of the limit is open to the request. Submissions that are not urgent leave a part to those
        that are, and to questions and cancellations."""
        if rest != [""] or not self._controller.admission_on:
            return 1.0
        return 1.0 if jobs.priority_of(request.body) >= URGENT else NOT_URGENT_SHARE

    def _serve(self, request: Request, rest: list[str]) -> Response:
        reply: Reply
        if rest == [""]:
            reply = self._controller.submit(request.body)
        elif len(rest) == 1:
            reply = self._controller.query(rest[0])
        else:
            reply = self._controller.cancel(rest[0])
        if reply.retry_after_s:
            return _later(reply.body, reply.status, reply.retry_after_s)
        if reply.status == 503:
            return _later(reply.body)
        return Response(reply.status, reply.body)


def _later(body: bytes, status: int = 503, retry_after_s: int = RETRY_AFTER_S) -> Response:
    return Response(status, body, (("Retry-After", str(retry_after_s)),))


def _wrong_method(allowed: str) -> Response:
    return Response(405, jobs.error(f"use {allowed}"), (("Allow", allowed),))


class PeerHandler:
    """The other controllers."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller

    def handle(self, request: Request) -> Response:
        """Route one request."""
        if request.path == mesh.STATUS_PATH and request.method == "GET":
            return Response(200, mesh.encode_status(self._controller.status()))
        if request.path == mesh.CANCELLED_PATH and request.method == "POST":
            try:
                told = mesh.decode_cancelled(request.body)
            except (msgspec.ValidationError, msgspec.DecodeError) as bad:
                return Response(400, jobs.error(str(bad)))
            self._controller.on_cancellations(told)
            return Response(200, b"{}")
        return Response(404, jobs.error("no such path"))
