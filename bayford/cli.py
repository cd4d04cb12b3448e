"""The command line."""

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
EXIT_UNREADABLE = 1  # what the state service holds can't be read
EXIT_BAD_SETTINGS = 2


def _configure_logging() -> None:
    """Log to standard error at LOG_LEVEL; at info, and an error in the log, if the level is unknown."""
    word = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(word, logging.INFO),
        format="%(levelname).1s %(name)s: %(message)s",
    )
    if word not in LEVELS:
        log.error("LOG_LEVEL %r is not one of %s; using info", word, ", ".join(LEVELS))


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


def read_store(settings: Settings, prefixes: list[str]) -> list[list[Row]] | None:
    """The rows below each prefix; None, and a message on standard error, if the state service is out."""
    from bayford.protocol.key_value_api import KeyValueApi
    from bayford.storage.key_value_store import OutcomeUnknownError, UnavailableError
    from bayford.transport.http_client import HttpClient

    store = KeyValueApi(HttpClient(*split_address(settings.services.state)).call)
    try:
        return [store.scan(prefix)[0] for prefix in prefixes]
    except (UnavailableError, OutcomeUnknownError) as error:
        _complain(f"the state service at {settings.services.state} is out: {error}")
        return None


def show_zones(settings: Settings, as_json: bool) -> int:
    """Print the losses of zones that the state service holds; the exit status."""
    from bayford.recovery import zone_report
    from bayford.recovery.zone_record import UnreadableRecordError, decode
    from bayford.storage import records

    found = read_store(settings, [records.ZONES])
    if found is None:
        return EXIT_UNREADABLE
    zones = []
    status = 0
    for row in found[0]:
        try:
            zones.append(decode(row.value))
        except UnreadableRecordError as error:
            _complain(f"{row.key}: {error}")
            status = EXIT_UNREADABLE
    print(zone_report.as_json(zones) if as_json else zone_report.as_text(zones))
    return status


def show_admission(settings: Settings, as_json: bool) -> int:
    """Print the admission level that the state service holds; the exit status."""
    from bayford.admission import features, level_report
    from bayford.admission.level import UnreadableLevelError, decode
    from bayford.storage import records

    found = read_store(settings, [records.ADMISSION, records.MEMBERS, records.FEATURES])
    if found is None:
        return EXIT_UNREADABLE
    levels, members, announced = found
    try:
        level = decode(levels[0].value) if levels else None
    except UnreadableLevelError as error:
        _complain(f"{levels[0].key}: {error}; everything is admitted")
        return EXIT_UNREADABLE
    lacking = features.lacking(members, announced)
    print(level_report.as_json(level, lacking) if as_json else level_report.as_text(level, lacking))
    return 0


def _complain(message: str) -> None:
    print(f"bayford: {message}", file=sys.stderr)


def _load_policy(script_path: str | None, settings: Settings) -> Policy:
    """The operators' settings; the defaults without a script. Raises `SettingsError`."""
    if not script_path:
        return Policy()
    from bayford import script  # only a site with a script pays for the interpreter

    return script.load(script_path, settings)


def main(argv: list[str] | None = None) -> int:
    """Run the command line; the exit status."""
    args = parser().parse_args(argv)
    _configure_logging()
    try:
        settings = load(args.config)
    except SettingsError as error:
        _complain(f"{args.config}: {error}")
        return EXIT_BAD_SETTINGS
    if args.verb == "zones":
        return show_zones(settings, args.json)
    if args.verb == "admission":
        return show_admission(settings, args.json)
    try:
        policy = _load_policy(args.script, settings)
    except SettingsError as error:
        _complain(str(error))
        return EXIT_BAD_SETTINGS
    if args.verb == "check-config":
        print(
            f"{args.config}: good; {len(settings.peers) + 1} controllers, {len(settings.facts.teams)} teams"
        )
        return 0
    from bayford.serve import serve  # the other commands need none of what a controller imports

    faulthandler.enable()
    serve(settings, policy)
    return 0
