"""The command line."""

from __future__ import annotations

import argparse
import faulthandler
import logging
import os
import random
import sys
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from bayford import __version__
from bayford.config import Settings, SettingsError, load, split_address
from bayford.scheduling.policy import Policy

if TYPE_CHECKING:
    from bayford.storage.key_value_store import Row

log = logging.getLogger("bayford")

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
STACK = 256 * 1024
THREADS = 1800  # for connections, of the 2,000 that the platform lets a process have


def _logging() -> str | None:
    """Logs to stderr at LOG_LEVEL; a complaint if the level is unknown."""
    word = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(word, logging.INFO),
        format="%(levelname).1s %(name)s: %(message)s",
    )
    return None if word in LEVELS else f"LOG_LEVEL {word!r} is not one of {', '.join(LEVELS)}; using info"


def serve(settings: Settings, policy: Policy) -> None:
    """Run this controller until it is killed."""
    # Imported here: `check-config` and `--help` need none of it.
    from bayford.coordination.controller import Controller
    from bayford.coordination.leader.scheduler import Scheduler
    from bayford.protocol import mesh, workers
    from bayford.protocol.cloud_api import CloudApi
    from bayford.protocol.key_value_api import KeyValueApi
    from bayford.storage.key_value_store import OutcomeUnknownError, UnavailableError
    from bayford.transport.concurrency_limit import ConcurrencyLimit
    from bayford.transport.http_client import HttpClient
    from bayford.transport.http_handlers import PeerHandler, UserHandler
    from bayford.transport.http_server import HttpServer

    threading.stack_size(STACK)
    incarnation = f"{random.SystemRandom().getrandbits(48):012x}"
    log.info("%s %s starts, incarnation %s", settings.member, __version__, incarnation)
    state = HttpClient(*split_address(settings.services.state))
    cloud = HttpClient(*split_address(settings.services.cloud), max_idle=3)
    rng = random.Random(incarnation)
    scheduler = Scheduler(settings, policy, time.monotonic, time.time, rng)

    def asker(endpoint: str) -> Callable[[float], mesh.Status | None]:
        client = HttpClient(*split_address(endpoint), max_idle=2, connect_s=0.8)

        def ask(timeout_s: float) -> mesh.Status | None:
            try:
                status, body = client.call("GET", mesh.STATUS_PATH, None, timeout_s)
                return mesh.decode_status(body) if status == 200 else None
            except (UnavailableError, OutcomeUnknownError, ValueError):
                return None

        return ask

    def notifier(endpoint: str) -> Callable[[dict[str, float]], bool]:
        client = HttpClient(*split_address(endpoint), max_idle=1, connect_s=0.8)

        def notify(cancelled: dict[str, float]) -> bool:
            try:
                status, _ = client.call("POST", mesh.CANCELLED_PATH, mesh.encode_cancelled(cancelled), 1.0)
            except (UnavailableError, OutcomeUnknownError):
                return False
            return status in (200, 404)  # an older release knows no such path

        return notify

    def command(address: str, body: bytes) -> bytes | None:
        # Of hundreds of machines any may be told to stop something, seldom the same one again soon: a
        # connection kept for each would cost as many sockets as the workers' own.
        client = HttpClient(*split_address(address), max_idle=0, connect_s=0.7)
        try:
            status, answer = client.call("POST", workers.COMMANDS_PATH, body, 1.5)
        except (UnavailableError, OutcomeUnknownError):
            return None
        return answer if status in (200, 409) else None

    controller = Controller(
        settings,
        scheduler,
        KeyValueApi(state.call),
        CloudApi(cloud.call),
        incarnation,
        {peer.member: asker(peer.endpoint) for peer in settings.peers},
        {peer.member: notifier(peer.endpoint) for peer in settings.peers},
        command,
    )
    # Every worker, and users beside them, may come to one controller: a thread each, 0.03 MB as measured.
    limits = settings.facts.machine_limits
    most = max(32, min(limits.fd_limit * 3 // 4, int(limits.mem_mb * 8), THREADS))
    front = HttpServer(
        *split_address(settings.front_address),
        UserHandler(controller, ConcurrencyLimit()).handle,
        most,
        "front",
    )
    peers = HttpServer(*split_address(settings.mesh_address), PeerHandler(controller).handle, 32, "mesh")
    front.start()
    peers.start()
    controller.start()
    while True:
        time.sleep(3600)


def parser() -> argparse.ArgumentParser:
    """The command line's grammar."""
    top = argparse.ArgumentParser(prog="bayford", description="A cluster scheduler for small sites.")
    top.add_argument("--version", action="version", version=f"bayford {__version__}")
    verbs = top.add_subparsers(dest="verb", required=True, metavar="VERB")
    for verb, text in (
        ("serve", "run this controller until it is killed"),
        ("check-config", "read the settings, say what is wrong with them, and end"),
    ):
        sub = verbs.add_parser(verb, help=text, description=text)
        sub.add_argument("--config", required=True, metavar="FILE", help="settings file (TOML)")
        sub.add_argument("--script", metavar="FILE", help="the operators' script (Starlark)")
    for verb, text in (
        ("zones", "show when zones were lost and what became of the tasks there"),
        ("admission", "show what is refused of whom under overload, since when and why"),
    ):
        sub = verbs.add_parser(verb, help=text, description=text)
        sub.add_argument("--config", required=True, metavar="FILE", help="settings file (TOML)")
        sub.add_argument("--json", action="store_true", help="for programs")
    return top


def stored_rows(settings: Settings, prefixes: list[str]) -> list[list[Row]] | None:
    """What the state service holds below each prefix; None, and a complaint, if it is out."""
    from bayford.protocol.key_value_api import KeyValueApi
    from bayford.storage.key_value_store import OutcomeUnknownError, UnavailableError
    from bayford.transport.http_client import HttpClient

    state = KeyValueApi(HttpClient(*split_address(settings.services.state)).call)
    try:
        return [state.scan(prefix)[0] for prefix in prefixes]
    except (UnavailableError, OutcomeUnknownError) as bad:
        print(f"bayford: the state service at {settings.services.state} is out: {bad}", file=sys.stderr)
        return None


def show_zones(settings: Settings, as_json: bool) -> int:
    """Print what the state service holds of the zones' losses; exit status 1 if that can't be read."""
    from bayford.recovery import zone_report
    from bayford.recovery.zone_record import UnreadableRecordError, decode
    from bayford.storage import records

    found = stored_rows(settings, [records.ZONES])
    if found is None:
        return 1
    zones = []
    status = 0
    for row in found[0]:
        try:
            zones.append(decode(row.value))
        except UnreadableRecordError as bad:
            print(f"bayford: {row.key}: {bad}", file=sys.stderr)
            status = 1
    print(zone_report.as_json(zones) if as_json else zone_report.as_text(zones))
    return status


def show_admission(settings: Settings, as_json: bool) -> int:
    """Print the admission level; exit status 1 if it can't be read."""
    from bayford.admission import features, level_report
    from bayford.admission.level import UnreadableLevelError, decode
    from bayford.storage import records

    found = stored_rows(settings, [records.ADMISSION, records.MEMBERS, records.FEATURES])
    if found is None:
        return 1
    rows, members, told = found
    try:
        level = decode(rows[0].value) if rows else None
    except UnreadableLevelError as bad:
        print(f"bayford: {rows[0].key}: {bad}; everything is admitted", file=sys.stderr)
        return 1
    lacking = features.lacking(members, told)
    print(level_report.as_json(level, lacking) if as_json else level_report.as_text(level, lacking))
    return 0


def main(argv: list[str] | None = None) -> int:
    """Entry point; exit status 2 for bad settings."""
    args = parser().parse_args(argv)
    complaint = _logging()
    if complaint:
        log.error("%s", complaint)
    try:
        settings = load(args.config)
    except SettingsError as bad:
        print(f"bayford: {args.config}: {bad}", file=sys.stderr)
        return 2
    if args.verb == "zones":
        return show_zones(settings, args.json)
    if args.verb == "admission":
        return show_admission(settings, args.json)
    policy = Policy()
    if args.script:
        from bayford import script  # only who has a script pays for the interpreter

        try:
            policy = script.load(args.script, settings)
        except SettingsError as bad:
            print(f"bayford: {bad}", file=sys.stderr)
            return 2
    if args.verb == "check-config":
        print(
            f"{args.config}: good; {len(settings.peers) + 1} controllers, {len(settings.facts.teams)} teams"
        )
        return 0
    faulthandler.enable()
    serve(settings, policy)
    return 0
