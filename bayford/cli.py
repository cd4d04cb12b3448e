"""The command-line interface."""

from __future__ import annotations

import argparse
import faulthandler
import logging
import os
import sys
from typing import TYPE_CHECKING

from bayford import __version__
from bayford.config import Settings, SettingsError, load, split_address
from bayford.scheduling.policy import Policy

if TYPE_CHECKING:
    from bayford.storage.key_value_store import Row

log = logging.getLogger("bayford")

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
EXIT_UNREADABLE = 1  # the data in the state service can't be read
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3


def _configure_logging() -> None:
    """Log to standard error at LOG_LEVEL. An unknown level is logged as an error and replaced by info."""
    level_name = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(level_name, logging.INFO),
        format="%(levelname).1s %(name)s: %(message)s",
    )
    if level_name not in LEVELS:
        log.error("unknown LOG_LEVEL, using info: level=%r known=%s", level_name, ", ".join(LEVELS))


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
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


def read_store(settings: Settings, prefixes: list[str]) -> list[list[Row]] | None:
    """The rows with each prefix. None, with a message on standard error: the state service is unavailable."""
    from bayford.protocol.key_value_api import KeyValueApi
    from bayford.storage.key_value_store import OutcomeUnknownError, UnavailableError
    from bayford.transport.http_client import HttpClient

    store = KeyValueApi(HttpClient(*split_address(settings.services.state)).call)
    try:
        return [store.scan(prefix)[0] for prefix in prefixes]
    except (UnavailableError, OutcomeUnknownError) as error:
        _print_error(f"the state service at {settings.services.state} is out: {error}")
        return None


def show_zones(settings: Settings, as_json: bool) -> int:
    """Print the zone losses that are stored in the state service. Return the exit status."""
    from bayford.recovery import zone_report
    from bayford.recovery.zone_record import UnreadableRecordError, decode
    from bayford.storage import records

    rows_by_prefix = read_store(settings, [records.ZONES])
    if rows_by_prefix is None:
        return EXIT_UNREADABLE
    zones = []
    status = 0
    for row in rows_by_prefix[0]:
        try:
            zones.append(decode(row.value))
        except UnreadableRecordError as error:
            _print_error(f"{row.key}: {error}")
            status = EXIT_UNREADABLE
    print(zone_report.as_json(zones) if as_json else zone_report.as_text(zones))
    return status


def show_admission(settings: Settings, as_json: bool) -> int:
    """Print the admission level that is stored in the state service. Return the exit status."""
    from bayford.admission import features, level_report
    from bayford.admission.level import UnreadableLevelError, decode
    from bayford.storage import records

    rows_by_prefix = read_store(settings, [records.ADMISSION, records.MEMBERS, records.FEATURES])
    if rows_by_prefix is None:
        return EXIT_UNREADABLE
    levels, members, announced = rows_by_prefix
    try:
        level = decode(levels[0].value) if levels else None
    except UnreadableLevelError as error:
        _print_error(f"{levels[0].key}: {error}; everything is admitted")
        return EXIT_UNREADABLE
    lacking = features.controllers_without_admission(members, announced)
    print(level_report.as_json(level, lacking) if as_json else level_report.as_text(level, lacking))
    return 0


def _print_error(message: str) -> None:
    print(f"bayford: {message}", file=sys.stderr)


def _load_policy(script_path: str | None, settings: Settings) -> Policy:
    """The policy that the operators' script defines; defaults without a script. Raises `SettingsError`."""
    if not script_path:
        return Policy()
    from bayford import script  # loads the Starlark interpreter, needed only with a script

    return script.load(script_path, settings)


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return the exit status."""
    args = build_parser().parse_args(argv)
    _configure_logging()
    try:
        settings = load(args.config)
    except SettingsError as error:
        _print_error(f"{args.config}: {error}")
        return EXIT_BAD_SETTINGS
    if args.verb == "zones":
        return show_zones(settings, args.json)
    if args.verb == "admission":
        return show_admission(settings, args.json)
    try:
        policy = _load_policy(args.script, settings)
    except SettingsError as error:
        _print_error(str(error))
        return EXIT_BAD_SETTINGS
    if args.verb == "check-config":
        print(
            f"{args.config}: good; {len(settings.peers) + 1} controllers, {len(settings.facts.teams)} teams"
        )
        return 0
    return _serve(settings, policy)


def _serve(settings: Settings, policy: Policy) -> int:
    """Run the controller. Returns the exit status only if it can't listen on one of its addresses."""
    from bayford.serve import serve  # imports the controller, which the other commands do not need
    from bayford.transport.http_server import ListenError

    faulthandler.enable()
    try:
        serve(settings, policy)
    except ListenError as error:
        log.error("%s", error)
    return EXIT_CANNOT_LISTEN
