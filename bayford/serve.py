"""Runs one controller on real sockets: clients for the services around it, servers for its callers."""

import logging
import random
import threading
import time

from bayford import __version__
from bayford.config import MachineLimits, Settings, split_address
from bayford.coordination.controller import Controller
from bayford.coordination.leader.scheduler import Scheduler
from bayford.protocol import mesh, workers
from bayford.protocol.cloud_api import CloudApi
from bayford.protocol.key_value_api import KeyValueApi
from bayford.scheduling.policy import Policy
from bayford.storage.key_value_store import OutcomeUnknownError, UnavailableError
from bayford.transport.concurrency_limit import ConcurrencyLimit
from bayford.transport.http_client import HttpClient
from bayford.transport.http_handlers import PeerHandler, UserHandler
from bayford.transport.http_server import HttpServer

log = logging.getLogger(__name__)

THREAD_STACK_BYTES = 256 * 1024
MAX_CONNECTIONS = 1800  # a thread each, of the 2,000 that the platform lets a process have
MIN_CONNECTIONS = 32
CONNECTIONS_PER_MB = 8  # of the machine's memory; a connection's thread takes 0.03 MB as measured
MAX_PEER_CONNECTIONS = 32
IDLE_S = 3600.0

CLOUD_CONNECTIONS = 3
PEER_CONNECT_S = 0.8
NOTICE_TIMEOUT_S = 1.0
COMMAND_CONNECT_S = 0.7
COMMAND_TIMEOUT_S = 1.5


class PeerClient:
    """Calls to one other controller."""

    def __init__(self, endpoint: str) -> None:
        """`endpoint`: its address on the mesh, HOST:PORT."""
        address = split_address(endpoint)
        # Notices have a connection of their own: they must not wait behind a poll.
        self._status = HttpClient(*address, max_idle=2, connect_s=PEER_CONNECT_S)
        self._notices = HttpClient(*address, max_idle=1, connect_s=PEER_CONNECT_S)

    def status(self, timeout_s: float) -> mesh.Status | None:
        """The controller's status, None if it can't be had."""
        try:
            status, body = self._status.call("GET", mesh.STATUS_PATH, None, timeout_s)
            return mesh.decode_status(body) if status == 200 else None
        except (UnavailableError, OutcomeUnknownError, ValueError):
            return None

    def notify_cancelled(self, cancelled: dict[str, float]) -> bool:
        """Report confirmed cancellations, job and time of day; whether that need not be repeated."""
        body = mesh.encode_cancelled(cancelled)
        try:
            status, _ = self._notices.call("POST", mesh.CANCELLED_PATH, body, NOTICE_TIMEOUT_S)
        except (UnavailableError, OutcomeUnknownError):
            return False
        return status in (200, 404)  # an older release does not know the path


def send_command(address: str, body: bytes) -> bytes | None:
    """Send commands directly to the worker at `address`; its heartbeat, None without an answer.

    Any of hundreds of machines may be told to stop something, and seldom the same one again soon: a kept
    connection for each would cost as many sockets as the workers' own.
    """
    client = HttpClient(*split_address(address), max_idle=0, connect_s=COMMAND_CONNECT_S)
    try:
        status, answer = client.call("POST", workers.COMMANDS_PATH, body, COMMAND_TIMEOUT_S)
    except (UnavailableError, OutcomeUnknownError):
        return None
    return answer if status in (200, 409) else None


def max_connections(limits: MachineLimits) -> int:
    """How many connections the front may have. All workers, and users beside them, may come to one
    controller."""
    by_memory = int(limits.mem_mb * CONNECTIONS_PER_MB)
    return max(MIN_CONNECTIONS, min(limits.fd_limit * 3 // 4, by_memory, MAX_CONNECTIONS))


def make_controller(settings: Settings, policy: Policy, incarnation: str) -> Controller:
    """A controller that is connected to the services of its settings."""
    store = HttpClient(*split_address(settings.services.state))
    cloud = HttpClient(*split_address(settings.services.cloud), max_idle=CLOUD_CONNECTIONS)
    peers = {peer.member: PeerClient(peer.endpoint) for peer in settings.peers}
    return Controller(
        settings,
        Scheduler(settings, policy, time.monotonic, time.time, random.Random(incarnation)),
        KeyValueApi(store.call),
        CloudApi(cloud.call),
        incarnation,
        {name: peer.status for name, peer in peers.items()},
        {name: peer.notify_cancelled for name, peer in peers.items()},
        send_command,
    )


def serve(settings: Settings, policy: Policy) -> None:
    """Run a controller until the process is killed."""
    threading.stack_size(THREAD_STACK_BYTES)
    incarnation = f"{random.SystemRandom().getrandbits(48):012x}"
    log.info("starting: member=%s version=%s incarnation=%s", settings.member, __version__, incarnation)
    controller = make_controller(settings, policy, incarnation)
    front = HttpServer(
        *split_address(settings.front_address),
        UserHandler(controller, ConcurrencyLimit()).handle,
        max_connections(settings.facts.machine_limits),
        "front",
    )
    mesh_server = HttpServer(
        *split_address(settings.mesh_address), PeerHandler(controller).handle, MAX_PEER_CONNECTIONS, "mesh"
    )
    front.start()
    mesh_server.start()
    controller.start()
    while True:
        time.sleep(IDLE_S)
