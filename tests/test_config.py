"""Tests of settings files: an invalid value stops `check-config` and `serve`, and the error names it."""

import re
from pathlib import Path

import pytest
from cluster_helpers import VALID_SETTINGS, settings_text

from bayford import cli, config

MACHINE_LIMITS = "[facts.machine_limits]\ncore_share = 0.18\nmem_mb = 146.0\nfd_limit = 900\n"
OBJECTIVE = '[[facts.objectives]]\nkind = "finished"\nclass = "sweep"\nwithin_s = 80.0\nshare = 0.8\n'


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("cpus = 4.0", "cpus = -4.0", "facts.teams[0].cpus"),
        ("cpus_max = 16.0", "cpus_max = -1.0", "facts.teams[1].cpus_max"),
        ("gpus_max = 2.0", "gpus_max = nan", "facts.teams[1].gpus_max"),
        ('name = "blue"', 'name = "red"', "facts.teams"),
        ('site = "north"\nfront', 'site = "east"\nfront', "site"),
        ('site = "north"\nendpoint', 'site = "east"\nendpoint', "seeds[0].site"),
        ('member = "n0"', 'member = "n9"', "seeds[0].member"),
        ('zones = ["north", "south"]', 'zones = ["north", "north", "south"]', "facts.zones"),
        ('zones = ["north", "south"]', "zones = []", "facts.zones"),
        ("nodes = 3", "nodes = 0", "facts.nodes"),
        ("report_s = 2.0", "report_s = -2.0", "facts.workers.report_s"),
        ("lease_s = 12.0", "lease_s = inf", "facts.workers.lease_s"),
        ("list_lag_s = 6.0", "list_lag_s = -6.0", "facts.cloud.list_lag_s"),
        ("fd_limit = 900", "fd_limit = 0", "facts.machine_limits.fd_limit"),
        ("core_share = 0.18", "core_share = -0.18", "facts.machine_limits.core_share"),
        ("within_s = 80.0", "within_s = -1.0", "facts.objectives[0].within_s"),
        ("share = 0.8", "share = -0.8", "facts.objectives[0].share"),
    ],
)
@pytest.mark.parametrize("verb", ["check-config", "serve"])
def test_an_invalid_value_stops_the_program_and_is_named(
    verb: str, old: str, new: str, field: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text = VALID_SETTINGS + MACHINE_LIMITS + OBJECTIVE
    config.parse(text)
    assert old in text
    path = tmp_path / "settings.toml"
    path.write_text(text.replace(old, new, 1))
    assert cli.main([verb, "--config", str(path)]) == 2
    message = capsys.readouterr().err
    assert re.search(re.escape(f"`$.{field}`"), message), message


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("lease_s = 12.0", "", "lease_s"),
        ("lease_s = 12.0", 'lease_s = "x"', "lease_s"),
        ('front = "127.0.0.1:1"', 'front = "nowhere"', "front"),
        ("rps = 3.0", "rps = 0.0", "cloud.rps"),
    ],
)
def test_check_config_names_the_missing_or_invalid_setting(
    old: str, new: str, field: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "s.toml"
    path.write_text(VALID_SETTINGS.replace(old, new))
    assert cli.main(["check-config", "--config", str(path)]) == 2
    assert field in capsys.readouterr().err


def test_unknown_settings_are_ignored() -> None:
    assert config.parse(VALID_SETTINGS + "\n[extra]\nx = 1\n").member == "n9"


def test_check_config_refuses_a_missing_file(tmp_path: Path) -> None:
    assert cli.main(["check-config", "--config", str(tmp_path / "none.toml")]) == 2


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("value_kb = 0", "value_kb"),
        ("txn_ops = -1", "txn_ops"),
        ("rps = 0.0", "rps"),
        ('write_rps = "x"', "write_rps"),
    ],
)
def test_upcoming_limits_are_checked_like_other_settings(line: str, field: str) -> None:
    text = settings_text(next_limits=line)
    with pytest.raises(config.SettingsError, match=f"state.next.{field}"):
        config.parse(text)
    next_limits = config.parse(text.replace(line, "novelty = 3")).facts.state.next
    assert next_limits is not None and next_limits.value_kb is None, (
        "each limit is optional, and unknown settings are ignored"
    )
